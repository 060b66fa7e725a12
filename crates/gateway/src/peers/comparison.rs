//! Compares the records of this daemon with those of the watchers of the source.

use std::time::{Duration, Instant};

use hyssop_document::collections::Map;

/// How long records must differ at the same positions before the source is read in full: large
/// records arrive later than the position that they belong to.
const MIN_DIFFERENCE_TIME: Duration = Duration::from_secs(3);
/// How long a difference that is not confirmed any more is remembered.
const DIFFERENCE_TTL: Duration = Duration::from_secs(2);
/// The minimum time between two full reads because of a difference.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Difference {
    since: Instant,
    confirmed: Instant,
}

/// The watchers whose records differ from those of this daemon.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    differences: Map<u32, Difference>,
    last_read: Option<Instant>,
}

impl Comparison {
    /// Records whether a watcher has the same records at the same position.
    pub(super) fn record(&mut self, watcher: u32, is_equal: bool, now: Instant) {
        if is_equal {
            self.differences.remove(&watcher);
            return;
        }
        let difference =
            self.differences.entry(watcher).or_insert(Difference { since: now, confirmed: now });
        difference.confirmed = now;
    }

    /// Whether this daemon is to read the source in full. Of the daemons that watch the source each
    /// reads that differs from another one; others only if they differ from two, or from all there
    /// are, so that a watcher that has missed something makes not all of them read.
    pub(super) fn is_read_due(&mut self, watches: bool, watchers: usize, now: Instant) -> bool {
        self.differences
            .retain(|_, difference| now.duration_since(difference.confirmed) < DIFFERENCE_TTL);
        let lasting = self
            .differences
            .values()
            .filter(|difference| now.duration_since(difference.since) >= MIN_DIFFERENCE_TIME);
        let needed = if watches { 1 } else { watchers.clamp(1, 2) };
        let is_paused =
            self.last_read.is_some_and(|read| now.duration_since(read) < MIN_READ_INTERVAL);
        let is_due = lasting.count() >= needed && !is_paused;
        if is_due {
            self.differences.clear();
            self.last_read = Some(now);
        }
        is_due
    }
}
