//! The state of a scheduler as reported to operators.

use hyssop_document::{group::Group, name, number::Tier};
use serde::{Deserialize, Serialize};

use crate::{coldstart, share::Share};

/// A snapshot of one scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The group that the scheduler decides for.
    pub group: Group,
    /// The votes that determine the scheduler's share of each limit.
    pub share: Share,
    /// The time until the scheduler grants permits, in milliseconds.
    pub paused_ms: u64,
    /// The number of queued requests.
    pub waiting: u64,
    /// The number of permits in use.
    pub running: u64,
    /// The number of requests that this scheduler may run at the current limits.
    pub slots: u32,
    /// One entry for each backend server of the group.
    pub backends: Vec<Backend>,
    /// One entry for each class that a document has declared since the scheduler started.
    pub classes: Vec<Class>,
}

/// A snapshot of one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The backend server's name in the document.
    pub name: name::Backend,
    /// The availability zone.
    pub zone: name::Zone,
    /// Whether new requests may be sent to the backend server.
    pub in_service: bool,
    /// The cause of the current cold start.
    pub cold: Option<coldstart::Cause>,
    /// Whether the limit is reduced because the backend server is far slower than the group's
    /// median.
    pub straggler: bool,
    /// The number of requests that the backend server may run now, over all schedulers.
    pub limit: u32,
    /// Whether this scheduler may grant another request at the backend server.
    pub has_room: bool,
    /// The number of this scheduler's permits in use at the backend server.
    pub running: u32,
    /// The number of requests in the last load report, running or waiting.
    pub reported: u32,
    /// The used fraction of the KV cache, 0 to 1.
    pub kv_used: f32,
    /// The moving average of the time to the first token, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// The moving average of the time between tokens, in milliseconds.
    pub inter_token_ms: Option<f64>,
}

/// A snapshot of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The class's name in the document.
    pub name: name::Class,
    /// The priority of the class, lowest number first.
    pub tier: Tier,
    /// The number of queued requests.
    pub waiting: u64,
    /// The number of permits in use.
    pub running: u64,
    /// The number of requests granted since the scheduler started.
    pub granted: u64,
    /// The number of requests refused since the scheduler started.
    pub refused: u64,
}
