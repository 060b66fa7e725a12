//! What is counted over all attempts of a request.

use std::time::Instant;

use crate::{backends::Dropped, outcome::Ran};

/// What is counted over all attempts of a request.
#[derive(Debug, Clone)]
pub(super) struct Totals {
    /// Whether any attempt may have run.
    pub(super) ran: Ran,
    /// The attempts that were dispatched.
    pub(super) attempts: u32,
    /// The permits that were granted.
    pub(super) permits: u32,
    /// The time of the last permit.
    pub(super) granted_at: Option<Instant>,
    /// The time of the first token that a caller could read.
    pub(super) first_token_at: Option<Instant>,
    /// The tokens of the attempt that runs.
    pub(super) tokens: u64,
    /// The tokens of attempts that failed.
    pub(super) wasted_tokens: u64,
    /// The parts that were dropped.
    pub(super) dropped: Dropped,
}

impl Totals {
    /// Nothing but whether the request may have run before.
    pub(super) fn new(ran_before: bool) -> Self {
        Self {
            ran: if ran_before { Ran::MayHaveRun } else { Ran::NotRun },
            attempts: 0,
            permits: 0,
            granted_at: None,
            first_token_at: None,
            tokens: 0,
            wasted_tokens: 0,
            dropped: Dropped::default(),
        }
    }

    /// Counts the tokens of the attempt that ran as wasted.
    pub(super) fn discard_tokens(&mut self) {
        self.wasted_tokens += std::mem::take(&mut self.tokens);
    }
}
