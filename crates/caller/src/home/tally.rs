//! What is counted over all attempts of a request.

use std::time::Instant;

use crate::{backends::Dropped, outcome::Execution};

/// What is counted over all attempts of a request.
#[derive(Debug, Clone)]
pub(super) struct Tally {
    /// Whether any attempt may have run.
    pub(super) ran: Execution,
    /// The attempts that were dispatched.
    pub(super) attempts: u32,
    /// The permits that were granted.
    pub(super) permits: u32,
    /// The time of the last permit.
    pub(super) granted: Option<Instant>,
    /// The time of the first token that a caller could read.
    pub(super) first_token: Option<Instant>,
    /// The tokens of the attempt that runs.
    pub(super) tokens: u64,
    /// The tokens of attempts that failed.
    pub(super) wasted: u64,
    /// The parts that were dropped.
    pub(super) dropped: Dropped,
}

impl Tally {
    /// Nothing but whether the request may have run before.
    pub(super) fn new(ran_before: bool) -> Self {
        Self {
            ran: if ran_before { Execution::MayHaveRun } else { Execution::NotRun },
            attempts: 0,
            permits: 0,
            granted: None,
            first_token: None,
            tokens: 0,
            wasted: 0,
            dropped: Dropped::default(),
        }
    }

    /// Counts the tokens of the attempt that ran as wasted.
    pub(super) fn waste(&mut self) {
        self.wasted += std::mem::take(&mut self.tokens);
    }
}
