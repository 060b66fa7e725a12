//! Counters and histograms, as text for scrapers.

use std::time::Duration;

use compact_str::CompactString;
use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The labels of answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answer {
    route: String,
    status: u16,
    reason: String,
}

/// The label of histograms.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByRoute {
    route: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Attempt {
    end: String,
}

fn histogram() -> Histogram {
    // 1 ms to 16 s, each bucket twice the one before.
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

/// What a daemon counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    answers: Family<Answer, Counter>,
    attempts: Family<Attempt, Counter>,
    first: Family<ByRoute, Histogram, fn() -> Histogram>,
    whole: Family<ByRoute, Histogram, fn() -> Histogram>,
    /// Requests that are being served.
    pub running: Gauge,
    /// Connections of callers.
    pub connections: Gauge,
    /// Log lines dropped.
    pub log_lines_dropped: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("hyssop");
        let answers = Family::default();
        let attempts = Family::default();
        let first = Family::new_with_constructor(histogram as fn() -> Histogram);
        let whole = Family::new_with_constructor(histogram as fn() -> Histogram);
        let (running, connections) = (Gauge::default(), Gauge::default());
        let log_lines_dropped = Gauge::default();
        registry.register("answers", "Answers to callers", answers.clone());
        registry.register("attempts", "Requests sent to backend servers", attempts.clone());
        registry.register("first_event_seconds", "Time to the first event", first.clone());
        registry.register("answer_seconds", "Time to the end of the answer", whole.clone());
        registry.register("running", "Requests being served", running.clone());
        registry.register("caller_connections", "Connections of callers", connections.clone());
        let help = "Log lines that did not fit into the buffer";
        registry.register("log_lines_dropped", help, log_lines_dropped.clone());
        let registry = Mutex::new(registry);
        Self { registry, answers, attempts, first, whole, running, connections, log_lines_dropped }
    }
}

impl Metrics {
    /// Counts an answer. `reason` tells why the daemon answered itself, or is empty.
    pub fn answered(&self, route: &str, status: u16, reason: &str) {
        let labels = Answer { route: route.into(), status, reason: reason.into() };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts an attempt by its end.
    pub fn attempted(&self, end: &CompactString) {
        self.attempts.get_or_create(&Attempt { end: end.to_string() }).inc();
    }

    /// Takes the time to a first event.
    pub fn first_event(&self, route: &str, after: Duration) {
        let labels = ByRoute { route: route.into() };
        self.first.get_or_create(&labels).observe(after.as_secs_f64());
    }

    /// Takes the time to the end of an answer.
    pub fn whole(&self, route: &str, after: Duration) {
        let labels = ByRoute { route: route.into() };
        self.whole.get_or_create(&labels).observe(after.as_secs_f64());
    }

    /// All of it as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry.lock()) {
            tracing::error!(event = "metrics_not_encoded", %error);
        }
        text
    }
}
