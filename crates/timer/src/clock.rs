//! Monotonic clocks.

use std::{
    fmt::Debug,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// A source of monotonic time.
pub trait Clock: Debug + Send + Sync {
    /// The current time.
    fn now(&self) -> Instant;
}

/// The operating system's monotonic clock. It advances while the process is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock for tests that only changes by [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed_ns: AtomicU64,
}

impl ManualClock {
    /// Advances the clock by `by`.
    pub fn advance(&self, by: Duration) {
        self.elapsed_ns.fetch_add(by.as_nanos() as u64, Ordering::SeqCst);
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self { start: Instant::now(), elapsed_ns: AtomicU64::new(0) }
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + Duration::from_nanos(self.elapsed_ns.load(Ordering::SeqCst))
    }
}
