//! Which model engines generate long answers and which read long prompts.
//!
//! Answers the load pattern of long prompts beside long answers: reading a long prompt slows each
//! token of all requests in the same batch, and a few of them break the pauses of dozens of streams.
//! Some engines are set aside for requests that mostly generate. Daemons agree on them by rendezvous
//! hashing, and on their number by the loads that they tell each other.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use super::{affinity, demand::Demand, model};

/// A request generates if that takes this many times longer than reading its whole prompt.
const GENERATES: f64 = 12.0;
/// The part of an engine's slots that requests which generate fill before another engine joins.
const FILLED: f64 = 1.0;
/// The most of them on one engine: more make each token slower, and more come at once than an engine
/// that has turned cold bears.
const MOST: f64 = 45.0;
/// The part of an engine's slots up to which it gets more: when all are taken, a more urgent request
/// preempts one that runs, and other daemons' requests are seen late.
pub const ROOM: f64 = 0.95;
/// How far their number must fall below what fewer engines hold before one leaves.
const SLACK: f64 = 0.75;
/// The time over which a falling number is smoothed.
const SMOOTHED: Duration = Duration::from_secs(3);
/// The part that ranks engines. Any constant does; all daemons use the same.
const RANKING: u64 = 0x6765_6e65_7261_7465;

/// Whether a request mostly generates.
pub fn generates(demand: &Demand) -> bool {
    let reading = model::reading(f64::from(demand.prompt_tokens));
    let generating = model::generating(f64::from(demand.output_tokens));
    demand.prompt_tokens > 0 && generating > reading.mul_f64(GENERATES)
}

/// The number of engines set aside in one pool.
#[derive(Debug, Default)]
pub struct Split {
    running: f64,
    engines: usize,
    updated: Option<Instant>,
}

impl Split {
    /// Takes the number of requests that generate, over all daemons, and the slots of an engine.
    /// Returns how many of `engines` are set aside.
    pub fn update(&mut self, running: u32, slots: u32, engines: usize, now: Instant) -> usize {
        let passed = self.updated.map_or(SMOOTHED, |updated| now.duration_since(updated));
        self.updated = Some(now);
        let part = (passed.as_secs_f64() / SMOOTHED.as_secs_f64()).min(1.0);
        let running = f64::from(running);
        self.running = running.max(self.running + part * (running - self.running));
        let each = (f64::from(slots) * FILLED).clamp(1.0, MOST);
        let needed = (self.running / each).ceil() as usize;
        let fewer = self.engines.saturating_sub(1) as f64 * each * SLACK;
        if needed > self.engines || self.running < fewer {
            self.engines = needed;
        }
        self.engines.clamp(1, (engines / 2).max(1)).min(engines / 2)
    }
}

/// The rank of an engine for being set aside, by the hash of its name: the least is the first.
pub fn rank(engine: u32) -> Reverse<u64> {
    Reverse(affinity::weight(engine, RANKING))
}
