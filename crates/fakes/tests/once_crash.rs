//! A request that crashes each engine that runs it is resent through all daemons. Without
//! quarantine it would crash the whole pool and fail the other requests there.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use hyper::Method;
use hyssop_document::name;
use hyssop_fakes::{
    cluster::{Builder, Cluster},
    history::{self, History, Outcome},
    load::{Caller, Payload, Request, Response, RetryPolicy},
    shape::{self, Shape},
};
use serde_json::Value;

const DAEMON_COUNT: usize = 3;
const ENGINE_COUNT: usize = 8;
const DEADLINE_MS: u64 = 10_000;
/// The number of engines that one request may crash.
const MAX_CRASHES: u64 = 3;
const RESEND_ROUNDS: usize = 4;
const INNOCENT_REQUESTS: u64 = 60;

fn shape() -> Shape {
    Shape::new("crash", 2)
        .class(shape::class("draft", 3, 5_000, DEADLINE_MS))
        .pool(shape::model("drafting", 8), ENGINE_COUNT)
        .workspace("north", 1)
}

fn draft(number: u64, prompt: String) -> Request {
    Request {
        number,
        class: name::Class::new("draft"),
        workspace: name::Workspace::new("north"),
        pool: name::Pool::new("drafting"),
        idempotent: true,
        deadline_ms: DEADLINE_MS,
        payload: Payload::Completion { prompt, max_tokens: None, stream: number.is_multiple_of(2) },
    }
}

/// Sends a request with a new idempotency key through one daemon.
async fn send(
    cluster: &Cluster,
    history: &Arc<History>,
    daemon: usize,
    request: &Request,
) -> Response {
    let mut seeds = cluster.caller_addresses();
    seeds.rotate_left(daemon);
    let workspace = name::Workspace::new("north");
    Caller::new(workspace, seeds, history.clone(), RetryPolicy::NONE).send(request).await
}

async fn poisonings(cluster: &Cluster) -> u64 {
    cluster.records().await.unwrap().iter().map(|record| record.poisonings).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_request_costs_few_engines_and_the_innocent_are_answered() {
    let builder = Builder::new(env!("CARGO_BIN_EXE_node"), shape());
    let cluster = builder.daemons(DAEMON_COUNT).own_processes().start().await.unwrap();
    let history = Arc::new(History::default());
    let poison = |number| draft(number, "a poison prompt length=20".to_owned());

    let innocent = (1..=INNOCENT_REQUESTS).map(|number| {
        let request = draft(number, format!("innocent draft {number} length=40"));
        let (cluster, history) = (&cluster, &history);
        async move {
            tokio::time::sleep(Duration::from_millis(number * 20)).await;
            send(cluster, history, number as usize % DAEMON_COUNT, &request).await
        }
    });
    let resent = async {
        let mut responses = Vec::new();
        for round in 0..RESEND_ROUNDS {
            for daemon in 0..DAEMON_COUNT {
                let number = 1000 + (round * DAEMON_COUNT + daemon) as u64;
                responses.push(send(&cluster, &history, daemon, &poison(number)).await);
            }
        }
        responses
    };
    let (innocent, resent) = tokio::join!(join_all(innocent), resent);

    let logs = || cluster.logs(40);
    for response in &innocent {
        assert_eq!(response.outcome, Outcome::Answered, "{response:?}\n{}", logs());
    }
    for response in &resent {
        assert_eq!(response.outcome, Outcome::Failed, "{response:?}\n{}", logs());
        assert!(response.reason.starts_with("quarantined ran"), "{response:?}\n{}", logs());
    }
    let crashes = poisonings(&cluster).await;
    assert!((1..=MAX_CRASHES).contains(&crashes), "{crashes} engines\n{}", logs());
    let events: Vec<_> = history.events();
    let violations = history::check(&events, &cluster.records().await.unwrap());
    assert!(violations.is_empty(), "{violations:#?}");

    // Each daemon lists the quarantined request, and a release at one daemon applies to all.
    let (status, report) =
        cluster.call_operator(1, Method::GET, "/v1/quarantine", &Value::Null).await.unwrap();
    let entries = report["entries"].as_array().unwrap();
    assert_eq!((status, entries.len()), (200, 1), "{report}");
    let fingerprint = entries[0]["fingerprint"].as_str().unwrap();
    let path = format!("/v1/quarantine/{fingerprint}");
    let (status, _) = cluster.call_operator(2, Method::DELETE, &path, &Value::Null).await.unwrap();
    assert_eq!(status, 200);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = poisonings(&cluster).await;
    send(&cluster, &history, 0, &poison(2000)).await;
    assert!(poisonings(&cluster).await > before, "the released request did not run again");
}
