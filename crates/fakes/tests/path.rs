//! The whole request path, with each daemon and stand-in as a process of its own.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use hyssop_fakes::quickstart::{self, Summary};

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_each_class_are_answered_through_all_daemons() {
    let mut out = Vec::new();
    let summary = quickstart::run(env!("CARGO_BIN_EXE_node").into(), &mut out).await.unwrap();
    let expected = Summary { sent: 72, correct: 72, daemons: 3, violations: Vec::new() };
    assert_eq!(summary, expected, "{}", String::from_utf8_lossy(&out));
}
