//! Measurements of finished requests.

use std::time::Duration;

use hyssop_document::{name, number::Tokens};

use crate::{
    backends::Dropped,
    outcome::{Kind, Reason},
};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole answer is there.
    Complete,
    /// There is no whole answer.
    Incomplete(Kind, Reason),
}

/// What was measured on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Measurement {
    /// The class.
    pub class: name::Class,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The pool.
    pub pool: name::Pool,
    /// How it ended.
    pub end: End,
    /// The time from arrival to the last permit.
    pub queue_time: Option<Duration>,
    /// The time from arrival to the first token.
    pub first_token: Option<Duration>,
    /// The time from arrival to the end.
    pub elapsed: Duration,
    /// Whether the targets of the class and the deadline were met.
    pub on_time: bool,
    /// The tokens of the answer.
    pub tokens: Tokens,
    /// The tokens that were generated and not delivered.
    pub wasted_tokens: Tokens,
    /// The attempts that were dispatched.
    pub attempts: u32,
    /// The parts that were dropped.
    pub dropped: Dropped,
}

/// Takes in measurements. It must not block.
pub trait Observer: Send + Sync {
    /// A request has ended.
    fn on_end(&self, measurement: &Measurement);
}

/// An observer that measures nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Noop;

impl Observer for Noop {
    fn on_end(&self, _measurement: &Measurement) {}
}
