//! Permits: the right to run one request at one backend server.

use std::{net::SocketAddr, time::Duration};

use hyssop_document::{
    group::Group,
    name,
    number::{Incarnation, Tokens},
};
use serde::{Deserialize, Serialize};

/// The time within which a permit must be used.
pub const USE_TIMEOUT: Duration = Duration::from_millis(500);

/// The identity of a permit.
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
)]
#[display("{scheduler}-{number}")]
pub struct Id {
    /// The incarnation of the scheduler that granted the permit.
    pub scheduler: Incarnation,
    /// The number of the permit, counted by that scheduler.
    pub number: u64,
}

/// The right to run one request at one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The identity.
    pub id: Id,
    /// The group of the backend server.
    pub group: Group,
    /// The backend server.
    pub backend: name::Backend,
    /// The address of the backend server.
    pub address: SocketAddr,
    /// The incarnation of the backend server as last reported, 0 before the first report.
    pub backend_incarnation: u64,
    /// The limit of the backend server at the grant. A later scheduler learns from it, by
    /// [`Running::limit`], how far the backend server had been warmed up.
    pub limit: u32,
    /// The time of the grant, in milliseconds since the scheduler started.
    pub granted_at_ms: u64,
    /// The time after the grant within which the permit must be used, in milliseconds.
    pub use_timeout_ms: u64,
    /// The time after the grant at which the permit is no longer counted, in milliseconds. The
    /// request must have ended by then.
    pub latest_end_ms: u64,
}

/// How the use of a permit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum End {
    /// The whole answer arrived.
    #[display("completed")]
    Completed,
    /// The caller went away.
    #[display("cancelled")]
    Cancelled,
    /// No byte of the request was sent.
    #[display("not_dispatched")]
    NotDispatched,
    /// The connection failed or the backend server died.
    #[display("backend_failed")]
    BackendFailed,
    /// The backend server refused the request because of overload.
    #[display("refused_503")]
    Refused503,
    /// The deadline or the latest end passed.
    #[display("timed_out")]
    TimedOut,
}

/// The end of the use of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The permit.
    pub id: Id,
    /// How it ended.
    pub end: End,
    /// The time from dispatch to the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// The time from dispatch to the end, in milliseconds.
    pub elapsed_ms: u64,
    /// The tokens that arrived.
    pub output_tokens: Tokens,
    /// Whether a target of the class was missed.
    pub late: bool,
}

/// A request that runs on a permit, as its home reports it to a new scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The permit.
    pub id: Id,
    /// The backend server.
    pub backend: name::Backend,
    /// [`Permit::backend_incarnation`] of the permit.
    pub backend_incarnation: u64,
    /// [`Permit::limit`] of the permit.
    pub limit: u32,
    /// [`crate::entry::Entry::solo`] of the request.
    pub suspect: bool,
    /// The class.
    pub class: name::Class,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The host of the daemon that runs the request.
    pub home: name::Host,
    /// The incarnation of that daemon.
    pub home_incarnation: Incarnation,
    /// The time left until the latest end, in milliseconds.
    pub remaining_ms: u64,
    /// The estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// The tokens that arrived.
    pub output_tokens: Tokens,
}

/// What a home remembers of the last permit for a backend server, for a new scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitHint {
    /// The backend server.
    pub backend: name::Backend,
    /// [`Permit::backend_incarnation`] of the permit.
    pub backend_incarnation: u64,
    /// [`Permit::limit`] of the permit.
    pub limit: u32,
    /// The time since the grant, in milliseconds.
    pub age_ms: u64,
}
