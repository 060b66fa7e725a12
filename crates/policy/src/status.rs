//! The state of a scheduler, for operators.

use hyssop_document::{group::Group, name, number::Tier};
use serde::{Deserialize, Serialize};

use crate::{coldstart, share::Share};

/// The state of a scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The group that the scheduler decides for.
    pub group: Group,
    /// The part of each limit that it may use.
    pub share: Share,
    /// The time left in which it grants nothing, in milliseconds.
    pub paused_ms: u64,
    /// The requests that wait.
    pub waiting: u64,
    /// The permits that are counted.
    pub running: u64,
    /// The slots that it may use at the present limits.
    pub slots: u32,
    /// The backend servers.
    pub backends: Vec<Backend>,
    /// The classes.
    pub classes: Vec<Class>,
}

/// The state of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The name.
    pub name: name::Backend,
    /// The availability zone.
    pub zone: name::Zone,
    /// Whether new work may go to it.
    pub in_service: bool,
    /// Why it is in cold start, if it is.
    pub cold: Option<coldstart::Cause>,
    /// Whether it is slower than the group's median by far.
    pub straggler: bool,
    /// The number of requests that it may run at present, over all schedulers.
    pub limit: u32,
    /// Whether this scheduler may grant one more request there.
    pub has_room: bool,
    /// The permits counted by this scheduler.
    pub running: u32,
    /// The requests that it last reported.
    pub reported: u32,
    /// The used part of its KV cache, 0 to 1.
    pub kv_used: f32,
    /// The usual time to the first token in milliseconds, if known.
    pub first_token_ms: Option<f64>,
    /// The usual time between tokens in milliseconds, if known.
    pub inter_token_ms: Option<f64>,
}

/// The state of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The name.
    pub name: name::Class,
    /// The tier.
    pub tier: Tier,
    /// The requests that wait.
    pub waiting: u64,
    /// The permits that are counted.
    pub running: u64,
    /// The requests granted since the scheduler started.
    pub granted: u64,
    /// The requests refused since the scheduler started.
    pub refused: u64,
}
