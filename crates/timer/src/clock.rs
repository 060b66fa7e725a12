//! Monotonic clocks.

use std::{
    fmt::Debug,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// A source of monotonic time.
pub trait Clock: Debug + Send + Sync {
    /// The time now.
    fn now(&self) -> Instant;
}

/// The operating system's monotonic clock. It goes on while the process is stopped.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock that stands still until it is advanced, for tests.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    elapsed_ns: AtomicU64,
}

impl Manual {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        self.elapsed_ns.fetch_add(by.as_nanos() as u64, Ordering::SeqCst);
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self { start: Instant::now(), elapsed_ns: AtomicU64::new(0) }
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + Duration::from_nanos(self.elapsed_ns.load(Ordering::SeqCst))
    }
}
