//! Admission while capacity is short.

use std::time::{Duration, Instant};

use super::{Decider, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Placement};
use crate::local::{
    admission::{Admission, turns::Caller},
    demand::Demand,
};

impl Decider {
    /// The time after which the caller of a request that is refused for lack of capacity should
    /// return. `excess` is the time by which the best engine misses the request's bounds.
    pub(super) fn return_time(
        &mut self,
        demand: &Demand,
        excess: Duration,
        now: Instant,
    ) -> Duration {
        if !self.settings.fair_shares {
            let retry_after = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return retry_after.mul_f64(self.retry_jitter());
        }
        let left = demand.deadline.saturating_duration_since(now);
        let caller = Caller { left, is_returning: demand.is_returning };
        let earliest = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).min(caller.longest_wait());
        let spread = self.draw();
        let turns = self.admission(demand).turns_mut(demand);
        turns.book(&caller, earliest, spread, now).min(MAX_RETRY_AFTER)
    }

    /// Records that a request begins at the backend server of a placement.
    pub(super) fn record_start(&mut self, _placement: &Placement, demand: &Demand, now: Instant) {
        if demand.prompt_tokens > 0 {
            self.admission(demand).record_start(demand, now);
        }
    }

    fn admission(&mut self, demand: &Demand) -> &mut Admission {
        self.admissions.entry(demand.pool.clone()).or_default()
    }
}
