//! Differences between documents, as text and as JSON.

mod common;

use common::{TRIAL, trial};
use expect_test::expect;
use hyssop_document::{catalog::Catalog, difference::Difference};
use serde_json::{Value, json};

fn difference_after(change: impl FnOnce(&mut Value)) -> Difference {
    let mut value = trial();
    change(&mut value);
    let old = Catalog::parse(TRIAL).expect("the document has no fault");
    let new = Catalog::parse(value.to_string()).expect("the changed document has no fault");
    Difference::between(&old, &new)
}

fn lines(difference: &Difference) -> String {
    let entry_lines = difference.entries.iter().map(|entry| match &entry.warning {
        Some(warning) => format!("{entry} ({warning})\n"),
        None => format!("{entry}\n"),
    });
    let moved_lines = difference.moved.iter().map(|backend| format!("moved {backend}\n"));
    entry_lines.chain(moved_lines).collect()
}

#[test]
fn reordered_lists_are_equal() {
    let difference = difference_after(|document| {
        document["revision"] = json!(8);
        let classes = document["classes"].as_array_mut().unwrap();
        classes.reverse();
        document["backends"].as_array_mut().unwrap().reverse();
    });
    assert!(difference.is_empty());
    expect![[r#"
        document trial: revision 7 -> 8
    "#]]
    .assert_eq(&lines(&difference));
}

#[test]
fn changes_in_every_list() {
    let difference = difference_after(|document| {
        document["environment"] = json!("production");
        document["classes"][0]["tier"] = json!(3);
        document["classes"][1]["tier"] = json!(1);
        document["classes"][1]["idempotent"] = json!(false);
        document["classes"][1]["floor_percent"] = json!(5);
        document["classes"][2]["idempotent"] = json!(true);
        document["workspaces"][0]["share"] = json!(4);
        document["workspaces"][0]["key_sha256"] = json!("a".repeat(64));
        document["workspaces"][1]["name"] = json!("bakers");
        document["zones"][1] = json!({"name": "south-3"});
        document["pools"][0]["cold_limit"] = json!(2);
        document["pools"][0]["warm_limit"] = json!(4);
        document["pools"][1]["warm_limit"] = json!(9);
        document["backends"][0]["zone"] = json!("south-3");
        document["backends"][1]["address"] = json!("127.0.0.1:7009");
    });
    assert!(!difference.is_empty());
    expect![[r#"
        document production: environment trial -> production (the documents are for different environments)
        document production: revision 7 -> 7 (only a higher revision is adopted)
        class booking: idempotent false -> true (a request of this class may run more than once from then on)
        class desk: tier 1 -> 3 (other classes go first and may displace it)
        class draft: floor_percent 10 -> 5
        class draft: idempotent true -> false (requests of this class without an idempotency key are refused from then on)
        class draft: tier 4 -> 1 (it goes before more classes and may displace them)
        workspace bakeries: removed (callers with its key are refused from then on)
        workspace bakers: added
        workspace builders: key_sha256 changed (callers with the old key are refused from then on)
        workspace builders: share 3 -> 4
        zone south-2: removed
        zone south-3: added
        pool deposits: warm_limit 4 -> 9 (each backend server gets more work at once)
        pool drafting: cold_limit 1 -> 2 (backend servers in cold start get more work)
        pool drafting: warm_limit 8 -> 4 (the pool carries less work at once)
        backend engine-1: address 127.0.0.1:7001 -> 127.0.0.1:7009 (it is taken as another backend server in cold start)
        backend engine-2: zone south-2 -> south-3
    "#]].assert_eq(&lines(&difference));
}

#[test]
fn backends_that_change_groups_are_listed() {
    let difference = difference_after(|document| {
        document["revision"] = json!(8);
        let new = json!({
            "name": "engine-0", "address": "127.0.0.1:7000", "zone": "south-1", "pool": "drafting"
        });
        document["backends"].as_array_mut().unwrap().push(new);
    });
    expect![[r#"
        document trial: revision 7 -> 8
        backend engine-0: added
        moved engine-2
    "#]]
    .assert_eq(&lines(&difference));
}

#[test]
fn difference_as_json() {
    let difference = difference_after(|document| document["classes"][0]["tier"] = json!(2));
    let json = serde_json::to_string_pretty(&difference).unwrap();
    expect![[r#"
        {
          "entries": [
            {
              "kind": "document",
              "name": "trial",
              "change": "changed",
              "field": "revision",
              "before": 7,
              "after": 7,
              "warning": "only a higher revision is adopted"
            },
            {
              "kind": "class",
              "name": "desk",
              "change": "changed",
              "field": "tier",
              "before": 1,
              "after": 2,
              "warning": "other classes go first and may displace it"
            }
          ],
          "moved": []
        }"#]]
    .assert_eq(&json);
}
