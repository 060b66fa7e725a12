//! Requests that wait for a permit.

use hyssop_document::{
    name,
    number::{Incarnation, Tokens},
};
use serde::{Deserialize, Serialize};

/// The identity of a waiting request, assigned by the process that enqueues it.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// The properties of a request that a scheduler needs. The body stays at the home daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique among the entries of one scheduler.
    pub ticket: Ticket,
    /// The host of the daemon that the caller is connected to.
    pub home: name::Host,
    /// The incarnation of the home daemon.
    pub home_incarnation: Incarnation,
    /// The availability zone of the home daemon.
    pub zone: name::Zone,
    /// A class of the document.
    pub class: name::Class,
    /// A workspace of the document.
    pub workspace: name::Workspace,
    /// The time left until the complete response is due, in milliseconds.
    pub remaining_ms: u64,
    /// The estimated prompt length.
    pub prompt_tokens: Tokens,
    /// The maximum response length that the caller asked for.
    pub max_output: Option<Tokens>,
    /// A hash of the beginning of the prompt. Requests with equal hashes may share a prefix cache.
    pub prefix: Option<u64>,
    /// Whether the request is suspected of crashing backend servers. At most one suspect runs at a
    /// backend server.
    pub suspect: bool,
    /// The backend servers that must not run the request.
    pub exclude: Vec<name::Backend>,
}
