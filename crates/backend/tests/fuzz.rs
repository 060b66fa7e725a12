//! Fuzzing of what backend servers send: no panic, bounded memory, the same result however it is
//! cut.

use hyssop_backend::{
    attempt, blame, body, load,
    sse::{Event, Parser},
};
use hyssop_document::number::Tier;

const ITERATIONS: usize = 20_000;
const MAX_EVENT_BYTES: usize = 64;

/// The events of a stream that comes in pieces, and whether it failed.
fn events<'a>(pieces: impl Iterator<Item = &'a [u8]>) -> (Vec<Event>, bool) {
    let mut parser = Parser::new(MAX_EVENT_BYTES);
    let mut events = Vec::new();
    for piece in pieces {
        parser.push(piece);
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
fn event_streams_are_parsed_alike_however_they_are_cut() {
    let noise = bolero::produce_with::<Vec<u8>>().len(0..200_usize);
    let input = bolero::check!().with_generator((noise, bolero::produce::<u8>()));
    input.with_iterations(ITERATIONS).for_each(|(noise, size)| {
        // Noise is mapped to the characters that matter, some of them repeated.
        let alphabet = b"\n\r: data:id[DONE]{}\xff";
        let piece = |b: &u8| {
            let byte = alphabet[usize::from(*b) % alphabet.len()];
            std::iter::repeat_n(byte, if byte > b':' { usize::from(*b) / 16 } else { 1 })
        };
        let bytes: Vec<u8> = noise.iter().flat_map(piece).collect();
        let whole = events(std::iter::once(&bytes[..]));
        let cut = events(bytes.chunks(usize::from(*size).max(1)));
        assert_eq!(whole, cut);
        let size = |event: &Event| event.data.len() + event.id.as_ref().map_or(0, String::len);
        assert!(whole.0.iter().all(|event| size(event) <= MAX_EVENT_BYTES));
    });
}

#[test]
fn a_long_comment_is_judged_alike_however_it_is_cut() {
    let bytes = format!(": {}\ndata: x\n\n", "x".repeat(2 * MAX_EVENT_BYTES)).into_bytes();
    let whole = events(std::iter::once(&bytes[..]));
    assert_eq!(whole, events(bytes.chunks(1)));
}

#[test]
fn an_endless_event_is_an_error_before_it_takes_memory() {
    for line in ["data: xxxxxxxx\n", "id: xxxxxxxxx", ": comment xx", "data: \n"] {
        let pieces = std::iter::repeat_n(line.as_bytes(), 1000);
        let (events, failed) = events(pieces);
        assert!(events.is_empty() && failed, "{line:?}");
    }
}

#[test]
fn load_reports_of_any_bytes_are_read_without_panic() {
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
