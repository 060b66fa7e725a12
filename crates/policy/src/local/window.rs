//! Counts of events in a sliding window.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The times of the events in a sliding window.
#[derive(Debug, Clone)]
pub struct Window {
    length: Duration,
    times: VecDeque<Instant>,
}

impl Window {
    /// Creates an empty window of this length.
    pub fn new(length: Duration) -> Self {
        Self { length, times: VecDeque::new() }
    }

    /// Adds an event. Events are added in the order of their times.
    pub fn add(&mut self, now: Instant) {
        self.expire(now);
        self.times.push_back(now);
    }

    /// The number of events in the window that ends at `now`.
    pub fn count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.times.len()
    }

    fn expire(&mut self, now: Instant) {
        while self.times.front().is_some_and(|&time| now.duration_since(time) > self.length) {
            self.times.pop_front();
        }
    }
}

/// The sum of values in a sliding window.
#[derive(Debug, Clone)]
pub struct Sum {
    length: Duration,
    values: VecDeque<(Instant, f64)>,
    total: f64,
}

impl Sum {
    /// Creates an empty window of this length.
    pub fn new(length: Duration) -> Self {
        Self { length, values: VecDeque::new(), total: 0.0 }
    }

    /// Adds a value. Values are added in the order of their times.
    pub fn add(&mut self, value: f64, now: Instant) {
        self.values.push_back((now, value));
        self.total += value;
    }

    /// The sum of the window that ends at `now`.
    pub fn total(&mut self, now: Instant) -> f64 {
        while let Some(&(time, value)) = self.values.front() {
            if now.duration_since(time) <= self.length {
                return self.total;
            }
            self.values.pop_front();
            self.total -= value;
        }
        // Rounding errors don't add up.
        self.total = 0.0;
        0.0
    }
}
