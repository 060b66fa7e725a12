//! A document in parts is accepted only when it is complete.

mod common;

use bytes::Bytes;
use common::{TRIAL, trial};
use expect_test::expect;
use hyssop_document::{
    catalog::Catalog,
    digest::Digest,
    load::Fault,
    parts::{Assembly, Bundle, Error},
};
use serde_json::{Value, json};

const PARTS: usize = 4;

fn bundle() -> Bundle {
    Bundle::split(TRIAL.as_bytes(), Some(PARTS)).expect("the document has no fault")
}

fn assembly(bytes: &Bytes) -> Assembly {
    Assembly::new(bytes.clone()).expect("the document is an object")
}

fn assemble(bundle: &Bundle) -> Result<Catalog, Vec<Fault>> {
    let mut assembly = assembly(&bundle.bytes);
    for part in bundle.parts.iter().rev() {
        assembly.add(part.clone()).expect("the document names the part");
    }
    assembly.finish()
}

fn lines(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

/// The trial document with the given texts as its parts.
fn with_parts(parts: &[&str]) -> Bundle {
    with_parts_of(trial(), parts)
}

fn with_parts_of(mut document: Value, parts: &[&str]) -> Bundle {
    let digests: Vec<_> = parts.iter().map(|part| Digest::of(part.as_bytes())).collect();
    document["parts"] = json!(digests);
    let parts = parts.iter().map(|part| Bytes::copy_from_slice(part.as_bytes())).collect();
    Bundle { bytes: document.to_string().into(), parts }
}

#[test]
fn a_document_without_parts_is_complete() {
    let assembly = assembly(&Bytes::from_static(TRIAL.as_bytes()));
    assert!(assembly.missing().is_empty());
    assert_eq!(assembly.finish().unwrap(), Catalog::parse(TRIAL).unwrap());
}

#[test]
fn split_and_assembled() {
    let bundle = bundle();
    let catalog = assemble(&bundle).unwrap();
    let parts: Vec<_> = catalog.parts().iter().map(|part| part.bytes().clone()).collect();
    assert_eq!(parts, bundle.parts);
    assert_eq!(catalog.digest(), Digest::of(&bundle.bytes));
    let before = Catalog::parse(TRIAL).unwrap();
    assert_eq!(catalog.document().workspaces.len(), before.document().workspaces.len());
    for workspace in &before.document().workspaces {
        assert_eq!(catalog.workspace(&workspace.name), Some(workspace));
        assert_eq!(catalog.workspace_by_key(&workspace.key_sha256), Some(workspace));
    }
    assert_eq!(catalog.groups(), before.groups());
}

#[test]
fn a_change_of_one_workspace_changes_one_part() {
    let before = bundle();
    let mut document = trial();
    document["revision"] = json!(8);
    document["workspaces"][0]["share"] = json!(9);
    let after = Bundle::split(document.to_string().as_bytes(), Some(PARTS)).unwrap();
    let changed = after.parts.iter().filter(|part| !before.parts.contains(part)).count();
    assert_eq!(changed, 1);

    let mut assembly = assembly(&after.bytes);
    assembly.reuse(&assemble(&before).unwrap());
    assert_eq!(assembly.missing().len(), 1);
    for part in &after.parts {
        assembly.add(part.clone()).ok();
    }
    assert_eq!(assembly.finish().unwrap().document(), assemble(&after).unwrap().document());
}

#[test]
fn a_reused_part_is_checked_against_the_other_parts() {
    let document = trial();
    let first = json!({"workspaces": [document["workspaces"][1]]}).to_string();
    let mut rest = document.clone();
    rest["workspaces"].as_array_mut().unwrap().pop();
    let before = with_parts_of(rest.clone(), &["{}", &first]);
    let after = with_parts_of(rest, &[&first, &first.replace('}', " }")]);
    let mut assembly = assembly(&after.bytes);
    assembly.reuse(&assemble(&before).unwrap());
    assert_eq!(assembly.missing(), [Digest::of(&after.parts[1])]);
    assembly.add(after.parts[1].clone()).unwrap();
    expect![[r#"
        parts[1].workspaces[0].name: bakeries stands at parts[0].workspaces[0] too
        parts[1].workspaces[0].key_sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08 stands at parts[0].workspaces[0] too
    "#]].assert_eq(&lines(&assembly.finish().err().unwrap()));
}

#[test]
fn a_document_with_a_missing_part_is_rejected() {
    let bundle = bundle();
    let mut assembly = assembly(&bundle.bytes);
    assert_eq!(assembly.missing().len(), bundle.parts.len());
    for part in &bundle.parts[1..] {
        assembly.add(part.clone()).unwrap();
    }
    assert_eq!(assembly.missing(), [Digest::of(&bundle.parts[0])]);
    let faults = assembly.finish().unwrap_err();
    let digest = Digest::of(&bundle.parts[0]).to_string();
    expect![[r#"
        parts[0]: DIGEST is not at hand
    "#]]
    .assert_eq(&lines(&faults).replace(&digest, "DIGEST"));
    assert!(Catalog::parse(bundle.bytes).is_err());
}

#[test]
fn unlisted_repeated_and_large_parts_are_rejected() {
    let bundle = bundle();
    let mut assembly = assembly(&bundle.bytes);
    let other = Bytes::from_static(b"{\"workspaces\": []}");
    assert_eq!(assembly.add(other.clone()), Err(Error::NotNeeded(Digest::of(&other))));
    let part = &bundle.parts[0];
    assembly.add(part.clone()).unwrap();
    assert_eq!(assembly.add(part.clone()), Err(Error::NotNeeded(Digest::of(part))));
    let large = Bytes::from(vec![b' '; (1 << 20) + 1]);
    assert_eq!(assembly.add(large.clone()), Err(Error::TooLarge(large.len())));
}

#[test]
fn faults_in_parts_have_paths() {
    let document = trial();
    let repeated = json!({"workspaces": [document["workspaces"][1]]}).to_string();
    let invalid = json!({"workspaces": [{"name": "one", "share": 0}], "zones": []}).to_string();
    let bundle = with_parts(&["{", &repeated, &invalid, "[]"]);
    expect![[r#"
        parts[0]: no JSON: EOF while parsing an object at line 1 column 1
        parts[2].workspaces[0].share: a whole number from 1 to 1000000 is needed, found 0
        parts[2].workspaces[0].key_sha256: the field is missing
        parts[2].zones: the field is unknown, known are workspaces, backends
        parts[3]: an object is needed, found []
        parts[1].workspaces[0].name: bakeries stands at workspaces[1] too
        parts[1].workspaces[0].key_sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08 stands at workspaces[1] too
    "#]].assert_eq(&lines(&assemble(&bundle).unwrap_err()));
}

#[test]
fn faults_in_the_list_of_parts() {
    let mut document = trial();
    let digest = "a".repeat(64);
    document["parts"] = json!([digest, digest, "b", 3]);
    let faults = Catalog::parse(document.to_string()).unwrap_err();
    expect![[r#"
        parts[2]: a digest has 64 hexadecimal digits, found "b"
        parts[3]: a digest has 64 hexadecimal digits, found 3
        parts[1]: DIGEST stands twice
    "#]]
    .assert_eq(&lines(&faults).replace(&digest, "DIGEST"));
    document["parts"] = json!({});
    let faults = Catalog::parse(document.to_string()).unwrap_err();
    expect![[r#"
        parts: a list is needed, found {}
    "#]]
    .assert_eq(&lines(&faults));
    document["parts"] = json!(vec!["a".repeat(64); 5000]);
    let faults = Catalog::parse(document.to_string()).unwrap_err();
    expect![[r#"
        parts: 5000 parts, at most 4096 are allowed
    "#]]
    .assert_eq(&lines(&faults));
}

#[test]
fn split_and_assembled_documents_are_equal() {
    bolero::check!().with_iterations(200).with_type::<(u8, Vec<u16>)>().for_each(
        |(count, numbers)| {
            let mut document = trial();
            let mut numbers = numbers.clone();
            numbers.sort_unstable();
            numbers.dedup();
            let workspaces = numbers.iter().map(|number| {
                let key = Digest::of(&number.to_be_bytes());
                json!({"name": format!("w{number}"), "share": 1, "key_sha256": key})
            });
            document["workspaces"] = workspaces.chain([trial()["workspaces"][0].clone()]).collect();
            let count = usize::from(*count) + 1;
            let bundle = Bundle::split(document.to_string().as_bytes(), Some(count));
            let catalog = assemble(&bundle.expect("the document has no fault"))
                .expect("the parts have no fault");
            let mut assembled =
                serde_json::to_value(catalog.document()).expect("a document is serializable");
            sort(&mut assembled);
            sort(&mut document);
            assert_eq!(assembled["workspaces"], document["workspaces"]);
        },
    );
}

fn sort(document: &mut Value) {
    let list = document["workspaces"].as_array_mut().expect("workspaces are a list");
    list.sort_by_key(|workspace| workspace["name"].to_string());
}
