//! Permits: the right to run one request at one backend server.

use std::{net::SocketAddr, time::Duration};

use hyssop_document::{
    group::Group,
    name,
    number::{Incarnation, Tokens},
};
use serde::{Deserialize, Serialize};

/// The time within which a granted permit must be used.
pub const USE_TIMEOUT: Duration = Duration::from_millis(500);

/// The identity of a permit, unique across schedulers.
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
    /// Consecutive number of the permit at its scheduler.
    pub number: u64,
}

/// The right to run one request at one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Unique across schedulers.
    pub id: Id,
    /// The group of the backend server.
    pub group: Group,
    /// The only backend server that may run the request.
    pub backend: name::Backend,
    /// The address to connect to.
    pub address: SocketAddr,
    /// The incarnation that the backend server last reported, 0 before the first report.
    pub backend_incarnation: u64,
    /// The concurrency limit of the backend server at the time of the grant. [`Running::limit`]
    /// passes it to a later scheduler, which resumes from it instead of from the cold limit.
    pub limit: u32,
    /// The time of the grant, in milliseconds since the scheduler started.
    pub granted_at_ms: u64,
    /// The time after the grant within which the request must be sent, in milliseconds.
    pub use_timeout_ms: u64,
    /// The time after the grant at which the scheduler stops counting the permit, in milliseconds.
    /// The request must have ended by then.
    pub latest_end_ms: u64,
}

/// How the use of a permit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum End {
    /// The complete response arrived.
    #[display("completed")]
    Completed,
    /// The caller disconnected.
    #[display("cancelled")]
    Cancelled,
    /// No byte of the request was sent.
    #[display("not_dispatched")]
    NotDispatched,
    /// The connection failed or the backend server crashed.
    #[display("backend_failed")]
    BackendFailed,
    /// The backend server refused the request because it is overloaded.
    #[display("refused_503")]
    Refused503,
    /// The deadline or the permit's latest end passed.
    #[display("timed_out")]
    TimedOut,
}

/// Reports how a permit was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The permit that ended.
    pub id: Id,
    /// The outcome at the backend server.
    pub end: End,
    /// The time from dispatch to the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// The time from dispatch to the end of the request, in milliseconds.
    pub elapsed_ms: u64,
    /// The tokens received from the backend server.
    pub output_tokens: Tokens,
    /// Whether a target of the class was missed.
    pub late: bool,
}

/// A request that runs on a permit, as its home daemon reports it to a new scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The permit that the request runs on.
    pub id: Id,
    /// The backend server that runs the request.
    pub backend: name::Backend,
    /// [`Permit::backend_incarnation`] of the permit.
    pub backend_incarnation: u64,
    /// [`Permit::limit`] of the permit.
    pub limit: u32,
    /// [`crate::entry::Entry::suspect`] of the request.
    pub suspect: bool,
    /// The class of the request.
    pub class: name::Class,
    /// The workspace that the tokens are charged to.
    pub workspace: name::Workspace,
    /// The host of the home daemon.
    pub home: name::Host,
    /// The incarnation of the home daemon.
    pub home_incarnation: Incarnation,
    /// The time left until the permit's latest end, in milliseconds.
    pub remaining_ms: u64,
    /// The estimated prompt length.
    pub prompt_tokens: Tokens,
    /// The tokens received so far.
    pub output_tokens: Tokens,
}

/// The last permit that a home daemon used for a backend server, reported to a new scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitHint {
    /// The backend server that the limit applies to.
    pub backend: name::Backend,
    /// [`Permit::backend_incarnation`] of the permit.
    pub backend_incarnation: u64,
    /// [`Permit::limit`] of the permit.
    pub limit: u32,
    /// The time since the permit was granted, in milliseconds.
    pub age_ms: u64,
}
