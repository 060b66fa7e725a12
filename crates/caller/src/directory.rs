//! What the home knows about the document in force and about other daemons.

use std::net::SocketAddr;

use hyssop_document::{digest::Digest, model, name, number::Incarnation};
use serde::Serialize;

/// What the document in force says about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// The workspace of the bearer key.
    pub workspace: name::Workspace,
    /// The class.
    pub class: model::Class,
    /// The pool.
    pub pool: model::Pool,
}

/// What the document in force does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Missing {
    /// There is no document yet.
    #[display("the daemon has no document yet")]
    Document,
    /// No workspace has this key.
    #[display("the bearer key belongs to no workspace")]
    Workspace,
    /// There is no such class.
    #[display("the document has no such class")]
    Class,
    /// There is no such pool.
    #[display("the document has no such model or service")]
    Pool,
}

/// An address that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Address {
    /// The address.
    pub address: SocketAddr,
    /// The host.
    pub host: name::Host,
    /// The availability zone of the host.
    pub zone: name::Zone,
    /// The incarnation of the daemon, for idempotency keys.
    pub incarnation: Incarnation,
}

/// The addresses that callers may use, best first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// The time for which the answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
    /// The addresses.
    pub addresses: Vec<Address>,
}

/// What the home knows about the document in force and about other daemons.
pub trait Directory: Send + Sync {
    /// The workspace of a bearer key, by the key's digest.
    fn workspace(&self, key: &Digest) -> Result<name::Workspace, Missing>;

    /// Looks a request's names up in one revision of the document.
    ///
    /// # Errors
    ///
    /// Fails with the first thing that is missing.
    fn terms(&self, key: &Digest, class: &name::Class, pool: &name::Pool)
    -> Result<Terms, Missing>;

    /// The addresses that callers may use.
    fn addresses(&self) -> Addresses;

    /// The incarnation of this daemon.
    fn incarnation(&self) -> Incarnation;

    /// The callers' address of the daemon with this incarnation, if it is alive.
    fn locate(&self, incarnation: Incarnation) -> Option<SocketAddr>;
}
