//! What the failure tests of whole deployments share.

#![allow(dead_code, unreachable_pub, missing_docs, reason = "each test binary uses a part")]

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

/// The deployments that run at once, so that they do not slow each other down.
static SEATS: Semaphore = Semaphore::const_new(2);

/// Waits until another deployment may be started.
pub async fn seat() -> SemaphorePermit<'static> {
    SEATS.acquire().await.expect("the semaphore is never closed")
}

/// Three availability zones, four engines in cold start and two plain services.
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

/// A deployment of [`shape`].
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

/// Requests of all classes, about 60 in a second.
pub fn source(seed: u64, time: Duration) -> Schedule {
    let mixes = [
        mix("booking", "bookings", 20.0, (1, 1)),
        mix("question", "desk", 30.0, (4, 8)),
        mix("draft", "desk", 10.0, (20, 40)),
    ];
    let workspaces = [(name::Workspace::new("gramado"), 1), (name::Workspace::new("lages"), 2)];
    Schedule::generate(seed, time, &mixes, &workspaces)
}

/// Callers that go on to another daemon, and come back after a refusal when they may.
pub const PERSISTENT: RetryPolicy = RetryPolicy {
    max_attempts: 8,
    attempt_timeout: Duration::from_millis(2_500),
    after_refusal: true,
};

/// A history with the records of the backend servers.
pub struct Outcomes {
    pub events: Vec<Event>,
    pub records: Vec<Record>,
}

/// Sends the requests of a source while `faults` go on, and gathers what happened.
pub async fn under_load(
    cluster: &mut Cluster,
    source: &Schedule,
    faults: impl AsyncFnOnce(&mut Cluster),
) -> Outcomes {
    let history = Arc::new(History::default());
    let callers = cluster.caller_addresses();
    tokio::join!(run(source, &callers, &history, PERSISTENT), faults(&mut *cluster));
    let records = cluster.records().await.expect("the stand-ins answer");
    Outcomes { events: history.events(), records }
}

impl Outcomes {
    /// Checks the promises that hold under every failure.
    pub fn check(&self, cluster: &Cluster) {
        let violations = history::check(&self.events, &self.records);
        let shown: Vec<_> = violations.iter().map(ToString::to_string).collect();
        assert!(shown.is_empty(), "{}\n{}", shown.join("\n"), cluster.logs(30));
        let overloads: u64 = self.records.iter().map(|record| record.overloads).sum();
        assert_eq!(overloads, 0, "cold engines got more than they bear\n{}", cluster.logs(30));
    }

    /// The number of requests, and of those that got an answer.
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

    /// The number of tries that ended with an outcome.
    pub fn ends(&self, outcome: Outcome) -> usize {
        let of_kind =
            |event: &&Event| matches!(event, Event::Ended(ended) if ended.outcome == outcome);
        self.events.iter().filter(of_kind).count()
    }

    /// How often each reason stood behind a try without an answer.
    fn reasons(&self) -> BTreeMap<(String, String), usize> {
        let mut reasons = BTreeMap::new();
        for event in &self.events {
            if let Event::Ended(ended) = event
                && ended.outcome != Outcome::Answered
            {
                let reason = (format!("{:?}", ended.outcome), ended.reason.to_string());
                *reasons.entry(reason).or_default() += 1;
            }
        }
        reasons
    }

    /// The longest time in which no backend server got work, while requests came.
    pub fn longest_gap(&self) -> Duration {
        let executions = self.records.iter().flat_map(|record| &record.executions);
        let mut arrivals: Vec<_> = executions.map(|execution| execution.arrived_ms).collect();
        arrivals.sort_unstable();
        let gaps = arrivals.windows(2).map(|pair| pair[1] - pair[0]);
        Duration::from_millis(gaps.max().unwrap_or_default())
    }

    /// Prints the figures of a run for the commit that needs them.
    pub fn print(&self, test: &str) {
        let (sent, answered) = self.answered();
        let ends = [Outcome::Refused, Outcome::Unknown, Outcome::Failed, Outcome::Lost]
            .map(|outcome| format!("{outcome:?}={}", self.ends(outcome)));
        let gap_ms = self.longest_gap().as_millis();
        eprintln!("{test}: sent={sent} answered={answered} {} gap_ms={gap_ms}", ends.join(" "));
        for ((outcome, reason), count) in self.reasons() {
            eprintln!("{test}: {count} times {outcome} {reason}");
        }
    }
}

/// The status of the fleet as a daemon sees it.
pub async fn status(cluster: &Cluster, index: usize) -> Value {
    let status = cluster.call_operator(index, Method::GET, "/v1/status", &Value::Null).await;
    status.expect("the daemon answers operators").1
}

/// The index of the daemon that schedules a pool's first group.
pub async fn scheduler(cluster: &Cluster, pool: &str) -> usize {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let status = status(cluster, 0).await;
        let hosts = status["hosts"].as_array().expect("a status has hosts");
        let schedules = |host: &&Value| {
            let schedulers = host["schedulers"].as_array().into_iter().flatten();
            let mut schedulers = schedulers.filter(|one| one["group"]["pool"] == pool);
            schedulers.any(|one| one["votes"].as_u64() > Some(0))
        };
        if let Some(host) = hosts.iter().find(schedules) {
            let host = host["host"].as_str().expect("a host has a name");
            return (0..).find(|&index| shape::host(index).as_str() == host).expect("a known host");
        }
        assert!(Instant::now() < end, "no scheduler for {pool}: {status}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
