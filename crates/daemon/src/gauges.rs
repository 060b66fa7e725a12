//! Sends the state of the daemon as metrics at a fixed interval.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hyssop_operator::status::{Host, Scheduler, State};
use hyssop_peer::Node;
use hyssop_timer::{Service, Ticks};
use tokio_util::sync::CancellationToken;

use crate::{adapt::status, metrics::Metrics};

/// The time after which a metric is sent even if its datagram is not full.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// The number of flushes per report of the state.
const FLUSHES_PER_REPORT: u64 = 5;

/// Flushes metrics at each tick and sends the daemon's state every [`FLUSHES_PER_REPORT`] ticks.
pub(crate) struct Gauges {
    node: Arc<Node>,
    metrics: Arc<Metrics>,
    ticks: Ticks,
}

impl Gauges {
    /// The gauges of a node. Nothing is sent before [`Gauges::run`].
    pub(crate) fn new(node: Arc<Node>, metrics: Arc<Metrics>, timer: &Service) -> Self {
        Self { node, metrics, ticks: timer.subscribe(FLUSH_INTERVAL) }
    }

    /// Sends until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        for number in 0_u64.. {
            let tick = tokio::select! {
                () = stop.cancelled() => return,
                tick = self.ticks.next() => tick,
            };
            if tick.is_none() {
                return;
            }
            // Metrics pass a queue before they reach the sink's buffer, so the state sent at one
            // tick is flushed at the next.
            self.metrics.flush();
            if number % FLUSHES_PER_REPORT == 0 {
                self.send_state().await;
            }
        }
    }

    async fn send_state(&self) {
        let own = self.node.own_status().await;
        let gauge = |name, value| self.metrics.gauge(name, value, &[]);
        gauge("hosts_alive", own.alive.len() as u64);
        gauge("hosts_listed", own.listed.len() as u64);
        let host = status::host(&own);
        self.send_host(&host);
        for scheduler in host.schedulers.iter().filter(|scheduler| scheduler.votes > 0) {
            self.send_scheduler(scheduler);
        }
    }

    fn send_host(&self, host: &Host) {
        let gauge = |name, value| self.metrics.gauge(name, value, &[]);
        gauge("ready", u64::from(host.ready));
        gauge("leaving", u64::from(host.leaving));
        gauge("platform_reached", u64::from(host.platform));
        gauge("document_revision", host.document.map_or(0, |document| document.revision.0));
        gauge("orders_revision", host.orders.revision.0);
        gauge("document_rejected", u64::from(host.rejected.is_some()));
        gauge("revision_conflict", u64::from(host.conflict.is_some()));
        gauge("permits", host.running);
    }

    fn send_scheduler(&self, scheduler: &Scheduler) {
        let group = scheduler.group.to_string();
        let tags = [("group", group.as_str())];
        self.metrics.gauge("votes", u64::from(scheduler.votes), &tags);
        let waiting = scheduler.queues.iter().map(|queue| queue.waiting).sum();
        self.metrics.gauge("waiting", waiting, &tags);
        let running = scheduler.backends.iter().map(|backend| u64::from(backend.running)).sum();
        self.metrics.gauge("granted", running, &tags);
        let slots = scheduler.backends.iter().map(|backend| u64::from(backend.share)).sum();
        self.metrics.gauge("slots", slots, &tags);
        for (state, count) in count_by_state(scheduler) {
            let state = state.to_string();
            let tags = [("group", group.as_str()), ("state", state.as_str())];
            self.metrics.gauge("backends", count, &tags);
        }
    }
}

/// The number of backend servers in each state, including states without backend servers.
fn count_by_state(scheduler: &Scheduler) -> BTreeMap<State, u64> {
    let mut counts: BTreeMap<_, _> = State::ALL.into_iter().map(|state| (state, 0)).collect();
    for backend in &scheduler.backends {
        *counts.entry(backend.state).or_default() += 1;
    }
    counts
}
