//! Handles operator requests with the node, the quarantine and the histograms of this daemon.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::BoxFuture;
use hyssop_document::{
    catalog::Catalog,
    name,
    order::{Order, State, Target},
};
use hyssop_operator::{
    handler::Handler as OperatorHandler,
    histogram::{self, Filter},
    outcome, quarantine as operator_quarantine,
    readiness::Readiness,
    status,
};
use hyssop_peer::{Node, order::Outcome};

use super::{quarantine::Quarantine, status as convert_status};
use crate::histogram::Registry;

/// The prefix of the topic with which daemons request histograms from each other. A filter follows.
const HISTOGRAMS_TOPIC_PREFIX: &str = "histograms?";
/// The maximum number of histogram rows in a response to a peer, without the rows that combine
/// further workspaces.
const MAX_HISTOGRAM_ROWS: usize = 1000;

/// Handles operator requests.
#[derive(Debug)]
pub(crate) struct Handler {
    pub(crate) node: Arc<Node>,
    pub(crate) quarantine: Arc<Quarantine>,
}

impl Handler {
    async fn fleet_status(&self) -> status::Fleet {
        let fleet = self.node.status().await;
        let hosts = fleet.reached.iter().map(convert_status::host).collect();
        let orders = State::clone(&self.node.current().orders);
        status::Fleet::from_hosts(self.own_host(), orders, hosts, fleet.not_reached)
    }

    async fn execute_order(&self, order: Order) -> outcome::Order {
        if let Some(unknown) = self.unknown_host(&order.target) {
            return outcome::Order::UnknownTarget(unknown);
        }
        let if_revision = order.if_revision;
        match self.node.execute_order(order).await {
            Outcome::InForce { state, in_force, not_reached } => {
                let confirmation = outcome::Confirmation::new(state, in_force, not_reached);
                outcome::Order::InForce(confirmation)
            }
            Outcome::Conflict { current } => {
                outcome::Order::Conflict(outcome::Conflict { if_revision, state: current })
            }
            Outcome::Undecided { message } => {
                outcome::Order::Undecided(outcome::Undecided { message })
            }
        }
    }

    /// Returns the error for a host that is neither listed, alive nor out of service. The operator
    /// server has already checked availability zones against the document.
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

    async fn gather_histograms(&self, filter: Filter) -> histogram::Report {
        let result = self.node.query(&format!("{HISTOGRAMS_TOPIC_PREFIX}{filter}")).await;
        let mut not_reached = result.not_reached;
        let mut rows_by_host = Vec::with_capacity(result.responses.len());
        for (host, bytes) in result.responses {
            match serde_json::from_slice(&bytes) {
                Ok(rows) => rows_by_host.push((host, rows)),
                Err(error) => {
                    log::warn!("invalid histograms host={host} error=\"{error}\"");
                    not_reached.push(host);
                }
            }
        }
        histogram::Report::from_hosts(self.own_host(), rows_by_host, not_reached)
    }

    fn own_host(&self) -> name::Host {
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

impl OperatorHandler for Handler {
    fn status(&self) -> BoxFuture<'_, status::Fleet> {
        Box::pin(self.fleet_status())
    }

    fn orders(&self) -> BoxFuture<'_, State> {
        Box::pin(async { State::clone(&self.node.current().orders) })
    }

    fn apply_order(&self, order: Order) -> BoxFuture<'_, outcome::Order> {
        Box::pin(self.execute_order(order))
    }

    fn histograms(&self, filter: Filter) -> BoxFuture<'_, histogram::Report> {
        Box::pin(self.gather_histograms(filter))
    }

    fn quarantine(&self) -> BoxFuture<'_, operator_quarantine::Report> {
        Box::pin(async { self.quarantine.report() })
    }

    fn release(
        &self,
        fingerprint: operator_quarantine::Fingerprint,
    ) -> BoxFuture<'_, operator_quarantine::Release> {
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

/// Responds to peers' queries with the histograms of this daemon.
#[derive(Debug)]
pub(crate) struct QueryHandler {
    pub(crate) histograms: Arc<Registry>,
}

impl QueryHandler {
    fn rows(&self, filter: &Filter) -> Vec<histogram::Row> {
        let mut rows = self.histograms.rows();
        rows.retain(|row| filter.matches(row));
        histogram::limit_rows(rows, MAX_HISTOGRAM_ROWS)
    }
}

impl hyssop_peer::QueryHandler for QueryHandler {
    fn respond(&self, topic: &str) -> BoxFuture<'static, Bytes> {
        let filter = topic.strip_prefix(HISTOGRAMS_TOPIC_PREFIX).and_then(|text| text.parse().ok());
        let rows = filter.map(|filter: Filter| self.rows(&filter)).unwrap_or_default();
        Box::pin(async move {
            let bytes = serde_json::to_vec(&rows).expect("histograms are serializable");
            Bytes::from(bytes)
        })
    }
}
