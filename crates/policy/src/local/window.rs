//! Counts of events in a sliding window.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The times of the events of one span.
#[derive(Debug, Clone)]
pub struct Window {
    span: Duration,
    times: VecDeque<Instant>,
}

impl Window {
    /// An empty window.
    pub fn new(span: Duration) -> Self {
        Self { span, times: VecDeque::new() }
    }

    /// Adds an event.
    pub fn add(&mut self, now: Instant) {
        self.expire(now);
        self.times.push_back(now);
    }

    /// The number of events in the span before `now`.
    pub fn count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.times.len()
    }

    fn expire(&mut self, now: Instant) {
        while self.times.front().is_some_and(|&time| now.duration_since(time) > self.span) {
            self.times.pop_front();
        }
    }
}
