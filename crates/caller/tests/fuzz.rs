//! Fuzz tests of the input from callers: parsing must not panic, and accepted values must be valid.
#![allow(clippy::unwrap_used)]

mod bench;

use std::panic::AssertUnwindSafe;

use bench::{Bench, Call, engine::Fleet};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyssop_caller::{
    handler::Handler as _,
    key::{Key, MAX_KEY_BYTES},
    request::{Head, Prompt, Route},
};

const ITERATIONS: usize = 20_000;

#[test]
fn keys_have_one_text_form() {
    let noise = bolero::produce_with::<Vec<u8>>().len(0..60_usize);
    let input = bolero::check!().with_generator((noise, bolero::produce::<usize>()));
    input.with_iterations(ITERATIONS).for_each(|(noise, at)| {
        let mut text = b"0000018bcfe56801.1700000000000.part-1".to_vec();
        let at = at % text.len();
        let end = (at + noise.len() / 2).min(text.len());
        text.splice(
            at..end,
            noise.iter().map(|b| b"0123456789abcdefABCDEF.-_+ "[usize::from(*b) % 27]),
        );
        let text = String::from_utf8(text).unwrap();
        if let Ok(key) = text.parse::<Key>() {
            assert_eq!(key.to_string(), text.replace(&text[..16], &text[..16].to_lowercase()));
            assert!(text.len() <= MAX_KEY_BYTES);
            assert_eq!(key.to_string().parse(), Ok(key));
        }
    });
}

#[test]
fn arbitrary_headers_are_parsed_without_panic() {
    let names = [
        "authorization",
        "request-class",
        "idempotency-key",
        "prefer",
        "x-request-id",
        "content-type",
        "x-relayed-by",
    ];
    let starts = ["", "Bearer ", "wait=", "respond-async, wait=1", "draft", "1e999", "\"-1\""];
    bolero::check!().with_type::<Vec<(u8, u8, Vec<u8>)>>().with_iterations(ITERATIONS).for_each(
        |fields| {
            let mut headers = HeaderMap::new();
            for (name, start, noise) in fields.iter().take(20) {
                let name = names[usize::from(*name) % names.len()];
                let start = starts[usize::from(*start) % starts.len()].as_bytes();
                let Ok(value) = HeaderValue::from_bytes(&[start, noise].concat()) else { continue };
                headers.append(HeaderName::from_static(name), value);
            }
            if let Ok(head) = Head::parse(&headers) {
                assert!(head.wait.is_none_or(|wait| wait.as_secs() <= 24 * 60 * 60));
            }
            let _ = hyssop_caller::request::request_id(&headers);
        },
    );
}

#[test]
fn arbitrary_bodies_are_parsed_without_panic() {
    let valid = br#"{"model":"m","prompt":"p","stream":true,"max_tokens":1,"messages":[{"a":1}]}"#;
    let noise = bolero::produce_with::<Vec<u8>>().len(0..20_usize);
    let input = bolero::check!().with_generator((noise, bolero::produce::<usize>()));
    input.with_iterations(ITERATIONS).for_each(|(noise, at)| {
        let mut bytes = valid.to_vec();
        let at = at % bytes.len();
        let end = (at + noise.len() / 2).min(bytes.len());
        bytes.splice(at..end, noise.iter().copied());
        for route in [Route::Chat, Route::Completion] {
            let _ = Prompt::parse(&route, &Bytes::from(bytes.clone()));
        }
    });
    // The parser limits nesting, so deep input cannot overflow the stack.
    let deep = Bytes::from("[".repeat(100_000));
    assert!(Prompt::parse(&Route::Completion, &deep).is_err());
}

#[test]
fn every_request_gets_a_response_with_an_outcome() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let bench = AssertUnwindSafe((Bench::new(Fleet::new(1)), runtime));
    let paths = [
        "/v1/completions",
        "/v1/chat/completions",
        "/v1/services/orders/a?b",
        "/v1/services/",
        "/",
    ];
    bolero::check!().with_type::<(u8, Vec<u8>, Vec<u8>)>().with_iterations(3000).for_each(
        |(path, key, body)| {
            let path = paths[usize::from(*path) % paths.len()];
            let mut call = Call::new(path, "booking", String::from_utf8_lossy(body).into_owned());
            if let Ok(key) = HeaderValue::from_bytes(key)
                && let Ok(key) = key.to_str()
            {
                call = call.key(key);
            }
            let (head, body) = call.parts();
            let (bench, runtime) = &*bench;
            let response = runtime.block_on(bench.home.serve(head, body));
            assert!(response.headers().contains_key("request-outcome"));
        },
    );
    assert_eq!(bench.0.0.fleet.runs(), 0, "no request had a valid key");
}
