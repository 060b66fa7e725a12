//! The example document and settings in the README are valid.

use clap::Parser as _;
use hyssop_daemon::settings::{Flags, Settings};
use hyssop_document::catalog::Catalog;

const README: &str = include_str!("../../../README.md");

fn json_block(position: usize) -> &'static str {
    let mut blocks = README.split("```json\n").skip(1);
    let block = blocks.nth(position).expect("the README has the block");
    block.split("```").next().expect("a split has a first part")
}

#[test]
fn example_document_is_valid() {
    let catalog = Catalog::parse(json_block(0).as_bytes().to_vec());
    assert!(catalog.is_ok(), "{catalog:?}");
}

#[test]
fn example_settings_are_valid() {
    let flags = Flags::try_parse_from(["hyssopcourse", "--settings", "settings.json"]);
    let flags = flags.expect("the flags are valid");
    let settings = Settings::parse(json_block(1).as_bytes(), &flags);
    assert!(settings.is_ok(), "{settings:?}");
}
