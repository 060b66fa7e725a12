//! Deployments, load and checks shared by the tests of whole deployments.

#![allow(dead_code, unreachable_pub, missing_docs, reason = "each test binary uses some items")]

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::Method;
use hyssop_document::{model::Class, name};
use hyssop_fakes::{
    cluster::{Builder, Cluster},
    history::{self, Event, History, Outcome},
    load::{ClassLoad, RetryPolicy, Schedule, run},
    record::Record,
    shape::{self, Shape},
};
use serde_json::Value;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Limits the number of concurrent deployments, so that they do not slow each other down.
static DEPLOYMENT_SLOTS: Semaphore = Semaphore::const_new(2);

/// Waits until another deployment may run. The permit is held for as long as the deployment runs.
pub async fn deployment_slot() -> SemaphorePermit<'static> {
    DEPLOYMENT_SLOTS.acquire().await.expect("the semaphore is never closed")
}

/// Three availability zones, four engines that start cold and two plain services.
pub fn shape() -> Shape {
    let booking = Class { idempotent: false, ..shape::class("booking", 1, 1_000, 4_000) };
    Shape::new("trial", 3)
        .class(booking)
        .class(shape::class("question", 2, 2_000, 6_000))
        .class(shape::class("draft", 5, 4_000, 10_000))
        .pool(shape::model("desk", 8), 4)
        .pool(shape::service("bookings", 16), 2)
        .workspace("gramado", 1)
        .workspace("lages", 2)
}

/// A builder for a deployment of [`shape`].
pub fn builder(daemons: usize) -> Builder {
    Builder::new(PathBuf::from(env!("CARGO_BIN_EXE_node")), shape()).daemons(daemons)
}

fn mix(class: &str, pool: &str, per_s: f64, tokens: (u64, u64)) -> ClassLoad {
    ClassLoad {
        class: name::Class::new(class),
        pool: name::Pool::new(pool),
        call: pool == "bookings",
        idempotent: class != "booking",
        per_s,
        burst: None,
        tokens,
        words: 20,
        deadline_ms: 8_000,
    }
}

/// Requests of all classes, about 60 per second.
pub fn source(seed: u64, time: Duration) -> Schedule {
    let mixes = [
        mix("booking", "bookings", 20.0, (1, 1)),
        mix("question", "desk", 30.0, (4, 8)),
        mix("draft", "desk", 10.0, (20, 40)),
    ];
    let workspaces = [(name::Workspace::new("gramado"), 1), (name::Workspace::new("lages"), 2)];
    Schedule::generate(seed, time, &mixes, &workspaces)
}

/// Retries through other daemons, also after a refusal that permits it.
pub const PERSISTENT_RETRY: RetryPolicy = RetryPolicy {
    max_attempts: 8,
    attempt_timeout: Duration::from_millis(2_500),
    after_refusal: true,
};

/// A history and the execution records of the backend servers.
pub struct Outcomes {
    pub events: Vec<Event>,
    pub records: Vec<Record>,
}

/// Sends the requests of a source while `faults` runs; returns the history and the records.
pub async fn under_load(
    cluster: &mut Cluster,
    source: &Schedule,
    faults: impl AsyncFnOnce(&mut Cluster),
) -> Outcomes {
    let history = Arc::new(History::default());
    let callers = cluster.caller_addresses();
    tokio::join!(run(source, &callers, &history, PERSISTENT_RETRY), faults(&mut *cluster));
    let records = cluster.records().await.expect("a stand-in returned no record");
    Outcomes { events: history.events(), records }
}

impl Outcomes {
    /// Checks the guarantees that hold under all failures: a valid history and no overloaded cold
    /// engine.
    pub fn check(&self, cluster: &Cluster) {
        let violations = history::check(&self.events, &self.records);
        let shown: Vec<_> = violations.iter().map(ToString::to_string).collect();
        assert!(shown.is_empty(), "{}\n{}", shown.join("\n"), cluster.logs(30));
        let overloads: u64 = self.records.iter().map(|record| record.overloads).sum();
        assert_eq!(
            overloads,
            0,
            "cold engines received more requests than their limit\n{}",
            cluster.logs(30)
        );
    }

    /// The numbers of sent and of answered requests.
    pub fn answered(&self) -> (usize, usize) {
        let mut sent: Vec<_> = self
            .events
            .iter()
            .filter_map(|event| match event {
                Event::Sent(sent) => Some(sent.request),
                Event::Ended(_) => None,
            })
            .collect();
        sent.sort_unstable();
        sent.dedup();
        (sent.len(), history::answered_requests(&self.events).len())
    }

    /// The number of attempts that ended with an outcome.
    pub fn count_ended(&self, outcome: Outcome) -> usize {
        let has_outcome =
            |event: &&Event| matches!(event, Event::Ended(ended) if ended.outcome == outcome);
        self.events.iter().filter(has_outcome).count()
    }

    /// The number of unanswered attempts by outcome and reason.
    fn failure_counts(&self) -> BTreeMap<(String, String), usize> {
        let mut counts = BTreeMap::new();
        for event in &self.events {
            if let Event::Ended(ended) = event
                && ended.outcome != Outcome::Answered
            {
                let key = (format!("{:?}", ended.outcome), ended.reason.to_string());
                *counts.entry(key).or_default() += 1;
            }
        }
        counts
    }

    /// The longest time between two arrivals of requests at backend servers.
    pub fn longest_gap(&self) -> Duration {
        let executions = self.records.iter().flat_map(|record| &record.executions);
        let mut arrivals: Vec<_> = executions.map(|execution| execution.arrived_ms).collect();
        arrivals.sort_unstable();
        let gaps = arrivals.windows(2).map(|pair| pair[1] - pair[0]);
        Duration::from_millis(gaps.max().unwrap_or_default())
    }

    /// Prints the number of attempts by outcome and reason, and the longest gap.
    pub fn print(&self, test: &str) {
        let (sent, answered) = self.answered();
        let attempts = [Outcome::Refused, Outcome::Unknown, Outcome::Failed, Outcome::Lost]
            .map(|outcome| format!("{outcome:?}={}", self.count_ended(outcome)));
        let gap_ms = self.longest_gap().as_millis();
        eprintln!("{test}: sent={sent} answered={answered} {} gap_ms={gap_ms}", attempts.join(" "));
        for ((outcome, reason), count) in self.failure_counts() {
            eprintln!("{test}: {count} times {outcome} {reason}");
        }
    }
}

/// The status of the fleet as one daemon reports it.
pub async fn status(cluster: &Cluster, index: usize) -> Value {
    let status = cluster.call_operator(index, Method::GET, "/v1/status", &Value::Null).await;
    status.expect("the daemon returned no status").1
}

/// The index of the daemon that schedules a pool's first group.
pub async fn scheduler_index(cluster: &Cluster, pool: &str) -> usize {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let status = status(cluster, 0).await;
        let hosts = status["hosts"].as_array().expect("the status has no hosts");
        let schedules = |host: &&Value| {
            let schedulers = host["schedulers"].as_array().into_iter().flatten();
            let mut schedulers = schedulers.filter(|entry| entry["group"]["pool"] == pool);
            schedulers.any(|entry| entry["votes"].as_u64() > Some(0))
        };
        if let Some(host) = hosts.iter().find(schedules) {
            let host = host["host"].as_str().expect("the host has no name");
            return (0..)
                .find(|&index| shape::host(index).as_str() == host)
                .expect("the range of indices is unbounded");
        }
        assert!(Instant::now() < end, "no scheduler for pool {pool}: {status}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
