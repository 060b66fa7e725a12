//! Rounds of load reports: in each, the task fetches the load of every backend server of the group.

use std::time::Instant;

use compact_str::CompactString;
use hyssop_document::name;
use hyssop_policy::load::Load;
use tokio::time;

use super::Task;

/// The number of consecutive failed load reports after which a backend server counts as
/// unreachable.
const UNREACHABLE_FAILURE_COUNT: u32 = 2;

/// A backend server with its load report, or the reason of the failure.
pub(super) type LoadResult = (name::Backend, Result<Load, CompactString>);

impl Task {
    /// Starts a round of load reports if one is due and the previous one is complete. A scheduler
    /// without votes fetches none.
    pub(super) fn start_load_round(&mut self, now: Instant) {
        if !self.load_polls.is_empty() {
            return;
        }
        self.complete_round_at = self.last_round_at;
        let due = self.next_round_at(now).is_some_and(|due| due <= now);
        if !due {
            return;
        }
        self.last_round_at = Some(now);
        for backend in &self.backends {
            let load = self.shared.load_source.load(backend);
            let name = backend.name.clone();
            let timeout = self.shared.timing.load_timeout;
            self.load_polls.push(Box::pin(async move {
                let load = time::timeout(timeout, load).await;
                (name, load.unwrap_or_else(|_| Err("no response in time".into())))
            }));
        }
    }

    /// The start of the next round: after the interval, or earlier when the newest vote settles.
    /// `None` without votes.
    pub(super) fn next_round_at(&self, now: Instant) -> Option<Instant> {
        let settles_at = self.shared.core.lock().settles_at(self.key, now)?;
        let Some(last) = self.last_round_at else { return Some(now) };
        let next = last + self.shared.timing.load_interval;
        Some(if settles_at > last { next.min(settles_at.max(now)) } else { next })
    }

    pub(super) fn record_load(
        &mut self,
        backend: &name::Backend,
        load: Result<Load, CompactString>,
    ) {
        let now = self.now();
        let message = match load {
            Ok(load) => {
                self.load_failures.remove(backend);
                self.scheduler.record_load(backend, load, now);
                return;
            }
            Err(message) => message,
        };
        let failures = self.load_failures.entry(backend.clone()).or_default();
        *failures += 1;
        log::debug!("no load report group={} backend={backend} {message}", self.group);
        // A single report may be late on a busy host; a backend server that is down fails again.
        if *failures >= UNREACHABLE_FAILURE_COUNT {
            self.scheduler.record_unreachable(backend, now);
        }
    }
}
