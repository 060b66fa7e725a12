//! The parser panics on no input, and every accepted document survives a round trip.

mod common;

use common::TRIAL;
use hyssop_document::load;

const ITERATIONS: usize = 20_000;

/// Checks that an accepted document is the same after it is serialized and parsed again.
fn round_trip(bytes: &[u8]) {
    let Ok(checked) = load::parse(bytes) else { return };
    let written = serde_json::to_vec(&checked.document).expect("a document is serializable");
    let again = load::parse(&written).expect("an accepted document is accepted again");
    assert_eq!(again.document, checked.document);
}

#[test]
fn any_bytes() {
    bolero::check!().with_iterations(ITERATIONS).for_each(round_trip);
}

#[test]
fn document_with_replaced_bytes() {
    bolero::check!().with_iterations(ITERATIONS).with_type::<Vec<(u16, u8)>>().for_each(
        |changes| {
            let mut bytes = TRIAL.as_bytes().to_vec();
            for (position, byte) in changes.iter().take(4) {
                let position = usize::from(*position) % bytes.len();
                bytes[position] = *byte;
            }
            round_trip(&bytes);
        },
    );
}

#[test]
fn document_with_copied_sections() {
    bolero::check!().with_iterations(ITERATIONS).with_type::<(u16, u16, u16)>().for_each(
        |&(from, length, to)| {
            let text = TRIAL.as_bytes();
            let from = usize::from(from) % text.len();
            let section = &text[from..text.len().min(from + usize::from(length) % 200)];
            let to = usize::from(to) % (text.len() - section.len());
            let mut bytes = text.to_vec();
            bytes[to..to + section.len()].copy_from_slice(section);
            round_trip(&bytes);
        },
    );
}
