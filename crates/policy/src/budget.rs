//! A retry budget, funded by a fraction of the successful requests.

use std::time::{Duration, Instant};

use hyssop_document::number::Tier;

/// Each success funds this fraction of a retry.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// The capacity of the budget. It starts full, so that the requests of a few crashed backend
/// servers can run again at once.
const MAX_SAVED_RETRIES: f64 = 64.0;

/// Retries of a tier are refused for this time after a request of the same or a higher tier was
/// shed.
const SHEDDING_PAUSE: Duration = Duration::from_secs(1);

/// The retry budget of one group.
#[derive(Debug, Clone)]
pub struct Budget {
    saved_retries: f64,
    last_shed: [Option<Instant>; Tier::LOWEST.0 as usize + 1],
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved_retries: MAX_SAVED_RETRIES, last_shed: [None; Tier::LOWEST.0 as usize + 1] }
    }
}

impl Budget {
    /// Adds the fraction of a retry that a success funds.
    pub fn record_success(&mut self) {
        self.saved_retries = (self.saved_retries + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Records that a request of `tier` was shed.
    pub fn record_shed(&mut self, tier: Tier, now: Instant) {
        self.last_shed[index(tier)] = Some(now);
    }

    /// Spends one retry. Returns false if the budget is spent or if requests of the same or a
    /// higher tier are being shed.
    pub fn try_spend(&mut self, tier: Tier, now: Instant) -> bool {
        let shedding = self.last_shed[..=index(tier)]
            .iter()
            .flatten()
            .any(|at| now.saturating_duration_since(*at) < SHEDDING_PAUSE);
        if shedding || self.saved_retries < 1.0 {
            return false;
        }
        self.saved_retries -= 1.0;
        true
    }
}

fn index(tier: Tier) -> usize {
    usize::from(tier.0.min(Tier::LOWEST.0))
}
