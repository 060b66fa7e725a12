//! When a second backend server is asked for a response that is late.
//!
//! For single slow responses while the pool has capacity: a backend server that stalls for a moment,
//! or whose queue this daemon has not observed. A hedge costs the pool a second run, so it is sent
//! only after most responses would have come, within a limit that operators set, and not while
//! capacity is short: then the second run would delay the requests that it is meant to help.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, name::Pool};

use super::{
    decider::Placement,
    holders::Holders,
    repeats::{Bound, Budget, Start},
};

/// The fraction of responses that come before a response counts as late.
const LATE_QUANTILE: f64 = 0.95;
/// The initial multiple of the predicted time after which a response is late.
const INITIAL_LATE_RATIO: f64 = 3.0;
/// The bounds of that multiple. Below the lower one, noise of the prediction would be hedged.
const LATE_RATIO: (f64, f64) = (1.5, 20.0);
/// The step by which a response changes the logarithm of that multiple.
const LATE_RATIO_STEP: f64 = 0.05;
/// The minimum time before a hedge: a round trip between zones and the dispatch of a second request
/// take some milliseconds.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// How long after a request was refused for lack of capacity no hedge is sent to its pool.
const SHORTAGE_TTL: Duration = Duration::from_secs(1);
/// The fraction of the slots of a pool up to which hedges are sent. Above half, a second run more
/// often than not meets a server that is busy already.
const MAX_FILL_RATIO: f64 = 0.5;
/// The fraction of the target within which the prompts that wait at the pool's engines must be
/// prefilled for a hedge to be sent.
const MAX_PREFILL_WAIT_RATIO: f64 = 0.25;

/// Whether a late request is sent to a second backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum Hedge {
    /// It is sent there now.
    Send(Placement),
    /// The question is to be asked again after it has waited for this time in total, as the first
    /// server is still expected to respond sooner than a second one.
    Wait(Duration),
    /// It is not.
    No(Reason),
}

/// Why a late request is not sent to a second backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// The limit that operators set is used.
    #[display("limit")]
    Limit,
    /// Requests of the pool were refused, or its backend servers are busy.
    #[display("capacity")]
    Capacity,
    /// The budget for retries is kept for requests that failed.
    #[display("repeats")]
    Repeats,
    /// No other backend server may get the request, or none would respond in time.
    #[display("no_server")]
    NoServer,
}

/// How busy the backend servers of a pool are, on average.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Utilization {
    /// Running requests per slot.
    pub fill: f64,
    /// The time that prompts wait for prefill.
    pub prefill_wait: Duration,
}

impl Utilization {
    /// Whether the pool can do a second run without delaying others.
    pub fn has_capacity(&self, target: Duration) -> bool {
        self.fill <= MAX_FILL_RATIO && self.prefill_wait <= target.mul_f64(MAX_PREFILL_WAIT_RATIO)
    }
}

/// One daemon's hedges to one pool.
#[derive(Debug)]
struct State {
    budget: Budget,
    /// The multiple of the predicted time within which [`LATE_QUANTILE`] of the responses come.
    late_ratio: f64,
    refused_at: Option<Instant>,
}

/// One daemon's hedges to all pools.
#[derive(Debug)]
pub struct Hedges {
    bound: Option<Bound>,
    start: Start,
    pools: Map<Pool, State>,
}

impl Hedges {
    /// Hedges within a bound, or none, of a daemon whose process began with `start`.
    pub fn new(bound: Option<Bound>, start: Start) -> Self {
        Self { bound, start, pools: Map::default() }
    }

    /// Replaces the bound. Hedges in the present window count against the new one.
    pub fn set_bound(&mut self, bound: Option<Bound>) {
        self.bound = bound;
        if let Some(bound) = bound {
            self.pools.values_mut().for_each(|state| state.budget.set_bound(bound));
        }
    }

    /// The time after which the response to a request is late, or `None` if hedges are off.
    pub fn delay(&self, pool: &Pool, predicted: Duration) -> Option<Duration> {
        self.bound?;
        let late_ratio = self.pools.get(pool).map_or(INITIAL_LATE_RATIO, |state| state.late_ratio);
        Some(predicted.mul_f64(late_ratio).max(MIN_DELAY))
    }

    /// Whether the limit and the pool's present capacity allow a hedge.
    pub fn check(
        &mut self,
        pool: &Pool,
        utilization: &Utilization,
        target: Duration,
        holders: &Holders<'_>,
        now: Instant,
    ) -> Result<(), Reason> {
        let Some(state) = self.state(pool) else { return Err(Reason::Limit) };
        let is_short = state.refused_at.is_some_and(|at| now.duration_since(at) < SHORTAGE_TTL);
        if is_short || !utilization.has_capacity(target) {
            return Err(Reason::Capacity);
        }
        if !state.budget.allows_repeat(holders, now) {
            return Err(Reason::Limit);
        }
        Ok(())
    }

    /// Counts the first send of a request, by which hedges are earned.
    pub fn record_first_send(&mut self, pool: &Pool) {
        if let Some(state) = self.state(pool) {
            state.budget.record_first_send();
        }
    }

    /// Counts a hedge.
    pub fn record_hedge(&mut self, pool: &Pool, now: Instant) {
        if let Some(state) = self.state(pool) {
            state.budget.record_repeat(now);
        }
    }

    /// Records that a request was refused for lack of capacity.
    pub fn record_refusal(&mut self, pool: &Pool, now: Instant) {
        if let Some(state) = self.state(pool) {
            state.refused_at = Some(now);
        }
    }

    /// Records how long a response took, as a multiple of the predicted time.
    pub fn record_response(&mut self, pool: &Pool, ratio: f64) {
        let Some(state) = self.state(pool) else { return };
        // Moves up as often as down once the quantile is met.
        let step = if ratio > state.late_ratio { LATE_QUANTILE } else { LATE_QUANTILE - 1.0 };
        let (least, most) = LATE_RATIO;
        state.late_ratio = (state.late_ratio * (LATE_RATIO_STEP * step).exp()).clamp(least, most);
    }

    fn state(&mut self, pool: &Pool) -> Option<&mut State> {
        let (bound, start) = (self.bound?, self.start);
        let initial = || State {
            budget: Budget::new(bound, start),
            late_ratio: INITIAL_LATE_RATIO,
            refused_at: None,
        };
        Some(self.pools.entry(pool.clone()).or_insert_with(initial))
    }
}
