//! Measurements of finished requests.

use std::time::Duration;

use hyssop_document::{name, number::Tokens};

use crate::{
    backends::Dropped,
    outcome::{Kind, Reason},
};

/// Whether a run produced a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The response is complete.
    Complete,
    /// The run ended without a complete response.
    Incomplete(Kind, Reason),
}

/// Measurements of one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Measurement {
    /// The request class.
    pub class: name::Class,
    /// The workspace of the caller.
    pub workspace: name::Workspace,
    /// The pool of backend servers.
    pub pool: name::Pool,
    /// Whether the response is complete, or the kind and reason of the outcome.
    pub end: End,
    /// The time from arrival to the last permit, if any was granted.
    pub queue_time: Option<Duration>,
    /// The time from arrival to the first token, if any was received.
    pub first_token: Option<Duration>,
    /// The time from arrival to the end.
    pub elapsed: Duration,
    /// Whether the targets of the class and the deadline were met.
    pub on_time: bool,
    /// The tokens of the response.
    pub tokens: Tokens,
    /// The tokens that were generated and not used for a complete response.
    pub wasted_tokens: Tokens,
    /// The number of dispatched attempts.
    pub attempts: u32,
    /// The chunks that were dropped.
    pub dropped: Dropped,
}

/// Receives measurements. Implementations must not block.
pub trait Observer: Send + Sync {
    /// Called once for each run, at its end.
    fn on_end(&self, measurement: &Measurement);
}

/// An observer that discards all measurements.
#[derive(Debug, Clone, Copy, Default)]
pub struct Noop;

impl Observer for Noop {
    fn on_end(&self, _measurement: &Measurement) {}
}
