//! What operators ask, answered from the node and the records of this daemon.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::BoxFuture;
use hyssop_document::{
    catalog::Catalog,
    name,
    number::Revision,
    order::{Order, State, Target},
};
use hyssop_operator::{
    desk::Desk as Border, histogram, outcome, quarantine as shown, readiness::Readiness, status,
};
use hyssop_peer::{Node, order::Outcome, status as peer, wire::Stamp};
use hyssop_policy::status as policy;

use super::quarantine::Quarantine;
use crate::histogram::{Book, Series};

/// The topic under which daemons ask each other for their histograms.
const HISTOGRAMS_TOPIC: &str = "histograms";

/// Answers operators.
#[derive(Debug)]
pub(crate) struct Desk {
    pub(crate) node: Arc<Node>,
    pub(crate) quarantine: Arc<Quarantine>,
}

impl Desk {
    async fn fleet(&self) -> status::Fleet {
        let fleet = self.node.status().await;
        let hosts = fleet.reached.iter().map(host).collect();
        let orders = State::clone(&self.node.current().orders);
        status::Fleet::join(self.me(), orders, hosts, fleet.not_reached)
    }

    async fn carry_out(&self, order: Order) -> outcome::Order {
        if let Some(unknown) = self.unknown_host(&order.target) {
            return outcome::Order::UnknownTarget(unknown);
        }
        let if_revision = order.if_revision;
        match self.node.order(order).await {
            Outcome::Done { state, in_force, not_reached } => {
                let confirmation = outcome::Confirmation::new(state, in_force, not_reached);
                outcome::Order::InForce(confirmation)
            }
            Outcome::Conflict { current } => {
                outcome::Order::Conflict(outcome::Conflict { if_revision, state: current })
            }
            Outcome::Unknown { message } => {
                outcome::Order::Undecided(outcome::Undecided { message })
            }
        }
    }

    /// Says which hosts are known, if the target is a host that nobody knows. The server has checked
    /// availability zones against the document.
    fn unknown_host(&self, target: &Target) -> Option<outcome::UnknownTarget> {
        let Target::Host(host) = target else { return None };
        let view = self.node.view();
        let listed = view.list.hosts.iter().map(|entry| &entry.host);
        let alive = view.alive.iter().map(|peer| &peer.identity.host);
        let mut known: Vec<_> = listed.chain(alive).collect();
        if known.contains(&host) || self.node.current().orders.hosts_out.contains(host) {
            return None;
        }
        known.sort();
        known.dedup();
        let known: Vec<_> = known.into_iter().map(name::Host::as_str).collect();
        let known = known.join(", ");
        let message = compact_str::format_compact!("known hosts: {known}");
        Some(outcome::UnknownTarget { target: target.clone(), message })
    }

    async fn gather_histograms(&self) -> histogram::Report {
        let replies = self.node.inquire(HISTOGRAMS_TOPIC).await;
        let mut not_reached = replies.not_reached;
        let mut parts = Vec::with_capacity(replies.answers.len());
        for (host, bytes) in replies.answers {
            match serde_json::from_slice(&bytes) {
                Ok(rows) => parts.push((host, rows)),
                Err(error) => {
                    log::warn!("histograms not readable host={host} error=\"{error}\"");
                    not_reached.push(host);
                }
            }
        }
        histogram::Report::join(self.me(), parts, not_reached)
    }

    fn me(&self) -> name::Host {
        self.node.identity().host.clone()
    }

    fn waiting_for(&self) -> Vec<CompactString> {
        let mut waiting_for = Vec::new();
        if self.node.current().document.is_none() {
            waiting_for.push("a document".into());
        }
        if !self.node.ready() && waiting_for.is_empty() {
            waiting_for.push("answers of the peers".into());
        }
        if self.node.view().leaving {
            waiting_for.push("nothing: the daemon is leaving".into());
        }
        waiting_for
    }
}

