//! The test harness itself, with a baseline router in place of the product.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::{sync::Arc, time::Duration};

use expect_test::expect;
use hyssop_document::name;
use hyssop_fakes::{
    baseline::Strategy,
    cluster::{Builder, Cluster},
    engine,
    history::{self, History, Outcome},
    load::{self, ClassLoad, RetryPolicy, Schedule},
    shape::{self, Shape},
};

fn shape() -> Shape {
    Shape::new("trial", 2)
        .class(shape::class("desk", 1, 500, 2_000))
        .workspace("north", 1)
        .pool(shape::model("model", 8), 2)
        .pool(shape::service("orders", 8), 1)
}

fn mix(class: &str, pool: &str, call: bool) -> ClassLoad {
    ClassLoad {
        class: name::Class::new(class),
        pool: name::Pool::new(pool),
        call,
        idempotent: !call,
        per_s: 20.0,
        burst: None,
        tokens: (2, 8),
        words: 10,
        deadline_ms: 4_000,
    }
}

async fn start() -> Cluster {
    let node = env!("CARGO_BIN_EXE_node");
    // A baseline router has no cold limits and would overload cold engines.
    let warm = engine::Settings { cold_start: false, ..engine::Settings::default() };
    let builder = Builder::new(node, shape()).daemons(2).engine(warm);
    builder.baseline(Strategy::LeastConnections).start().await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_is_answered_and_the_history_is_clean() {
    let cluster = start().await;
    let mixes = [mix("desk", "model", false), mix("desk", "orders", true)];
    let workspaces = [(name::Workspace::new("north"), 1)];
    let source = Schedule::generate(1, Duration::from_secs(1), &mixes, &workspaces);
    let history = Arc::new(History::default());
    load::run(&source, &cluster.caller_addresses(), &history, RetryPolicy::NONE).await;
    let events = history.events();
    let records = cluster.records().await.unwrap();
    let violations = history::check(&events, &records);
    expect!["[]"].assert_eq(&format!("{violations:?}"));
    let answered = history::answered_requests(&events).len();
    assert_eq!(answered, source.requests.len());
    let outcomes = events.iter().filter_map(|event| match event {
        history::Event::Ended(ended) => Some(ended.outcome),
        history::Event::Sent(_) => None,
    });
    assert!(outcomes.into_iter().all(|outcome| outcome == Outcome::Answered));
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_freeze_thaw_and_restart() {
    let mut cluster = start().await;
    cluster.daemons[0].suspend().unwrap();
    let frozen = hyssop_fakes::client::get(cluster.caller_addresses()[0], "/v1/addresses");
    assert!(tokio::time::timeout(Duration::from_millis(300), frozen).await.is_err());
    cluster.daemons[0].resume().unwrap();
    hyssop_fakes::client::get(cluster.caller_addresses()[0], "/v1/addresses").await.unwrap();
    cluster.daemons[0].kill();
    assert!(
        hyssop_fakes::client::get(cluster.caller_addresses()[0], "/v1/addresses").await.is_err()
    );
    cluster.restart(0).await.unwrap();
}
