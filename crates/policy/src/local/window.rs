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
