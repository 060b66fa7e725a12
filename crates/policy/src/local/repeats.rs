//! The budget for sending a request to a second backend server.
//!
//! Answers the load pattern of a pool whose backend servers fail or reject: repeats must not become
//! the load that keeps it down. The sum over all daemons stays in the bound in every partition: own
//! requests earn, and the burst is divided among all that may still use a part of it.

use std::time::{Duration, Instant};

use super::window::Window;

/// The bound over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top of that, in one window.
    pub burst: f64,
    /// The window.
    pub window: Duration,
}

/// The part of the bound that a daemon uses. The rest covers members that others do not know yet,
/// and windows that do not begin where ours do.
const USED: f64 = 0.8;

/// One daemon's part of the budget of one pool.
#[derive(Debug)]
pub struct Repeats {
    bound: Bound,
    first: Window,
    again: Window,
}

impl Repeats {
    /// A budget of which nothing is used.
    pub fn new(bound: Bound) -> Self {
        Self { bound, first: Window::new(bound.window), again: Window::new(bound.window) }
    }

    /// Counts the first send of a request.
    pub fn sent_first(&mut self, now: Instant) {
        self.first.add(now);
    }

    /// Counts a repeat.
    pub fn sent_again(&mut self, now: Instant) {
        self.again.add(now);
    }

    /// Whether the budget has one more repeat. While the number of `sharers` is not known there is
    /// no part of the burst.
    pub fn has(&mut self, sharers: Option<usize>, now: Instant) -> bool {
        let earned = self.bound.ratio * self.first.count(now) as f64;
        let part = sharers.map_or(0.0, |sharers| self.bound.burst / sharers.max(1) as f64);
        let allowed = USED * (earned + part);
        (self.again.count(now) as f64) + 1.0 <= allowed
    }
}
