//! Every fault of a document is reported with its path.

mod common;

use common::{TRIAL, faults, faults_after};
use expect_test::{Expect, expect};
use hyssop_document::load::{self, MAX_DOCUMENT_BYTES, MAX_FAULTS};
use serde_json::json;

fn check(found: &str, expected: &Expect) {
    expected.assert_eq(found);
}

#[test]
fn the_trial_document_has_no_faults() {
    check(&faults(TRIAL), &expect!["none"]);
}

#[test]
fn text_that_is_not_a_json_object() {
    check(
        &faults("{\"revision\": 1,\n \"classes\": [}"),
        &expect![[r#"
        document: no JSON: expected value at line 2 column 14
    "#]],
    );
    check(
        &faults(""),
        &expect![[r#"
        document: no JSON: EOF while parsing a value at line 1 column 0
    "#]],
    );
    check(
        &faults("[1]"),
        &expect![[r#"
        document: an object is needed, found [1]
    "#]],
    );
    check(
        &faults("{}"),
        &expect![[r#"
        environment: the field is missing
        revision: the field is missing
        classes: the field is missing
        workspaces: the field is missing
        zones: the field is missing
        pools: the field is missing
        backends: the field is missing
    "#]],
    );
}

#[test]
fn all_faults_are_reported_at_once() {
    let found = faults_after(|document| {
        document["classes"][2]["tier"] = json!(9);
        document["classes"][0]["tire"] = json!(1);
        document["classes"][1]["idempotent"] = json!("yes");
        document["workspaces"][0].as_object_mut().unwrap().remove("share");
        document["workspaces"][1]["key_sha256"] = json!("secret");
        document["zones"][1] = json!("south-2");
        document["pools"][0]["kind"] = json!("engine");
        document["backends"][0]["address"] = json!("engine-2:7002");
        document["comment"] = json!("for now");
    });
    check(
        &found,
        &expect![[r#"
            classes[0].tire: the field is unknown, known are name, tier, first_token_ms, complete_ms, max_running_ms, idempotent, floor_percent
            classes[1].idempotent: true or false is needed, found "yes"
            classes[2].tier: a whole number from 1 to 8 is needed, found 9
            workspaces[0].share: the field is missing
            workspaces[1].key_sha256: a digest has 64 hexadecimal digits
            zones[1]: an object is needed, found "south-2"
            pools[0].kind: a pool's kind is "model" or "service", found "engine"
            backends[0].address: an IP number and a port such as 10.1.0.5:8000 is needed, found "engine-2:7002"
            comment: the field is unknown, known are environment, revision, group_size, classes, workspaces, zones, pools, backends, parts
        "#]],
    );
}

#[test]
fn duplicate_names_and_addresses() {
    let found = faults_after(|document| {
        document["classes"][1]["name"] = json!("desk");
        document["workspaces"][1] = document["workspaces"][0].clone();
        document["zones"][1]["name"] = json!("south-1");
        document["pools"][1]["name"] = json!("drafting");
        document["backends"][2]["name"] = json!("engine-1");
        document["backends"][3]["address"] = json!("127.0.0.1:7002");
        document["backends"][0]["zone"] = json!("south-1");
        document["backends"][3]["pool"] = json!("drafting");
    });
    check(
        &found,
        &expect![[r#"
        classes[1].name: desk stands at classes[0] too
        workspaces[1].name: builders stands at workspaces[0] too
        workspaces[1].key_sha256: 4c94485e0c21ae6c41ce1dfe7b6bfaceea5ab68e40a2476f50208e526f506080 stands at workspaces[0] too
        zones[1].name: south-1 stands at zones[0] too
        pools[1].name: drafting stands at pools[0] too
        backends[2].name: engine-1 stands at backends[1] too
        backends[3].address: 127.0.0.1:7002 stands at backends[0] too
    "#]],
    );
}

#[test]
fn duplicate_fields() {
    let text = TRIAL
        .replace("\"tier\": 4", "\"tier\": 4, \"tier\": 1")
        .replace("\"revision\": 7", "\"revision\": 7, \"note\": 1, \"note\": 2, \"revision\": 8");
    check(
        &faults(&text),
        &expect![[r#"
            revision: the field stands 2 times
            classes[1].tier: the field stands 2 times
            note: the field is unknown, known are environment, revision, group_size, classes, workspaces, zones, pools, backends, parts
        "#]],
    );
}

#[test]
fn unknown_references() {
    let found = faults_after(|document| {
        document["backends"][0]["zone"] = json!("north-1");
        document["backends"][1]["pool"] = json!("quoting");
    });
    check(
        &found,
        &expect![[r#"
        backends[0].zone: there is no availability zone north-1
        backends[1].pool: there is no pool quoting
    "#]],
    );
}

#[test]
fn a_reference_to_an_invalid_entry_is_no_second_fault() {
    let found = faults_after(|document| document["pools"][0]["kind"] = json!(1));
    check(
        &found,
        &expect![[r#"
        pools[0].kind: a text is needed, found 1
    "#]],
    );
}

#[test]
fn values_below_or_above_their_limits() {
    let found = faults_after(|document| {
        document["group_size"] = json!(0);
        document["workspaces"][0]["share"] = json!(0);
        document["pools"][0]["cold_limit"] = json!(0);
        document["pools"][0]["warm_limit"] = json!(0);
        document["pools"][1]["cold_limit"] = json!(5);
    });
    check(
        &found,
        &expect![[r#"
            group_size: a whole number from 1 to 10000 is needed, found 0
            workspaces[0].share: a whole number from 1 to 1000000 is needed, found 0
            pools[0].cold_limit: a whole number from 1 to 100000 is needed, found 0
            pools[0].warm_limit: a whole number from 1 to 100000 is needed, found 0
            pools[1].cold_limit: 5 is above warm_limit, which is 4
        "#]],
    );
}

#[test]
fn a_key_in_place_of_its_digest_is_not_shown() {
    let found = faults_after(|document| {
        document["workspaces"][0]["key_sha256"] = json!("the key itself");
    });
    check(
        &found,
        &expect![[r#"
        workspaces[0].key_sha256: a digest has 64 hexadecimal digits
    "#]],
    );
    assert!(!found.contains("the key itself"));
}

#[test]
fn numbers_out_of_range_or_of_another_type() {
    let found = faults_after(|document| {
        document["revision"] = json!(-1);
        document["classes"][0]["tier"] = json!(0);
        document["classes"][1]["tier"] = json!(2.5);
        document["classes"][2]["tier"] = json!("1");
        document["classes"][2]["floor_percent"] = json!(101);
        document["pools"][0]["latest_end_ms"] = json!(u64::MAX);
    });
    check(
        &found,
        &expect![[r#"
        revision: a whole number from 1 to 9007199254740991 is needed, found -1
        classes[0].tier: a whole number from 1 to 8 is needed, found 0
        classes[1].tier: a whole number from 1 to 8 is needed, found 2.5
        classes[2].tier: a whole number from 1 to 8 is needed, found "1"
        classes[2].floor_percent: a whole number from 0 to 100 is needed, found 101
        pools[0].latest_end_ms: a whole number from 1 to 86400000 is needed, found 18446744073709551615
    "#]],
    );
}

#[test]
fn inconsistent_times() {
    let found = faults_after(|document| {
        document["classes"][0]["first_token_ms"] = json!(6000);
        document["classes"][0]["max_running_ms"] = json!(1000);
        document["classes"][2]["complete_ms"] = json!(0);
        document["pools"][1]["latest_end_ms"] = json!(299_999);
    });
    check(
        &found,
        &expect![[r#"
        classes[2].complete_ms: a whole number from 1 to 86400000 is needed, found 0
        classes[0].first_token_ms: 6000 is above complete_ms, which is 5000
        classes[0].complete_ms: 5000 is above max_running_ms, which is 1000
        pools[1].latest_end_ms: 299999 is below max_running_ms of class draft, which is 300000
    "#]],
    );
}

#[test]
fn sum_of_floors() {
    let found = faults_after(|document| document["classes"][2]["floor_percent"] = json!(21));
    check(
        &found,
        &expect![[r#"
        classes: the sum of floor_percent is 51, at most 50 is allowed because each floor is taken out of every pool
    "#]],
    );
    let found = faults_after(|document| document["classes"][2]["floor_percent"] = json!(20));
    check(&found, &expect!["none"]);
}

#[test]
fn invalid_names() {
    let found = faults_after(|document| {
        document["environment"] = json!("");
        document["classes"][0]["name"] = json!("desk requests");
        document["zones"][0]["name"] = json!("z".repeat(65));
        document["pools"][0]["name"] = json!("größer");
        document["workspaces"][0]["name"] = json!(null);
    });
    check(
        &found,
        &expect![[r#"
        environment: a name is empty, found ""
        classes[0].name: a name contains ' ', only letters, digits, '.', '_', '-' and '/' are allowed, found "desk requests"
        workspaces[0].name: a text is needed, found null
        zones[0].name: a name has 65 bytes, at most 64 are allowed, found "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz...
        pools[0].name: a name contains 'ö', only letters, digits, '.', '_', '-' and '/' are allowed, found "größer"
    "#]],
    );
}

#[test]
fn invalid_addresses() {
    let found = faults_after(|document| {
        document["backends"][0]["address"] = json!("0.0.0.0:7002");
        document["backends"][1]["address"] = json!("127.0.0.1:0");
        document["backends"][2]["address"] = json!("127.0.0.1");
    });
    check(
        &found,
        &expect![[r#"
            backends[0].address: an IP number and a port such as 10.1.0.5:8000 is needed, found "0.0.0.0:7002"
            backends[1].address: an IP number and a port such as 10.1.0.5:8000 is needed, found "127.0.0.1:0"
            backends[2].address: an IP number and a port such as 10.1.0.5:8000 is needed, found "127.0.0.1"
        "#]],
    );
}

#[test]
fn empty_lists() {
    let found = faults_after(|document| {
        for list in ["classes", "workspaces", "zones", "pools", "backends"] {
            document[list] = json!([]);
        }
    });
    check(
        &found,
        &expect![[r#"
        classes: the list is empty, at least one entry is needed
        workspaces: the list is empty, at least one entry is needed
        zones: the list is empty, at least one entry is needed
        pools: the list is empty, at least one entry is needed
    "#]],
    );
}

#[test]
fn document_above_the_size_limit() {
    let text = format!("{TRIAL}{}", " ".repeat(MAX_DOCUMENT_BYTES));
    check(
        &faults(&text),
        &expect![[r#"
        document: 1050033 bytes, at most 1048576 are allowed
    "#]],
    );
}

/// Guards against parsing time that grows faster than the size of the document.
#[test]
fn a_document_of_many_unknown_fields() {
    let mut text = String::from("{");
    for number in 0..100_000 {
        text.push_str(&format!("\"{number}\":0,"));
    }
    text.push_str("\"last\":0}");
    let found = faults(&text);
    let last = found.lines().last().unwrap();
    check(last, &expect!["document: 99008 more faults"]);
}

#[test]
fn a_deeply_nested_document() {
    let depth = 500_000;
    let text = format!("{{\"classes\":{}{}}}", "[".repeat(depth), "]".repeat(depth));
    let found = faults(&text);
    check(
        found.lines().nth(2).unwrap(),
        &expect![
            "classes[0]: an object is needed, found [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[..."
        ],
    );
}

#[test]
fn more_faults_than_are_listed() {
    let found = faults_after(|document| {
        document["zones"] = vec![json!(0); MAX_FAULTS + 5].into();
    });
    let last = found.lines().last().unwrap();
    check(last, &expect!["document: 5 more faults"]);
    assert_eq!(found.lines().count(), MAX_FAULTS + 1);
}

#[test]
fn a_class_may_be_non_idempotent() {
    let checked = load::parse(TRIAL.as_bytes()).unwrap();
    let idempotent: Vec<_> = checked
        .document
        .classes
        .iter()
        .map(|class| (class.name.as_str(), class.idempotent))
        .collect();
    assert_eq!(idempotent, [("desk", true), ("draft", true), ("booking", false)]);
}
