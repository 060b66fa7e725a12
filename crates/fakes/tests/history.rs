//! The history check reports each kind of violation.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use expect_test::{Expect, expect};
use hyssop_document::{digest::Digest, name, number::Tokens};
use hyssop_fakes::{
    history::{self, Ended, Event, Outcome, Sent},
    record::{End, Execution, Record},
};

fn sent(attempt: u32, key: &str, idempotent: bool, at_ms: u64) -> Event {
    Event::Sent(Sent {
        request: 7,
        attempt,
        class: name::Class::new("desk"),
        workspace: name::Workspace::new("north"),
        key: Some(key.into()),
        idempotent,
        content: Digest::of(b"content"),
        to: "127.0.0.1:1".parse().unwrap(),
        at_ms,
    })
}

fn ended(attempt: u32, outcome: Outcome, whole: bool, at_ms: u64) -> Event {
    Event::Ended(Ended {
        request: 7,
        attempt,
        outcome,
        correct: whole,
        reason: "reason".into(),
        tokens: Tokens(3),
        first_token_ms: None,
        elapsed_ms: 5,
        at_ms,
    })
}

fn execution(arrived_ms: u64, end: End) -> Execution {
    Execution {
        backend: "b1".into(),
        request_id: "a1".into(),
        content: Digest::of(b"content"),
        priority: 0,
        arrived_ms,
        started_ms: None,
        ended_ms: None,
        tokens: 3,
        end,
    }
}

fn check(events: &[Event], executions: Vec<Execution>, expected: &Expect) {
    let record = Record { executions, ..Record::default() };
    let violations = history::check(events, &[record]);
    let messages: Vec<_> = violations.iter().map(ToString::to_string).collect();
    expected.assert_eq(&messages.join("\n"));
}

#[test]
fn accepts_an_answered_request() {
    let events = [sent(0, "k", false, 10), ended(0, Outcome::Answered, true, 20)];
    check(&events, vec![execution(12, End::Completed)], &expect![""]);
}

#[test]
fn reports_a_wrong_response() {
    let events = [sent(0, "k", false, 10), ended(0, Outcome::Answered, false, 20)];
    let expected = expect!["request 7: a wrong answer in try 0: reason"];
    check(&events, vec![execution(12, End::Completed)], &expected);
}

#[test]
fn reports_a_second_execution() {
    let events = [sent(0, "k", false, 10), ended(0, Outcome::Answered, true, 20)];
    let executions = vec![execution(12, End::Completed), execution(13, End::Cancelled)];
    check(&events, executions, &expect!["request 7: is not idempotent and ran 2 times"]);
}

#[test]
fn reports_the_execution_of_a_refused_attempt() {
    let events = [sent(0, "k", true, 10), ended(0, Outcome::Refused, false, 20)];
    let expected = expect!["request 7: try 0 was refused as not run, and b1 ran it"];
    check(&events, vec![execution(30, End::Cancelled)], &expected);
}

#[test]
fn accepts_an_execution_under_the_next_key() {
    let events = [
        sent(0, "k", true, 10),
        ended(0, Outcome::Refused, false, 20),
        sent(1, "l", true, 30),
        ended(1, Outcome::Answered, true, 40),
    ];
    check(&events, vec![execution(32, End::Completed)], &expect![""]);
}

#[test]
fn reports_a_missing_execution_and_a_missing_end() {
    let events =
        [sent(0, "k", true, 10), ended(0, Outcome::Answered, true, 20), sent(1, "k", true, 30)];
    let expected = expect![[r#"
        request 7: 0 ends of try 1
        request 7: answered, and no backend server ran it to its end"#]];
    check(&events, vec![], &expected);
}
