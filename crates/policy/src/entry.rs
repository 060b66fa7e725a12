//! Requests that wait for a permit.

use hyssop_document::{
    name,
    number::{Incarnation, Tokens},
};
use serde::{Deserialize, Serialize};

/// The identity of a waiting request, chosen by whoever enqueues it.
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

/// What a scheduler needs to know about a request. The body stays at its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The identity, unique among the entries of one scheduler.
    pub ticket: Ticket,
    /// The host of the daemon that the caller is connected to.
    pub home: name::Host,
    /// The incarnation of that daemon.
    pub home_incarnation: Incarnation,
    /// The availability zone of that daemon.
    pub zone: name::Zone,
    /// The class.
    pub class: name::Class,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The time left until the whole answer is due, in milliseconds.
    pub remaining_ms: u64,
    /// The estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// The longest answer that the caller asked for.
    pub max_output: Option<Tokens>,
    /// A hash of the beginning of the prompt. Equal hashes may share a prefix cache.
    pub prefix: Option<u64>,
    /// Whether the request is suspected of crashing backend servers, and so may run only where no
    /// other suspect runs.
    pub suspect: bool,
    /// The backend servers that must not get the request.
    pub exclude: Vec<name::Backend>,
}
