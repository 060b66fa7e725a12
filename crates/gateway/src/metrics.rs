//! Counters and histograms in the OpenMetrics text format.

use std::{sync::atomic::AtomicU64, time::Duration};

use compact_str::CompactString;
use hyssop_document::name::Pool;
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

#[cfg(doc)]
use crate::http::pool;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResponseLabels {
    route: String,
    status: u16,
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NoticeLabels {
    notice: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceLabels {
    workspace: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    end: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionLabels {
    pool: String,
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LeftLabels {
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HedgeLabels {
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ForwardLabels {
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RepeatLabels {
    decision: &'static str,
}

fn histogram() -> Histogram {
    // 1 ms to 16 s, each bound twice the one before.
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

/// A daemon's metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    responses: Family<ResponseLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    server_connections: Family<ConnectionLabels, Counter>,
    left: Family<LeftLabels, Counter>,
    notices: Family<NoticeLabels, Counter>,
    hedges: Family<HedgeLabels, Counter>,
    takeovers: Family<HedgeLabels, Counter>,
    repeats: Family<RepeatLabels, Counter>,
    share_refusals: Family<WorkspaceLabels, Counter>,
    forwarded: Family<ForwardLabels, Counter>,
    unanswered: Counter,
    unread: Counter,
    first_event: Family<RouteLabels, Histogram, fn() -> Histogram>,
    response_time: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// The number of requests being served.
    pub running: Gauge,
    /// The number of open connections of callers.
    pub connections: Gauge,
    /// The number of log lines that did not fit into the buffer.
    pub log_lines_dropped: Gauge,
    /// How often the source was restored from an older copy.
    pub source_restores: Gauge,
    /// For how long peers have had published records that this daemon lacks, in seconds.
    pub records_behind: Gauge<f64, AtomicU64>,
    /// The number of fetches of records that are running.
    pub record_fetches: Gauge,
    /// The number of pools of which this daemon reaches no backend server.
    pub lost_pools: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("hyssop");
        let responses = Family::default();
        let attempts = Family::default();
        let (server_connections, left) = (Family::default(), Family::default());
        let notices = Family::default();
        let (hedges, takeovers) = (Family::default(), Family::default());
        let share_refusals = Family::default();
        let repeats = Family::default();
        let first_event = Family::new_with_constructor(histogram as fn() -> Histogram);
        let response_time = Family::new_with_constructor(histogram as fn() -> Histogram);
        let (unanswered, unread) = (Counter::default(), Counter::default());
        let help = "Requests whose connection ended before their answer began";
        registry.register("unanswered", help, unanswered.clone());
        let help = "Connections of callers closed with bytes that were not read";
        registry.register("closed_unread", help, unread.clone());
        let (running, connections) = (Gauge::default(), Gauge::default());
        let (log_lines_dropped, source_restores) = (Gauge::default(), Gauge::default());
        registry.register("answers", "Answers to callers", responses.clone());
        registry.register("attempts", "Requests sent to backend servers", attempts.clone());
        let help = "Attempts to open a connection to a backend server";
        registry.register("server_connections", help, server_connections.clone());
        let help = "Attempts that were left before their response head had arrived";
        registry.register("left", help, left.clone());
        registry.register("server_notices", "Notices of backend servers", notices.clone());
        registry.register("hedges", "Second runs of late requests", hedges.clone());
        let help = "Overdue requests and silent streams offered to another backend server";
        registry.register("takeovers", help, takeovers.clone());
        let help = "Further sends of requests that a backend server may have received";
        registry.register("repeats", help, repeats.clone());
        let help = "Requests refused because their workspace has had its share";
        registry.register("share_refusals", help, share_refusals.clone());
        registry.register("first_event_seconds", "Time to the first event", first_event.clone());
        registry.register("answer_seconds", "Time to the end of the answer", response_time.clone());
        registry.register("running", "Requests being served", running.clone());
        registry.register("caller_connections", "Connections of callers", connections.clone());
        let help = "Log lines that did not fit into the buffer";
        registry.register("log_lines_dropped", help, log_lines_dropped.clone());
        let help = "Restores of the source from an older copy";
        registry.register("source_restores", help, source_restores.clone());
        let (records_behind, record_fetches) = (Gauge::default(), Gauge::default());
        let help = "Time for which peers have had records that this daemon lacks";
        registry.register("records_behind_seconds", help, records_behind.clone());
        let help = "Fetches of records from peers that are running";
        registry.register("record_fetches", help, record_fetches.clone());
        let (forwarded, lost_pools) = (Family::default(), Gauge::default());
        let help = "Requests that a peer served, as this daemon reached no backend server";
        registry.register("forwarded", help, forwarded.clone());
        let help = "Pools of which this daemon reaches no backend server";
        registry.register("lost_pools", help, lost_pools.clone());
        let registry = Mutex::new(registry);
        Self {
            registry,
            responses,
            attempts,
            server_connections,
            left,
            notices,
            hedges,
            takeovers,
            repeats,
            share_refusals,
            unanswered,
            unread,
            first_event,
            response_time,
            running,
            connections,
            log_lines_dropped,
            source_restores,
            records_behind,
            record_fetches,
            forwarded,
            lost_pools,
        }
    }
}

/// Counts a request in [`Metrics::running`] until it is dropped, after the end of its response.
#[derive(Debug)]
pub struct Running(Gauge);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Metrics {
    /// Counts a request as running.
    pub fn start_request(&self) -> Running {
        self.running.inc();
        Running(self.running.clone())
    }

    /// Counts a response to a caller. `reason` is empty for the complete response of a backend
    /// server.
    pub fn count_response(&self, route: &str, status: u16, reason: &str) {
        let labels = ResponseLabels { route: route.into(), status, reason: reason.into() };
        self.responses.get_or_create(&labels).inc();
    }

    /// Counts an attempt on a backend server by how it ended.
    pub fn count_attempt(&self, end: &CompactString) {
        self.attempts.get_or_create(&AttemptLabels { end: end.to_string() }).inc();
    }

    /// Counts an attempt to open a connection to a backend server by how it ended: `opened`, or the
    /// [`pool::Error::label`].
    pub fn count_connection(&self, pool: &Pool, end: &'static str) {
        let labels = ConnectionLabels { pool: pool.to_string(), end };
        self.server_connections.get_or_create(&labels).inc();
    }

    /// Counts an attempt that was left before its response head had arrived, by what became of the
    /// response: `read`, `closed` by the backend server without one, `late`, or `unread` as too many
    /// others were awaited.
    pub fn count_left(&self, end: &'static str) {
        self.left.get_or_create(&LeftLabels { end }).inc();
    }

    /// Counts a notice of a backend server: `leaving`, `pause`, `limit` or `brittle`.
    pub fn count_notice(&self, notice: &'static str) {
        self.notices.get_or_create(&NoticeLabels { notice }).inc();
    }

    /// Counts a hedge by how it ended: `first` or `second` for the backend server that won, `late` if
    /// neither responded until the deadline, `failed` if an attempt failed.
    pub fn count_hedge(&self, end: &'static str) {
        self.hedges.get_or_create(&HedgeLabels { end }).inc();
    }

    /// Counts an offer to another backend server by how it ended: `first` or `second` for the backend
    /// server that went on, `late` if neither did until the deadline, `failed` if an attempt failed or was
    /// rejected.
    pub fn count_takeover(&self, end: &'static str) {
        self.takeovers.get_or_create(&HedgeLabels { end }).inc();
    }

    /// Counts a request that is `sent` to a further backend server, or `refused` that by the budget.
    pub fn count_repeat(&self, decision: &'static str) {
        self.repeats.get_or_create(&RepeatLabels { decision }).inc();
    }

    /// Counts a request that was refused by the share of its workspace, empty for none.
    pub fn count_share_refusal(&self, workspace: &str) {
        let labels = WorkspaceLabels { workspace: workspace.into() };
        self.share_refusals.get_or_create(&labels).inc();
    }

    /// Counts a request that was forwarded to a peer by how it ended: `complete`, `broken`, `late`,
    /// `caller_left`, or `unreachable` if no byte of it reached the peer.
    pub fn count_forwarded(&self, end: &'static str) {
        self.forwarded.get_or_create(&ForwardLabels { end }).inc();
    }

    /// Counts a request whose connection ended before its response began.
    pub fn count_unanswered(&self) {
        self.unanswered.inc();
    }

    /// Counts a caller's connection that was closed with bytes that were not read.
    pub fn count_unread(&self) {
        self.unread.inc();
    }

    /// Observes the time from a request's arrival to its first event.
    pub fn observe_first_event(&self, route: &str, after: Duration) {
        let labels = RouteLabels { route: route.into() };
        self.first_event.get_or_create(&labels).observe(after.as_secs_f64());
    }

    /// Observes the time from a request's arrival to the end of its response.
    pub fn observe_response_time(&self, route: &str, after: Duration) {
        let labels = RouteLabels { route: route.into() };
        self.response_time.get_or_create(&labels).observe(after.as_secs_f64());
    }

    /// All metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry.lock()) {
            tracing::error!(event = "metrics_not_encoded", %error);
        }
        text
    }
}
