//! Notes on documents without faults.

mod common;

use common::{TRIAL, trial};
use expect_test::expect;
use hyssop_document::{advice, catalog::Catalog};
use serde_json::{Value, json};

fn notes(document: &Value) -> String {
    let catalog = Catalog::parse(document.to_string()).expect("the document has no fault");
    advice::notes(&catalog).iter().map(|note| format!("{note}\n")).collect()
}

#[test]
fn trial_document() {
    assert!(Catalog::parse(TRIAL).is_ok());
    expect![[r#"
        pools[0].cold_limit: with 1, a backend server in cold start gets no work while hosts are cut into even halves
        pools[1]: all backend servers of pool deposits are in zone south-1, so without it there are none
    "#]].assert_eq(&notes(&trial()));
}

#[test]
fn pool_without_backend_servers() {
    let mut document = trial();
    document["pools"][0]["cold_limit"] = json!(2);
    document["backends"].as_array_mut().unwrap().pop();
    expect![[r#"
        pools[1]: pool deposits has no backend server, so its requests are refused
    "#]]
    .assert_eq(&notes(&document));
}

#[test]
fn no_note_on_a_document_with_one_zone() {
    let mut document = trial();
    document["pools"][0]["cold_limit"] = json!(2);
    document["group_size"] = json!(4);
    document["zones"].as_array_mut().unwrap().pop();
    document["backends"][0]["zone"] = json!("south-1");
    expect![[""]].assert_eq(&notes(&document));
}

#[test]
fn small_last_group() {
    let mut document = trial();
    document["pools"][0]["cold_limit"] = json!(2);
    document["pools"][1]["cold_limit"] = json!(2);
    document["group_size"] = json!(4);
    for number in 4..7 {
        let backend = json!({
            "name": format!("engine-{number}"), "address": format!("127.0.0.1:700{number}"),
            "zone": "south-2", "pool": "drafting"
        });
        document["backends"].as_array_mut().unwrap().push(backend);
    }
    expect![[r#"
        pools[1]: all backend servers of pool deposits are in zone south-1, so without it there are none
    "#]].assert_eq(&notes(&document));
    document["group_size"] = json!(5);
    expect![[r#"
        pools[0]: group drafting#1 has 1 backend servers, the others 5
        pools[1]: all backend servers of pool deposits are in zone south-1, so without it there are none
    "#]].assert_eq(&notes(&document));
}
