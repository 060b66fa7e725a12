//! The interface between the administration API and the daemon.

use futures::future::BoxFuture;
use hyssop_document::{
    catalog::Catalog,
    order::{Order, State},
};

use crate::{
    histogram::{self, Filter},
    outcome,
    quarantine::{Fingerprint, Release, Report},
    readiness::Readiness,
    status::Fleet,
};

/// The operations of a daemon that the administration API exposes.
pub trait Handler: Send + Sync + 'static {
    /// The status of all hosts that this daemon can reach.
    fn status(&self) -> BoxFuture<'_, Fleet>;

    /// The service orders in force at this daemon.
    fn orders(&self) -> BoxFuture<'_, State>;

    /// Applies a service order and distributes it to the other hosts.
    fn apply_order(&self, order: Order) -> BoxFuture<'_, outcome::Order>;

    /// The histogram rows that match a filter, summed over all hosts that this daemon can reach.
    fn histograms(&self, filter: Filter) -> BoxFuture<'_, histogram::Report>;

    /// The requests that are refused because they crashed backend servers.
    fn quarantine(&self) -> BoxFuture<'_, Report>;

    /// Ends the quarantine of a request on all hosts that this daemon can reach.
    fn release(&self, fingerprint: Fingerprint) -> BoxFuture<'_, Release>;

    /// The document in force at this daemon.
    fn document(&self) -> BoxFuture<'_, Option<Catalog>>;

    /// Whether this daemon is ready for callers.
    fn readiness(&self) -> BoxFuture<'_, Readiness>;
}
