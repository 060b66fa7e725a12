//! Which requests begin while a pool is short of capacity, and when refused callers return.
//!
//! For bursts above what the engines of a pool can serve. All state is about the last two seconds
//! and belongs to this daemon.

pub mod turns;

use std::time::Instant;

use hyssop_document::{collections::Map, number::Tier};

use self::turns::Turns;
use super::demand::Demand;

/// What a daemon knows about the shortage of one pool.
#[derive(Debug, Default)]
pub struct Admission {
    /// The turns of refused callers by urgency. A class's capacity is not that of another one:
    /// more urgent requests begin while less urgent ones are refused.
    turns: Map<(Tier, Tier), Turns>,
}

impl Admission {
    /// Records that a request begins.
    pub fn record_start(&mut self, demand: &Demand, now: Instant) {
        self.turns_mut(demand).record_start(now);
    }

    /// The turns of the class of a request.
    pub fn turns_mut(&mut self, demand: &Demand) -> &mut Turns {
        self.turns.entry(demand.urgency()).or_default()
    }
}
