//! Exponential backoff with jitter.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Delays between attempts that grow exponentially from a base to a limit.
///
/// Each delay is drawn uniformly between half of the current bound and the bound, so that daemons
/// that failed together do not retry together.
#[derive(Debug)]
pub struct Backoff {
    base: Duration,
    limit: Duration,
    failures: u32,
    random: SmallRng,
}

impl Backoff {
    /// A backoff whose first bound is `base` and whose maximum bound is `limit`.
    pub fn new(base: Duration, limit: Duration, seed: u64) -> Self {
        Self { base, limit, failures: 0, random: SmallRng::seed_from_u64(seed) }
    }

    /// Counts a failure and returns the delay before the next attempt: at least `min_delay`, as far
    /// as the limit allows.
    pub fn next_delay(&mut self, min_delay: Option<Duration>) -> Duration {
        let bound = self.base.saturating_mul(1 << self.failures.min(16)).min(self.limit);
        self.failures = self.failures.saturating_add(1);
        let drawn = bound.mul_f64(self.random.random_range(0.5..=1.0));
        drawn.max(min_delay.unwrap_or_default().min(self.limit))
    }

    /// Counts a success: the next delay starts from the base again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// A time drawn uniformly between half of `interval` and one and a half times `interval`.
    pub fn jitter(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.random.random_range(0.5..=1.5))
    }
}
