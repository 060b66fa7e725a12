//! The budget for repeats, which send a request to another backend server.
//!
//! Without a bound, repeats can keep a pool overloaded whose backend servers fail or reject
//! requests. The sum over all daemons stays within the bound in every partition: a daemon earns
//! repeats by its own first sends, and the burst is divided among all share holders.

use std::time::{Duration, Instant};

use super::{holders::Holders, window::Window};

/// The bound on repeats in one window, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Repeats per first send.
    pub ratio: f64,
    /// Repeats on top of the ratio.
    pub burst: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// The fraction of its share that a daemon uses. The rest covers members that other daemons have
/// not observed yet, and the windows of other daemons, which begin at other times.
const USABLE_RATIO: f64 = 0.8;

/// One daemon's share of the budget of one pool.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    first_sends: Window,
    repeats: Window,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(bound: Bound) -> Self {
        Self { bound, first_sends: Window::new(bound.window), repeats: Window::new(bound.window) }
    }

    /// Replaces the bound. What was sent in the present window counts against the new one.
    pub fn set_bound(&mut self, bound: Bound) {
        self.first_sends.set_length(bound.window);
        self.repeats.set_length(bound.window);
        self.bound = bound;
    }

    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now: Instant) {
        self.first_sends.add(now);
    }

    /// Counts a repeat.
    pub fn record_repeat(&mut self, now: Instant) {
        self.repeats.add(now);
    }

    /// Whether the budget allows one more repeat.
    pub fn allows_repeat(&mut self, holders: &Holders<'_>, now: Instant) -> bool {
        self.allows_part(1.0, holders, now)
    }

    /// Whether a part of the budget, from 0 to 1, allows one more repeat.
    pub fn allows_part(&mut self, part: f64, holders: &Holders<'_>, now: Instant) -> bool {
        (self.repeats.count(now) as f64) + 1.0 <= part * self.allowed(holders, now)
    }

    /// How many repeats the budget allows now. Below 0 if the share has become smaller.
    pub fn left(&mut self, holders: &Holders<'_>, now: Instant) -> f64 {
        self.allowed(holders, now) - self.repeats.count(now) as f64
    }

    fn allowed(&mut self, holders: &Holders<'_>, now: Instant) -> f64 {
        let earned = self.bound.ratio * self.first_sends.count(now) as f64;
        USABLE_RATIO * (earned + holders.equal_share(self.bound.burst))
    }
}
