//! Exponential back-off with full jitter.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Delays between attempts that grow from a base to a limit.
///
/// Each delay is drawn evenly between half of the current bound and the bound, so that daemons that
/// failed together do not return together.
#[derive(Debug)]
pub struct Backoff {
    base: Duration,
    limit: Duration,
    failures: u32,
    random: SmallRng,
}

impl Backoff {
    /// Makes a back-off that starts at `base` and never exceeds `limit`.
    pub fn new(base: Duration, limit: Duration, seed: u64) -> Self {
        Self { base, limit, failures: 0, random: SmallRng::seed_from_u64(seed) }
    }

    /// Notes a failure and returns the time to wait, at least `at_least`.
    pub fn failure(&mut self, at_least: Option<Duration>) -> Duration {
        let bound = self.base.saturating_mul(1 << self.failures.min(16)).min(self.limit);
        self.failures = self.failures.saturating_add(1);
        let drawn = bound.mul_f64(self.random.random_range(0.5..=1.0));
        drawn.max(at_least.unwrap_or_default().min(self.limit))
    }

    /// Notes a success: the next failure waits for the base again.
    pub fn success(&mut self) {
        self.failures = 0;
    }

    /// A delay drawn evenly between half of `period` and one and a half times `period`.
    pub fn spread(&mut self, period: Duration) -> Duration {
        period.mul_f64(self.random.random_range(0.5..=1.5))
    }
}
