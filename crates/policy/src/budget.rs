//! The budget for retries: a share of the successes.

use std::time::{Duration, Instant};

use hyssop_document::number::Tier;

/// The part of a retry that each success pays for.
const RETRY_PER_SUCCESS: f64 = 0.1;

/// The largest number of retries that can be saved up. The budget starts full, so that the requests
/// of a few crashed backend servers can run again at once.
const LARGEST_BUDGET: f64 = 64.0;

/// The time after a request was shed in which equal and lower tiers get no retry.
const SHEDDING_PAUSE: Duration = Duration::from_secs(1);

/// The budget for retries in one group.
#[derive(Debug, Clone)]
pub struct Budget {
    saved: f64,
    shed: [Option<Instant>; Tier::LOWEST.0 as usize + 1],
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: LARGEST_BUDGET, shed: [None; Tier::LOWEST.0 as usize + 1] }
    }
}

impl Budget {
    /// Takes note of a success.
    pub fn succeed(&mut self) {
        self.saved = (self.saved + RETRY_PER_SUCCESS).min(LARGEST_BUDGET);
    }

    /// Takes note that a request of `tier` was shed.
    pub fn shed(&mut self, tier: Tier, now: Instant) {
        self.shed[index(tier)] = Some(now);
    }

    /// Pays for a retry, unless the budget is spent or requests of this or a higher tier are being
    /// shed.
    pub fn retry(&mut self, tier: Tier, now: Instant) -> bool {
        let shedding = self.shed[..=index(tier)]
            .iter()
            .flatten()
            .any(|at| now.saturating_duration_since(*at) < SHEDDING_PAUSE);
        if shedding || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

fn index(tier: Tier) -> usize {
    usize::from(tier.0.min(Tier::LOWEST.0))
}
