//! Valid and invalid settings files.

use clap::Parser as _;
use expect_test::{Expect, expect};
use hyssop_daemon::settings::{Flags, Settings};

const VALID: &str = r#"{
    "host": "h1",
    "zone": "z1",
    "caller_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "operator_address": "127.0.0.1:8082",
    "platform_address": "127.0.0.1:8500",
    "platform_prefix": "hyssop/trial",
    "operator_keys_sha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
}"#;

fn parse(text: &str, flags: &[&str]) -> String {
    let arguments = ["hyssopcourse", "--settings", "s.json"].iter().chain(flags);
    let flags = Flags::try_parse_from(arguments).expect("the test's flags are valid");
    match Settings::parse(text.as_bytes(), &flags) {
        Ok(settings) => format!("{settings:#?}"),
        Err(error) => error.to_string(),
    }
}

fn check(text: &str, flags: &[&str], expected: &Expect) {
    expected.assert_eq(&parse(text, flags));
}

#[test]
fn missing_optional_fields_have_defaults() {
    check(
        VALID,
        &[],
        &expect![[r#"
            Settings {
                host: Host(
                    "h1",
                ),
                zone: Zone(
                    "z1",
                ),
                caller_address: 127.0.0.1:8080,
                peer_address: 127.0.0.1:8081,
                operator_address: 127.0.0.1:8082,
                platform_address: 127.0.0.1:8500,
                platform_prefix: "hyssop/trial",
                peers: [],
                operator_keys_sha256: [
                    Digest(9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08),
                ],
                metrics_address: None,
                log_level: Info,
                addresses_lifetime: 5s,
                stop_limit: 120s,
            }"#]],
    );
}

#[test]
fn every_fault_is_reported_with_file_field_and_value() {
    let invalid = r#"{
        "host": "h 1",
        "host": "h2",
        "caller_address": "127.0.0.1",
        "peer_address": 7,
        "operator_address": "127.0.0.1:8082",
        "platform_address": "127.0.0.1:8500",
        "platform_prefix": "p",
        "log_level": "loud",
        "stop_limit_ms": -1,
        "zonne": "z1"
    }"#;
    check(
        invalid,
        &[],
        &expect![[r#"
            s.json: host: duplicate field with value "h2"
            s.json: host: "h 1": a name contains ' ', only letters, digits, '.', '_', '-' and '/' are allowed
            s.json: zone: missing
            s.json: caller_address: "127.0.0.1": invalid socket address syntax
            s.json: peer_address: 7: invalid type: integer `7`, expected socket address
            s.json: operator_keys_sha256: missing
            s.json: log_level: "loud": attempted to convert a string that doesn't match an existing log level
            s.json: stop_limit_ms: -1: invalid value: integer `-1`, expected u64
            s.json: zonne: unknown field"#]],
    );
}

#[test]
fn flags_override_fields() {
    let text = parse(
        VALID,
        &["--host", "h9", "--log-level", "debug", "--peers", "127.0.0.1:1,127.0.0.1:2"],
    );
    assert!(text.contains("\"h9\""), "{text}");
    assert!(text.contains("log_level: Debug"), "{text}");
    assert!(text.contains("127.0.0.1:2,"), "{text}");
}

#[test]
fn duplicate_addresses_are_rejected() {
    check(
        VALID,
        &["--operator-address", "127.0.0.1:8080"],
        &expect!["s.json: operator_address: 127.0.0.1:8080 is also the caller_address"],
    );
}

#[test]
fn text_that_is_not_an_object_is_one_fault() {
    check(
        "[1]",
        &[],
        &expect![
            "s.json: file: not a JSON object: invalid type: sequence, expected a JSON object at line 1 column 0"
        ],
    );
}
