//! Totals over all attempts of a run.

use std::time::Instant;

use crate::{backends::Dropped, outcome::Execution};

/// Totals over all attempts of a run.
#[derive(Debug, Clone)]
pub(super) struct Totals {
    /// Whether any attempt or an earlier copy may have run.
    pub(super) execution: Execution,
    /// The number of dispatched attempts.
    pub(super) attempts: u32,
    /// The number of granted permits.
    pub(super) permits: u32,
    /// The time of the last permit.
    pub(super) granted_at: Option<Instant>,
    /// The time when the first chunk was received.
    pub(super) first_token_at: Option<Instant>,
    /// The tokens received in the current attempt.
    pub(super) tokens: u64,
    /// The tokens of attempts without a complete response.
    pub(super) wasted_tokens: u64,
    /// The chunks that were dropped.
    pub(super) dropped: Dropped,
}

impl Totals {
    /// Zero totals. `ran_before` states that an earlier copy of the request may have run.
    pub(super) fn new(ran_before: bool) -> Self {
        Self {
            execution: if ran_before { Execution::MayHaveRun } else { Execution::NotRun },
            attempts: 0,
            permits: 0,
            granted_at: None,
            first_token_at: None,
            tokens: 0,
            wasted_tokens: 0,
            dropped: Dropped::default(),
        }
    }

    /// Counts the tokens of the current attempt as wasted.
    pub(super) fn discard_tokens(&mut self) {
        self.wasted_tokens += std::mem::take(&mut self.tokens);
    }
}
