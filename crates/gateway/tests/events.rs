//! The event filter passes on complete events only, and each once if the stream may be resumed.

use bytes::Bytes;
use hyssop_gateway::events::EventFilter;

fn stream(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// Pushes `text` in chunks of `size` bytes and returns the events passed on.
fn push_in_chunks(event_filter: &mut EventFilter, text: &str, size: usize) -> String {
    let chunks = text.as_bytes().chunks(size);
    let passed = chunks
        .flat_map(|chunk| event_filter.push(&Bytes::copy_from_slice(chunk)).expect("small events"));
    String::from_utf8(passed.collect()).expect("complete events are text")
}

#[test]
fn events_pass_complete_whatever_the_chunk_size() {
    let text = stream(1..=5);
    for size in 1..text.len() {
        let mut event_filter = EventFilter::default();
        assert_eq!(push_in_chunks(&mut event_filter, &text, size), text, "chunks of {size} bytes");
        assert_eq!(event_filter.last_event_id, Some(5));
        assert!(event_filter.partial().is_empty());
    }
}

#[test]
fn an_incomplete_event_is_held_back() {
    let text = stream(1..=2);
    let mut event_filter = EventFilter::default();
    assert_eq!(push_in_chunks(&mut event_filter, &text[..text.len() - 1], 7), stream(1..=1));
    assert!(!event_filter.partial().is_empty());
    // Another backend server sends that event from its beginning.
    event_filter.discard_partial();
    assert_eq!(push_in_chunks(&mut event_filter, &stream(2..=3), 7), stream(2..=3));
}

#[test]
fn repeated_events_are_dropped() {
    for size in 1..60 {
        let mut event_filter = EventFilter::after(Some(3));
        assert_eq!(
            push_in_chunks(&mut event_filter, &stream(1..=6), size),
            stream(4..=6),
            "chunks of {size} bytes"
        );
    }
}

#[test]
fn events_of_a_stream_that_may_not_resume_are_not_dropped() {
    let text = stream(1..=3) + &stream(2..=4);
    let mut event_filter = EventFilter::default();
    assert_eq!(push_in_chunks(&mut event_filter, &text, 7), text);
}

#[test]
fn lines_before_the_id_belong_to_their_event() {
    let text = "weight-versions: 2\nid: 4\ndata: x\n\n";
    let mut event_filter = EventFilter::after(Some(4));
    assert_eq!(push_in_chunks(&mut event_filter, text, 5), "");
    let mut event_filter = EventFilter::after(Some(3));
    assert_eq!(push_in_chunks(&mut event_filter, text, 5), text);
}

#[test]
fn carriage_returns_end_lines_too() {
    let text = "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n";
    let mut event_filter = EventFilter::default();
    assert_eq!(push_in_chunks(&mut event_filter, text, 4), text);
    assert_eq!(event_filter.last_event_id, Some(2));
}

#[test]
fn output_does_not_depend_on_the_chunk_size() {
    let inputs = bolero::check!().with_type::<(Vec<u8>, u8)>();
    inputs.with_iterations(5_000).for_each(|(bytes, size)| {
        let push = |filter: &mut EventFilter, bytes: &[u8]| {
            filter.push(&Bytes::copy_from_slice(bytes)).expect("small events")
        };
        let whole = push(&mut EventFilter::default(), bytes);
        let mut event_filter = EventFilter::default();
        let size = usize::from(*size).max(1);
        let chunked: Vec<u8> =
            bytes.chunks(size).flat_map(|chunk| push(&mut event_filter, chunk)).collect();
        // Events without ids are never treated as repeated.
        if !bytes.windows(3).any(|window| window == b"id:") {
            assert_eq!(whole, chunked);
        }
    });
}

/// An engine that sends one event without end must not fill the daemon's memory, nor have it search
/// all that it has received for each chunk.
#[test]
fn an_event_without_end_is_an_error() {
    let chunk = Bytes::from(vec![b'a'; 4 << 10]);
    for mut event_filter in [EventFilter::default(), EventFilter::after(Some(1))] {
        let accepted = (0..1_000).take_while(|_| event_filter.push(&chunk).is_ok()).count();
        assert_eq!(accepted, 64, "chunks of 4 KiB");
    }
}

#[test]
fn a_large_event_passes() {
    let event = format!("id: 1\ndata: {}\n\n", "a".repeat(200 << 10));
    for size in [1_000, 100_000, event.len()] {
        assert_eq!(push_in_chunks(&mut EventFilter::default(), &event, size), event);
    }
}

/// A stream may end with an empty line or a comment, in whatever chunks these arrive.
#[test]
fn comments_and_empty_lines_at_the_end_are_no_event() {
    for rest in ["\n", "\r\n", "\n\n", ": bye\n", ":\r\n", "\n: bye\n\n"] {
        let text = stream(1..=2) + rest;
        for size in 1..=text.len() {
            let mut event_filter = EventFilter::default();
            let passed = push_in_chunks(&mut event_filter, &text, size);
            assert!(!event_filter.is_inside_event(), "{rest:?} in chunks of {size} bytes");
            let all = passed.into_bytes().into_iter().chain(event_filter.take_rest());
            assert_eq!(String::from_utf8(all.collect()).as_deref(), Ok(text.as_str()));
        }
    }
    for rest in ["d", "data: x", "data: x\n", "data: x\r\n\r", ": bye\ndata: x\n"] {
        let mut event_filter = EventFilter::default();
        push_in_chunks(&mut event_filter, &(stream(1..=2) + rest), 4);
        assert!(event_filter.is_inside_event(), "{rest:?}");
    }
}
