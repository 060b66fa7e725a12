//! No bytes make the reader panic, and what it accepts can be written and read again.

mod common;

use common::TRIAL;
use hyssop_document::load;

const ITERATIONS: usize = 20_000;

/// A document that was accepted reads the same after it was written.
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
fn bytes_replaced_in_a_document() {
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
fn parts_of_a_document_exchanged() {
    bolero::check!().with_iterations(ITERATIONS).with_type::<(u16, u16, u16)>().for_each(
        |&(from, length, to)| {
            let text = TRIAL.as_bytes();
            let from = usize::from(from) % text.len();
            let part = &text[from..text.len().min(from + usize::from(length) % 200)];
            let to = usize::from(to) % (text.len() - part.len());
            let mut bytes = text.to_vec();
            bytes[to..to + part.len()].copy_from_slice(part);
            round_trip(&bytes);
        },
    );
}
