//! Lookups in a catalog.

mod common;

use common::TRIAL;
use expect_test::expect;
use hyssop_document::{catalog::Catalog, digest::Digest, name};

fn catalog() -> Catalog {
    Catalog::parse(TRIAL).expect("the document has no fault")
}

#[test]
fn lookup_by_name() {
    let catalog = catalog();
    assert_eq!(catalog.class(&name::Class::new("booking")).unwrap().tier.0, 2);
    assert_eq!(catalog.workspace(&name::Workspace::new("builders")).unwrap().share, 3);
    assert_eq!(catalog.pool(&name::Pool::new("deposits")).unwrap().queue_limit, 50);
    assert_eq!(catalog.backend(&name::Backend::new("engine-3")).unwrap().zone.as_str(), "south-1");
    assert!(catalog.zone(&name::Zone::new("south-2")).is_some());
    assert!(catalog.zone(&name::Zone::new("south-3")).is_none());
    assert!(catalog.class(&name::Class::new("Desk")).is_none());
}

#[test]
fn lookup_by_key() {
    let catalog = catalog();
    let found = catalog.workspace_by_key(&Digest::of(b"test")).unwrap();
    assert_eq!(found.name.as_str(), "bakeries");
    assert!(catalog.workspace_by_key(&Digest::of(b"Test")).is_none());
}

#[test]
fn lookup_by_group() {
    let catalog = catalog();
    let mut lines = String::new();
    for members in catalog.groups() {
        let names: Vec<_> = members.backends.iter().map(|backend| backend.name.as_str()).collect();
        lines.push_str(&format!("{}: {}\n", members.group, names.join(" ")));
        assert_eq!(catalog.members(&members.group), members.backends);
        for backend in &members.backends {
            assert_eq!(catalog.group_of(&backend.name), Some(&members.group));
        }
    }
    expect![[r#"
        drafting#0: engine-1 engine-2
        drafting#1: engine-3
        deposits#0: deposit-1
    "#]]
    .assert_eq(&lines);
    assert_eq!(catalog.groups_of(&name::Pool::new("drafting")).len(), 2);
    assert!(catalog.groups_of(&name::Pool::new("none")).is_empty());
    assert!(catalog.members(&"drafting#2".parse().unwrap()).is_empty());
}

#[test]
fn digest_and_revision() {
    let catalog = catalog();
    assert_eq!(catalog.digest(), Digest::of(TRIAL.as_bytes()));
    assert_eq!(catalog.bytes(), TRIAL.as_bytes());
    assert_eq!(catalog.revision().0, 7);
    assert_eq!(catalog.clone(), catalog);
}
