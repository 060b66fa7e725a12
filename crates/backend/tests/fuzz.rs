//! Fuzzes the parsers of data from backend servers: no panic, bounded memory, and the same result
//! however the bytes are split into reads.

use hyssop_backend::{
    attempt, blame, body, load,
    sse::{Event, Parser},
};
use hyssop_document::number::Tier;

const ITERATIONS: usize = 20_000;
const MAX_EVENT_BYTES: usize = 64;

/// Parses a stream given as reads. Returns its events and whether it failed.
fn events<'a>(reads: impl Iterator<Item = &'a [u8]>) -> (Vec<Event>, bool) {
    let mut parser = Parser::new(MAX_EVENT_BYTES);
    let mut events = Vec::new();
    for read in reads {
        parser.push(read);
        loop {
            match parser.next() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(_) => return (events, true),
            }
        }
    }
    (events, false)
}

#[test]
fn events_do_not_depend_on_how_the_stream_is_split() {
    let noise = bolero::produce_with::<Vec<u8>>().len(0..200_usize);
    let input = bolero::check!().with_generator((noise, bolero::produce::<u8>()));
    input.with_iterations(ITERATIONS).for_each(|(noise, size)| {
        // Maps random bytes to characters with a meaning in the format, some of them repeated.
        let alphabet = b"\n\r: data:id[DONE]{}\xff";
        let expand = |b: &u8| {
            let byte = alphabet[usize::from(*b) % alphabet.len()];
            std::iter::repeat_n(byte, if byte > b':' { usize::from(*b) / 16 } else { 1 })
        };
        let bytes: Vec<u8> = noise.iter().flat_map(expand).collect();
        let whole = events(std::iter::once(&bytes[..]));
        let split = events(bytes.chunks(usize::from(*size).max(1)));
        assert_eq!(whole, split);
        let size = |event: &Event| event.data.len() + event.id.as_ref().map_or(0, String::len);
        assert!(whole.0.iter().all(|event| size(event) <= MAX_EVENT_BYTES));
    });
}

#[test]
fn the_size_check_of_a_comment_does_not_depend_on_how_it_is_split() {
    let bytes = format!(": {}\ndata: x\n\n", "x".repeat(2 * MAX_EVENT_BYTES)).into_bytes();
    let whole = events(std::iter::once(&bytes[..]));
    assert_eq!(whole, events(bytes.chunks(1)));
}

#[test]
fn an_endless_event_fails_at_the_size_limit() {
    for line in ["data: xxxxxxxx\n", "id: xxxxxxxxx", ": comment xx", "data: \n"] {
        let reads = std::iter::repeat_n(line.as_bytes(), 1000);
        let (events, failed) = events(reads);
        assert!(events.is_empty() && failed, "{line:?}");
    }
}

#[test]
fn load_reports_of_any_bytes_are_parsed_without_panic() {
    let valid = "process_start_time_seconds 1\nvllm:num_requests_running{a=\"\\\"}\"} 1 2\n";
    bolero::check!().with_type::<(Vec<u8>, usize)>().with_iterations(ITERATIONS).for_each(
        |(noise, at)| {
            let mut bytes = valid.as_bytes().to_vec();
            let at = at % bytes.len();
            bytes.splice(at..at, noise.iter().copied());
            if let Ok(text) = str::from_utf8(&bytes)
                && let Ok(load) = load::parse(text)
            {
                assert!((0.0..=1.0).contains(&load.kv_used));
            }
        },
    );
}

#[test]
fn bodies_ids_and_fingerprints_of_any_bytes_are_parsed_without_panic() {
    bolero::check!().with_type::<Vec<u8>>().with_iterations(ITERATIONS).for_each(|bytes| {
        if let Ok(body) = body::for_engine(bytes, Tier(1)) {
            let value: serde_json::Value = serde_json::from_slice(&body).unwrap();
            assert_eq!(value["stream"], true);
        }
        let text = String::from_utf8_lossy(bytes);
        if let Ok(id) = text.parse::<attempt::Id>() {
            assert_eq!(id.to_string(), text);
        }
        let _ = text.parse::<blame::Fingerprint>();
    });
}