impl Border for Desk {
    fn status(&self) -> BoxFuture<'_, status::Fleet> {
        Box::pin(self.fleet())
    }

    fn orders(&self) -> BoxFuture<'_, State> {
        Box::pin(async { State::clone(&self.node.current().orders) })
    }

    fn order(&self, order: Order) -> BoxFuture<'_, outcome::Order> {
        Box::pin(self.carry_out(order))
    }

    fn histograms(&self) -> BoxFuture<'_, histogram::Report> {
        Box::pin(self.gather_histograms())
    }

    fn quarantine(&self) -> BoxFuture<'_, shown::Report> {
        Box::pin(async { self.quarantine.report() })
    }

    fn release(&self, fingerprint: shown::Fingerprint) -> BoxFuture<'_, shown::Release> {
        Box::pin(self.quarantine.release(fingerprint))
    }

    fn document(&self) -> BoxFuture<'_, Option<Catalog>> {
        Box::pin(async {
            let current = self.node.current();
            current.document.as_ref().map(|document| document.catalog.clone())
        })
    }

    fn readiness(&self) -> BoxFuture<'_, Readiness> {
        Box::pin(async { Readiness::new(self.waiting_for()) })
    }
}

/// Answers the peers' questions about this daemon.
#[derive(Debug)]
pub(crate) struct Inquiry {
    pub(crate) histograms: Arc<Book>,
}

impl hyssop_peer::Inquiry for Inquiry {
    fn answer(&self, topic: &str) -> BoxFuture<'static, Bytes> {
        let rows = match topic {
            HISTOGRAMS_TOPIC => rows(&self.histograms),
            _ => Vec::new(),
        };
        Box::pin(async move {
            let bytes = serde_json::to_vec(&rows).expect("histograms are serializable");
            Bytes::from(bytes)
        })
    }
}

fn rows(histograms: &Book) -> Vec<histogram::Row> {
    let series = histograms.snapshot().into_iter();
    series.map(|(name, series)| row(name.class, name.workspace, &series)).collect()
}

fn row(class: name::Class, workspace: name::Workspace, series: &Series) -> histogram::Row {
    histogram::Row {
        class,
        workspace: Some(workspace),
        answered: series.answered,
        on_target: series.attained,
        refused: series.refused,
        unknown: series.unknown,
        failed: series.failed,
        first_token: buckets(&series.first_token_ms),
        complete: buckets(&series.complete_ms),
    }
}

fn buckets(times_ms: &hdrhistogram::Histogram<u64>) -> histogram::Histogram {
    let recorded = times_ms.iter_recorded();
    histogram::Histogram::new(
        recorded.map(|bucket| (bucket.value_iterated_to(), bucket.count_at_value())),
    )
}

fn host(status: &peer::Status) -> status::Host {
    let Stamp { revision, digest } = status.document;
    let document = status::Published { revision, digest };
    let orders =
        status::Published { revision: status.orders.revision, digest: status.orders.digest() };
    status::Host {
        host: status.identity.host.clone(),
        zone: status.identity.zone.clone(),
        incarnation: status.identity.incarnation,
        caller_address: status.identity.caller_address,
        uptime_ms: status.uptime_ms,
        ready: status.ready,
        leaving: status.leaving,
        document: (revision > Revision(0)).then_some(document),
        orders,
        running: status.running,
        schedulers: status.groups.iter().map(scheduler).collect(),
    }
}

fn scheduler(status: &policy::Status) -> status::Scheduler {
    let queues: BTreeMap<_, _> =
        status.classes.iter().map(|class| (class.name.clone(), class.waiting)).collect();
    status::Scheduler {
        group: status.group.clone(),
        votes: status.share.votes,
        listed: status.share.hosts,
        queues: queues
            .into_iter()
            .filter(|(_, waiting)| *waiting > 0)
            .map(|(class, waiting)| status::Queue { class, waiting })
            .collect(),
        backends: status.backends.iter().map(|one| backend(one, status.share)).collect(),
    }
}

fn backend(status: &policy::Backend, share: hyssop_policy::share::Share) -> status::Backend {
    status::Backend {
        backend: status.name.clone(),
        zone: status.zone.clone(),
        state: state(status),
        limit: status.limit,
        share: share.limit(status.limit),
        running: status.running,
        reported: Some(status.reported),
    }
}

fn state(status: &policy::Backend) -> status::State {
    if !status.in_service {
        return status::State::Out;
    }
    if status.cold.is_some() {
        return status::State::Cold;
    }
    if status.straggler {
        return status::State::Slow;
    }
    status::State::Warm
}
