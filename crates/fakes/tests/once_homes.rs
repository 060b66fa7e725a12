//! Callers resend requests through other daemons while daemons are killed, frozen and partitioned,
//! and responses are delayed, mismatched, duplicated, truncated and aborted. The history check
//! guards against a second execution of a request that is not idempotent and wrong responses.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hyssop_document::{model::Class, name};
use hyssop_fakes::{
    cluster::{Builder, Cluster},
    history::{self, Event, History, Outcome},
    load::{self, ClassLoad, RetryPolicy, Schedule},
    shape::{self, Shape},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const DAEMON_COUNT: usize = 4;
const LOAD_TIME: Duration = Duration::from_secs(7);
const SETTLE_TIME: Duration = Duration::from_secs(3);
const ENGINE_COUNT: usize = 3;
const SERVICE_COUNT: usize = 2;
const DEADLINE_MS: u64 = 4_000;
const RETRY_POLICY: RetryPolicy = RetryPolicy {
    max_attempts: 5,
    attempt_timeout: Duration::from_millis(700),
    after_refusal: true,
};

fn shape() -> Shape {
    let booking = Class { idempotent: false, ..shape::class("booking", 1, 1_000, DEADLINE_MS) };
    Shape::new("once", 2)
        .class(booking)
        .class(shape::class("draft", 3, 2_000, DEADLINE_MS))
        .pool(shape::model("drafting", 8), ENGINE_COUNT)
        .pool(shape::service("orders", 16), SERVICE_COUNT)
        .workspace("north", 1)
        .workspace("south", 1)
}

fn mix(class: &str, pool: &str, call: bool, per_s: f64) -> ClassLoad {
    ClassLoad {
        class: name::Class::new(class),
        pool: name::Pool::new(pool),
        call,
        idempotent: !call,
        per_s,
        burst: None,
        tokens: (5, 30),
        words: 10,
        deadline_ms: DEADLINE_MS,
    }
}

async fn start() -> Cluster {
    let builder = Builder::new(env!("CARGO_BIN_EXE_node"), shape());
    builder.daemons(DAEMON_COUNT).own_processes().start().await.unwrap()
}

/// Starts to send the load of a seed, with all daemons as callers' addresses.
fn start_load(cluster: &Cluster, seed: u64) -> (Arc<History>, tokio::task::JoinHandle<()>) {
    let history = Arc::new(History::default());
    let mixes = [mix("booking", "orders", true, 60.0), mix("draft", "drafting", false, 15.0)];
    let workspaces = [(name::Workspace::new("north"), 2), (name::Workspace::new("south"), 1)];
    let source = Schedule::generate(seed, LOAD_TIME, &mixes, &workspaces);
    let (seeds, shared) = (cluster.caller_addresses(), history.clone());
    let task = tokio::spawn(async move { load::run(&source, &seeds, &shared, RETRY_POLICY).await });
    (history, task)
}

/// Checks the history, and prints the outcomes of all attempts and of bookings.
#[allow(clippy::print_stdout, reason = "a test prints its figures")]
async fn check(cluster: &Cluster, history: &History, seed: u64, what: &str) {
    tokio::time::sleep(SETTLE_TIME).await;
    let events = history.events();
    let records = cluster.records().await.unwrap();
    let violations = history::check(&events, &records);
    let mut counts = BTreeMap::new();
    let ends = events.iter().filter_map(|event| match event {
        Event::Ended(ended) => Some(ended.outcome.to_string()),
        Event::Sent(_) => None,
    });
    ends.for_each(|end| *counts.entry(end).or_insert(0) += 1);
    let executions: usize = records.iter().map(|record| record.executions.len()).sum();
    println!("what={what} seed={seed} attempts={counts:?} executions={executions}");
    println!("what={what} bookings={:?}", bookings(&events));
    assert!(violations.is_empty(), "{violations:#?}\n{}", cluster.logs(15));
    assert!(counts.get(&Outcome::Answered.to_string()).is_some_and(|count| *count > 100));
}

/// The number of bookings by the outcome of their last attempt.
fn bookings(events: &[Event]) -> BTreeMap<String, u64> {
    let ends = events.iter().filter_map(|event| match event {
        Event::Ended(ended) => Some(ended),
        Event::Sent(_) => None,
    });
    let is_booking = |request: u64| {
        events.iter().any(|event| {
            matches!(event, Event::Sent(sent) if sent.request == request && !sent.idempotent)
        })
    };
    let last: BTreeMap<_, _> = ends.map(|ended| (ended.request, ended.outcome)).collect();
    let mut counts = BTreeMap::new();
    for (_, outcome) in last.into_iter().filter(|(request, _)| is_booking(*request)) {
        *counts.entry(outcome.to_string()).or_insert(0) += 1;
    }
    counts
}

/// Injects one fault of a kind into a random daemon or backend server.
async fn inject_fault(cluster: &mut Cluster, kind: &str, random: &mut SmallRng) {
    let daemon = random.random_range(0..DAEMON_COUNT);
    match kind {
        "home killed" => {
            cluster.daemons[daemon].kill();
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.daemons[daemon].restart().unwrap();
        }
        "home frozen" => {
            cluster.daemons[daemon].suspend().unwrap();
            tokio::time::sleep(Duration::from_millis(900)).await;
            cluster.daemons[daemon].resume().unwrap();
        }
        "engine crashed" => {
            cluster
                .control_backend(random.random_range(0..ENGINE_COUNT), "crash", "")
                .await
                .unwrap();
        }
        "service crashed" => {
            let service = ENGINE_COUNT + random.random_range(0..SERVICE_COUNT);
            cluster.control_backend(service, "crash", "").await.unwrap();
        }
        _ => {}
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_fault_keeps_the_guarantees() {
    const SEED: u64 = 13;
    let faults = [
        ("mismatched and duplicated", r#"{"cross":0.1,"duplicate":0.1}"#, r#"{"cross":0.1}"#),
        ("delayed", r#"{"delay":0.05,"delay_ms":300}"#, r#"{"delay":0.2,"delay_ms":900}"#),
        ("aborted and truncated", r#"{"cut":0.05,"truncate":0.05}"#, "{}"),
        ("crashed after executing", "{}", r#"{"crash":0.02}"#),
        ("none", "{}", "{}"),
        ("home killed", "{}", "{}"),
        ("home frozen", "{}", "{}"),
        ("engine crashed", "{}", "{}"),
        ("service crashed", "{}", "{}"),
    ];
    for (kind, engine, service) in faults {
        let mut cluster = start().await;
        for index in 0..ENGINE_COUNT + SERVICE_COUNT {
            let faults = if index < ENGINE_COUNT { engine } else { service };
            cluster.control_backend(index, "faults", faults).await.unwrap();
        }
        let mut random = SmallRng::seed_from_u64(SEED);
        let (history, load_task) = start_load(&cluster, SEED);
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(random.random_range(300..700))).await;
            inject_fault(&mut cluster, kind, &mut random).await;
        }
        load_task.await.unwrap();
        check(&cluster, &history, SEED, kind).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn homes_are_killed_and_frozen() {
    const SEED: u64 = 11;
    let mut cluster = start().await;
    let mut random = SmallRng::seed_from_u64(SEED);
    let (history, load_task) = start_load(&cluster, SEED);
    for _ in 0..5 {
        tokio::time::sleep(Duration::from_millis(random.random_range(200..600))).await;
        let victim = random.random_range(0..DAEMON_COUNT);
        if random.random_bool(0.5) {
            cluster.daemons[victim].kill();
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.daemons[victim].restart().unwrap();
        } else {
            cluster.daemons[victim].suspend().unwrap();
            // Longer than callers wait, so that the daemon resumes with requests that were resent
            // through others.
            tokio::time::sleep(Duration::from_millis(900)).await;
            cluster.daemons[victim].resume().unwrap();
        }
    }
    load_task.await.unwrap();
    check(&cluster, &history, SEED, "killed and frozen homes").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_are_cut_off_from_each_other() {
    const SEED: u64 = 14;
    let builder = Builder::new(env!("CARGO_BIN_EXE_node"), shape());
    let cluster = builder.daemons(DAEMON_COUNT).own_processes().links().start().await.unwrap();
    let mut random = SmallRng::seed_from_u64(SEED);
    let (history, load_task) = start_load(&cluster, SEED);
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(random.random_range(200..600))).await;
        let side: Vec<_> = (0..DAEMON_COUNT).filter(|_| random.random_bool(0.5)).collect();
        cluster.set_partition(&side, true);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        cluster.set_partition(&side, false);
    }
    load_task.await.unwrap();
    check(&cluster, &history, SEED, "partitioned daemons").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_delayed_mismatched_duplicated_and_truncated_while_engines_crash() {
    const SEED: u64 = 12;
    let cluster = start().await;
    let mut random = SmallRng::seed_from_u64(SEED);
    let engine =
        r#"{"delay":0.02,"delay_ms":300,"cross":0.05,"duplicate":0.05,"truncate":0.01,"cut":0.02}"#;
    let service = r#"{"delay":0.1,"delay_ms":900,"crash":0.005,"cross":0.02}"#;
    for index in 0..ENGINE_COUNT + SERVICE_COUNT {
        let faults = if index < ENGINE_COUNT { engine } else { service };
        cluster.control_backend(index, "faults", faults).await.unwrap();
    }
    let (history, load_task) = start_load(&cluster, SEED);
    for _ in 0..5 {
        tokio::time::sleep(Duration::from_millis(random.random_range(600..1400))).await;
        let engine = random.random_range(0..ENGINE_COUNT);
        cluster.control_backend(engine, "crash", "").await.unwrap();
    }
    load_task.await.unwrap();
    check(&cluster, &history, SEED, "faulty responses and crashed engines").await;
}
