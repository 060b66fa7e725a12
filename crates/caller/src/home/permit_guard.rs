//! A permit in use, released on drop.

use std::{sync::Arc, time::Instant};

use hyssop_document::number::Tokens;
use hyssop_policy::permit::{End, Permit, Release};

use super::Shared;

/// The number of tokens between two progress reports to the scheduler.
const PROGRESS_INTERVAL_TOKENS: u64 = 16;

/// A permit in use. Dropping the guard returns the permit to its scheduler.
pub(super) struct PermitGuard {
    shared: Arc<Shared>,
    /// The granted permit.
    pub(super) permit: Permit,
    /// The end to report if the guard is dropped now.
    pub(super) end: End,
    /// Whether a latency target of the class or the deadline was missed.
    pub(super) late: bool,
    dispatched_at: Option<Instant>,
    first_token_at: Option<Instant>,
    tokens: u64,
}

impl PermitGuard {
    pub(super) fn new(shared: Arc<Shared>, permit: Permit) -> Self {
        Self {
            shared,
            permit,
            end: End::NotDispatched,
            late: false,
            dispatched_at: None,
            first_token_at: None,
            tokens: 0,
        }
    }

    /// Records the dispatch. A guard that is dropped without another end reports a cancellation.
    pub(super) fn record_dispatch(&mut self) {
        self.dispatched_at = Some(self.shared.clock.now());
        self.end = End::Cancelled;
    }

    /// Records a received token and reports progress at each interval.
    pub(super) fn record_token(&mut self) {
        self.first_token_at.get_or_insert_with(|| self.shared.clock.now());
        self.tokens += 1;
        if self.tokens.is_multiple_of(PROGRESS_INTERVAL_TOKENS) {
            self.shared.permits.record_progress(self.permit.id, Tokens(self.tokens));
        }
    }

    /// The number of tokens received.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let since = |at: Instant| {
            let dispatched_at = self.dispatched_at.unwrap_or(at);
            at.saturating_duration_since(dispatched_at).as_millis() as u64
        };
        self.shared.permits.release(Release {
            id: self.permit.id,
            end: self.end,
            first_token_ms: self.first_token_at.map(since),
            elapsed_ms: since(now),
            output_tokens: Tokens(self.tokens),
            late: self.late,
        });
    }
}
