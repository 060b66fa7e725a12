//! The times at which refused callers are asked to return, one after the other.
//!
//! For bursts of callers that would otherwise return together. Each daemon spaces its own callers
//! by the rate at which its own requests begin, so that the callers of all daemons together return
//! at the rate of the pool, without any exchange between daemons.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::local::window::Window;

/// The time in which starts are counted. A daemon of a large fleet starts some five streams per
/// second, so that a shorter window would hold too few of them.
const START_WINDOW: Duration = Duration::from_secs(2);
/// The fraction of its remaining time that a caller waits at most.
const MAX_WAIT_RATIO: u32 = 3;

/// A refused caller.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// The time that the caller has left.
    pub left: Duration,
    /// Whether the caller has returned before, so that it has less time left than others.
    pub is_returning: bool,
}

impl Caller {
    /// The longest wait that the caller accepts. A caller that is asked for more returns after this
    /// time in any case.
    pub fn longest_wait(&self) -> Duration {
        self.left / MAX_WAIT_RATIO
    }
}

/// The turns of one class of requests.
#[derive(Debug)]
pub struct Turns {
    starts: Window,
    /// Future turns that callers were told.
    booked: BTreeSet<Instant>,
}

impl Default for Turns {
    fn default() -> Self {
        Self { starts: Window::new(START_WINDOW), booked: BTreeSet::new() }
    }
}

impl Turns {
    /// Records that a request begins.
    pub fn record_start(&mut self, now: Instant) {
        self.starts.add(now);
    }

    /// The mean time between two starts.
    pub fn interval(&mut self, now: Instant) -> Duration {
        START_WINDOW / self.starts.count(now).max(1) as u32
    }

    /// The time after which a refused caller returns: its turn, but not before `earliest`, and not
    /// after the longest wait that it accepts. `spread` is a random number from 0 to 1. It orders
    /// callers for whom no turn is left.
    pub fn book(
        &mut self,
        caller: &Caller,
        earliest: Duration,
        spread: f64,
        now: Instant,
    ) -> Duration {
        self.booked = self.booked.split_off(&now);
        let longest = caller.longest_wait();
        let turn = self.free_turn(caller, now + earliest, now);
        let wait = turn.duration_since(now);
        if wait > longest {
            return longest - longest.saturating_sub(earliest).mul_f64(spread / 2.0);
        }
        self.booked.insert(turn);
        wait
    }

    /// The first free turn. Callers with all their time left get every second turn: the ones
    /// between are left for callers with less time, and for new requests.
    fn free_turn(&mut self, caller: &Caller, earliest: Instant, now: Instant) -> Instant {
        let interval = self.interval(now);
        let (mut turn, spacing) = match caller.is_returning {
            true => (earliest, interval),
            false => (earliest + interval, interval * 2),
        };
        for &other in self.booked.range(turn.checked_sub(spacing).unwrap_or(now)..) {
            if other >= turn + interval {
                break;
            }
            turn = turn.max(other + spacing);
        }
        turn
    }
}
