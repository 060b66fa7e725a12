//! The border between the administration API and the daemon behind it.

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

/// What a daemon answers to operators.
pub trait Handler: Send + Sync + 'static {
    /// The status of the fleet, as far as this daemon reaches it.
    fn status(&self) -> BoxFuture<'_, Fleet>;

    /// The service orders in force at this daemon.
    fn orders(&self) -> BoxFuture<'_, State>;

    /// Carries out an order and passes it on to the other hosts.
    fn order(&self, order: Order) -> BoxFuture<'_, outcome::Order>;

    /// The histograms that a filter wants, as far as this daemon reaches the fleet.
    fn histograms(&self, filter: Filter) -> BoxFuture<'_, histogram::Report>;

    /// The requests that are refused because they crashed backend servers.
    fn quarantine(&self) -> BoxFuture<'_, Report>;

    /// Ends the quarantine of a request.
    fn release(&self, fingerprint: Fingerprint) -> BoxFuture<'_, Release>;

    /// The document in force at this daemon.
    fn document(&self) -> BoxFuture<'_, Option<Catalog>>;

    /// Whether this daemon is ready for callers.
    fn readiness(&self) -> BoxFuture<'_, Readiness>;
}
