//! The budget for repeats, which send a request to another backend server.
//!
//! Without a bound, repeats can keep a pool overloaded whose backend servers fail or reject
//! requests. A daemon saves up repeats by its own first sends, up to its share of the burst. In any
//! window all daemons together send at most what they had saved up before it, which is the burst, and
//! what requests inside it earn. That holds whoever is lost, restarts or takes callers over meanwhile:
//! no process inherits what another one has saved up, and none has anything at its start. If the
//! burst is smaller than the number of daemons, each may still save up one repeat, as a part of one
//! could not be used; the sum can exceed the bound by the difference.

use std::time::{Duration, Instant};

use super::holders::Holders;

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

/// The fraction of the bound that daemons use. Backend servers receive in one window what was sent in
/// a longer time, as some requests are under way for long.
const USABLE_RATIO: f64 = 0.9;

/// The start of a daemon's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// When the process started. An earlier process of the host may have sent repeats until then.
    pub at: Instant,
    /// Whether the whole fleet started for the first time, so that no earlier process has sent
    /// anything.
    pub first: bool,
}

/// One daemon's share of the budget of one pool.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    /// Repeats that the daemon may send.
    saved: f64,
    /// Since when this process has sent no repeat. Its predecessor may have sent some before.
    quiet_since: Instant,
    /// Whether neither this process nor a predecessor has sent a repeat.
    unused: bool,
}

impl Budget {
    /// Creates a budget that is empty until first sends have earned repeats, or a window without
    /// repeats has passed since the start of the process.
    pub fn new(bound: Bound, start: Start) -> Self {
        Self { bound, saved: 0.0, quiet_since: start.at, unused: start.first }
    }

    /// Replaces the bound. What is saved up stays, up to the new share.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a request when it is first sent.
    pub fn record_first_send(&mut self) {
        self.saved += USABLE_RATIO * self.bound.ratio;
    }

    /// Counts a repeat.
    pub fn record_repeat(&mut self, now: Instant) {
        self.saved -= 1.0;
        self.quiet_since = now;
        self.unused = false;
    }

    /// Takes back a repeat that has not reached a backend server.
    pub fn cancel_repeat(&mut self) {
        self.saved += 1.0;
    }

    /// Whether the budget allows one more repeat.
    pub fn allows_repeat(&mut self, holders: &Holders<'_>, now: Instant) -> bool {
        self.left(holders, now) >= 1.0
    }

    /// Whether the budget allows one more repeat and keeps this fraction of the others that the daemon
    /// can save up.
    pub fn allows_with_reserve(
        &mut self,
        reserve: f64,
        holders: &Holders<'_>,
        now: Instant,
    ) -> bool {
        let others = (self.share(holders) - 1.0).max(0.0);
        self.left(holders, now) - 1.0 >= reserve * others
    }

    /// How many repeats the budget allows now.
    pub fn left(&mut self, holders: &Holders<'_>, now: Instant) -> f64 {
        let share = self.share(holders);
        let quiet = now.saturating_duration_since(self.quiet_since);
        let granted = if quiet > self.bound.window {
            share
        } else if self.unused {
            // The share may be too large, as many daemons that start may not be known yet.
            share.min(1.0)
        } else {
            0.0
        };
        self.saved = self.saved.max(granted).min(share.max(1.0));
        self.saved
    }

    fn share(&self, holders: &Holders<'_>) -> f64 {
        holders.equal_share(USABLE_RATIO * self.bound.burst)
    }
}
