//! Events of a stream: whole ones, each once.

use bytes::Bytes;
use hyssop_gateway::events::Splitter;

fn stream(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// Cuts `text` into parts of `size` bytes and returns what is let through.
fn pass(splitter: &mut Splitter, text: &str, size: usize) -> String {
    let parts = text.as_bytes().chunks(size);
    let passed = parts.flat_map(|part| splitter.push(&Bytes::copy_from_slice(part)));
    String::from_utf8(passed.collect()).expect("whole events are text")
}

#[test]
fn events_pass_whole_however_they_are_cut() {
    let text = stream(1..=5);
    for size in 1..text.len() {
        let mut splitter = Splitter::default();
        assert_eq!(pass(&mut splitter, &text, size), text, "parts of {size}");
        assert_eq!(splitter.last, Some(5));
        assert!(splitter.tail().is_empty());
    }
}

#[test]
fn a_begun_event_is_kept_back() {
    let text = stream(1..=2);
    let mut splitter = Splitter::default();
    assert_eq!(pass(&mut splitter, &text[..text.len() - 1], 7), stream(1..=1));
    assert!(!splitter.tail().is_empty());
    // Another backend server begins that event anew.
    splitter.restart();
    assert_eq!(pass(&mut splitter, &stream(2..=3), 7), stream(2..=3));
}

#[test]
fn events_that_were_let_through_do_not_pass_again() {
    for size in 1..60 {
        let mut splitter = Splitter::after(Some(3));
        assert_eq!(pass(&mut splitter, &stream(1..=6), size), stream(4..=6), "parts of {size}");
    }
}

#[test]
fn lines_before_the_id_belong_to_their_event() {
    let text = "weight-versions: 2\nid: 4\ndata: x\n\n";
    let mut splitter = Splitter::after(Some(4));
    assert_eq!(pass(&mut splitter, text, 5), "");
    let mut splitter = Splitter::after(Some(3));
    assert_eq!(pass(&mut splitter, text, 5), text);
}

#[test]
fn carriage_returns_end_lines_too() {
    let text = "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n";
    let mut splitter = Splitter::default();
    assert_eq!(pass(&mut splitter, text, 4), text);
    assert_eq!(splitter.last, Some(2));
}

#[test]
fn what_passes_does_not_depend_on_how_bytes_are_cut() {
    let inputs = bolero::check!().with_type::<(Vec<u8>, u8)>();
    inputs.with_iterations(5_000).for_each(|(bytes, size)| {
        let whole = Splitter::default().push(&Bytes::copy_from_slice(bytes));
        let mut splitter = Splitter::default();
        let size = usize::from(*size).max(1);
        let parts =
            bytes.chunks(size).flat_map(|part| splitter.push(&Bytes::copy_from_slice(part)));
        let cut: Vec<u8> = parts.collect();
        // Without ids nothing is taken for a repetition.
        if !bytes.windows(3).any(|window| window == b"id:") {
            assert_eq!(whole, cut);
        }
    });
}
