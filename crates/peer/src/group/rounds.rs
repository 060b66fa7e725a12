//! Rounds of load reports.

use std::time::Instant;

use compact_str::CompactString;
use hyssop_document::name;
use hyssop_policy::load::Load;
use tokio::time;

use super::Task;

/// The number of load reports that must fail in a row before a backend server gets no work.
const FAILURES_OF_UNREACHABLE: u32 = 2;

/// A load report, or the reason why there is none.
pub(super) type Answer = (name::Backend, Result<Load, CompactString>);

impl Task {
    /// Starts a round of load reports if one is due. Only a scheduler with votes asks for them.
    pub(super) fn observe(&mut self, now: Instant) {
        if !self.polls.is_empty() {
            return;
        }
        self.observed = self.round;
        let due = self.next_round(now).is_some_and(|due| due <= now);
        if !due {
            return;
        }
        self.round = Some(now);
        for backend in &self.backends {
            let load = self.shared.loads.load(backend);
            let name = backend.name.clone();
            let limit = self.shared.timing.load_timeout;
            self.polls.push(Box::pin(async move {
                let load = time::timeout(limit, load).await;
                (name, load.unwrap_or_else(|_| Err("no answer in time".into())))
            }));
        }
    }

    /// The start of the next round: after the interval, or when the newest vote settles.
    pub(super) fn next_round(&self, now: Instant) -> Option<Instant> {
        let settles = self.shared.core.lock().settles_at(self.key, now)?;
        let Some(last) = self.round else { return Some(now) };
        let next = last + self.shared.timing.load_interval;
        Some(if settles > last { next.min(settles.max(now)) } else { next })
    }

    pub(super) fn loaded(&mut self, backend: &name::Backend, load: Result<Load, CompactString>) {
        let now = self.now();
        let message = match load {
            Ok(load) => {
                self.failures.remove(backend);
                self.scheduler.record_load(backend, load, now);
                return;
            }
            Err(message) => message,
        };
        let failures = self.failures.entry(backend.clone()).or_default();
        *failures += 1;
        log::debug!("no load report group={} backend={backend} {message}", self.group);
        // One answer may be late on a busy host; a backend server that is down fails again.
        if *failures >= FAILURES_OF_UNREACHABLE {
            self.scheduler.record_unreachable(backend, now);
        }
    }
}
