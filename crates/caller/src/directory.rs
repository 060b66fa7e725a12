//! Lookups in the document in force and in the list of daemons.

use std::net::SocketAddr;

use hyssop_document::{digest::Digest, model, name, number::Incarnation};
use serde::Serialize;

/// The entries of the document in force that a request refers to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// The workspace that the bearer key belongs to.
    pub workspace: name::Workspace,
    /// The class that the request names.
    pub class: model::Class,
    /// The pool of the model or service that the request names.
    pub pool: model::Pool,
}

/// The error of a lookup: the entry that the document in force lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Missing {
    /// No document is in force yet.
    #[display("the daemon has no document yet")]
    Document,
    /// No workspace has this key.
    #[display("the bearer key belongs to no workspace")]
    Workspace,
    /// The class is not in the document.
    #[display("the document has no such class")]
    Class,
    /// The pool is not in the document.
    #[display("the document has no such model or service")]
    Pool,
}

/// A daemon's address for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Address {
    /// The address that the daemon listens on for callers.
    pub address: SocketAddr,
    /// The host of the daemon.
    pub host: name::Host,
    /// The availability zone of the host.
    pub zone: name::Zone,
    /// The incarnation of the daemon, which callers put into idempotency keys.
    pub incarnation: Incarnation,
}

/// The response to a request for addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// The time for which callers may cache the addresses, in milliseconds.
    pub lifetime_ms: u64,
    /// The addresses for callers, best first.
    pub addresses: Vec<Address>,
}

/// Lookups in the document in force and in the list of daemons.
pub trait Directory: Send + Sync {
    /// Looks up the workspace of a bearer key by the key's digest.
    ///
    /// # Errors
    ///
    /// Fails if there is no document or no workspace has the key.
    fn workspace(&self, key: &Digest) -> Result<name::Workspace, Missing>;

    /// Looks up everything that a request refers to in one revision of the document.
    ///
    /// # Errors
    ///
    /// Fails with the first entry that is missing.
    fn terms(&self, key: &Digest, class: &name::Class, pool: &name::Pool)
    -> Result<Terms, Missing>;

    /// The addresses for callers, best first.
    fn addresses(&self) -> Addresses;

    /// The incarnation of this daemon.
    fn incarnation(&self) -> Incarnation;

    /// The address for callers of the daemon with this incarnation, if it is alive.
    fn locate(&self, incarnation: Incarnation) -> Option<SocketAddr>;
}
