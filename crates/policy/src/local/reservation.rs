//! Reserves model engines for decode-heavy requests.
//!
//! Prefill of a long prompt slows each token of all requests in the same batch, and a few long
//! prompts delay the events of dozens of streams beyond their limit. Some engines therefore get
//! decode-heavy requests only, as long as the other engines have room. Daemons agree on the reserved
//! engines by rendezvous hashing, and on their number by the loads that they send each other.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use super::{affinity, demand::Demand, latency};

/// A request is decode-heavy if its decoding takes more than this many times the prefill of its
/// whole prompt.
const DECODE_HEAVY_RATIO: f64 = 12.0;
/// The fraction of an engine's slots that decode-heavy requests fill before another engine is
/// reserved: while prompts don't wait for prefill at the other engines, and while they wait for
/// [`BUSY_PREFILL_WAIT`] or longer. With few slots, a request waits for one at a nearly full engine.
const FILL_RATIOS: [f64; 2] = [0.75, 1.0];
/// The mean wait for prefill at which the engines that are not reserved are needed for prefill.
const BUSY_PREFILL_WAIT: Duration = Duration::from_millis(60);
/// Upper limit on decode-heavy requests per reserved engine. With more, each token gets slower, and
/// more arrive at once than an engine that has turned cold sustains.
const MAX_REQUESTS_PER_ENGINE: f64 = 45.0;
/// The fraction of an engine's slots up to which it gets more requests. If all slots are taken, a
/// more urgent request preempts a running one, and the requests of other daemons are seen late.
pub const MAX_FILL_RATIO: f64 = 0.95;
/// An engine is released when the decode-heavy requests fall below this fraction of the capacity of
/// the other reserved engines.
const RELEASE_RATIO: f64 = 0.75;
/// The time over which a falling number of requests is smoothed.
const SMOOTHING_INTERVAL: Duration = Duration::from_secs(3);
/// The key that ranks engines. Its value is arbitrary, but must be the same in all daemons.
const RANKING_KEY: u64 = 0x6765_6e65_7261_7465;

/// Whether a request spends most of its time on decoding.
pub fn is_decode_heavy(demand: &Demand) -> bool {
    let prefill = latency::usual_prefill_time(f64::from(demand.prompt_tokens));
    let decode = latency::decode_time(f64::from(demand.output_tokens));
    demand.prompt_tokens > 0 && decode > prefill.mul_f64(DECODE_HEAVY_RATIO)
}

/// The number of engines reserved in one pool.
#[derive(Debug, Default)]
pub struct Reservation {
    /// Running decode-heavy requests: rises at once, falls smoothed.
    running: f64,
    engines: usize,
    updated: Option<Instant>,
}

impl Reservation {
    /// Returns how many of `engines` are reserved, for the number of decode-heavy requests that run
    /// over all daemons, the slots of an engine, and the mean time that prompts wait for prefill.
    pub fn update(
        &mut self,
        running: u32,
        slots: u32,
        engines: usize,
        prefill_wait: Duration,
        now: Instant,
    ) -> usize {
        let elapsed =
            self.updated.map_or(SMOOTHING_INTERVAL, |updated| now.duration_since(updated));
        self.updated = Some(now);
        let gain = (elapsed.as_secs_f64() / SMOOTHING_INTERVAL.as_secs_f64()).min(1.0);
        let running = f64::from(running);
        self.running = running.max(self.running + gain * (running - self.running));
        let [idle, busy] = FILL_RATIOS;
        let fill = idle + (busy - idle) * prefill_wait.div_duration_f64(BUSY_PREFILL_WAIT).min(1.0);
        let per_engine = (f64::from(slots) * fill).clamp(1.0, MAX_REQUESTS_PER_ENGINE);
        let needed = (self.running / per_engine).ceil() as usize;
        let release_below = self.engines.saturating_sub(1) as f64 * per_engine * RELEASE_RATIO;
        if needed > self.engines || self.running < release_below {
            self.engines = needed;
        }
        self.engines.clamp(1, (engines / 2).max(1)).min(engines / 2)
    }
}

/// The sort key of an engine, by the hash of its name. Engines with the lowest keys are reserved
/// first.
pub fn rank(engine: u32) -> Reverse<u64> {
    Reverse(affinity::weight(engine, RANKING_KEY))
}
