//! Sends the state of the daemon as metrics, again and again.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hyssop_operator::status::{Host, Scheduler, State};
use hyssop_peer::Node;
use hyssop_timer::{Service, Ticks};
use tokio_util::sync::CancellationToken;

use crate::{adapt::status, metrics::Metrics};

/// The time after which a metric is sent though its datagram is not full.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);
/// The number of flushes for each report of the state.
const FLUSHES: u64 = 5;

/// Sends the state of the daemon at each tick.
pub(crate) struct Gauges {
    node: Arc<Node>,
    metrics: Arc<Metrics>,
    ticks: Ticks,
}

impl Gauges {
    /// Gauges of a node. Nothing is sent before [`Gauges::run`].
    pub(crate) fn new(node: Arc<Node>, metrics: Arc<Metrics>, timer: &Service) -> Self {
        Self { node, metrics, ticks: timer.subscribe(FLUSH_PERIOD) }
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
            // What the sink got a moment ago may still be on its way to the buffer, so the state is
            // flushed at the next tick.
            self.metrics.flush();
            if number % FLUSHES == 0 {
                self.send().await;
            }
        }
    }

    async fn send(&self) {
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
        for (state, count) in states(scheduler) {
            let state = state.to_string();
            let tags = [("group", group.as_str()), ("state", state.as_str())];
            self.metrics.gauge("backends", count, &tags);
        }
    }
}

/// The number of backend servers in each state, those without any included.
fn states(scheduler: &Scheduler) -> BTreeMap<State, u64> {
    let mut counts: BTreeMap<_, _> = State::ALL.into_iter().map(|state| (state, 0)).collect();
    for backend in &scheduler.backends {
        *counts.entry(backend.state).or_default() += 1;
    }
    counts
}
