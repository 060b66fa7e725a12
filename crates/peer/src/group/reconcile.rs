//! Reconciles the permits that the task counts with the reports of homes.

use std::time::Instant;

use hyssop_document::{collections::Set, number::Tokens};
use hyssop_policy::permit::{self, End, Release};

use super::{CountedPermit, Task};
use crate::{
    identity::Process,
    message::{Receipt, Report},
};

impl Task {
    /// Counts the permits of a report, releases those that the report lacks, and records the home's
    /// vote once all its permits are counted.
    pub(super) fn apply_report(&mut self, report: &Report) -> Receipt {
        let now = self.now();
        self.adopt_full_state(report, now);
        self.reconcile(report, now);
        let mut held = report.permits.iter().copied();
        let complete = held.all(|id| self.counted.contains_key(&id));
        let tally = &mut self.shared.core.lock().tally;
        let voted = complete && tally.record_report(&report.home, report.vote);
        Receipt { reached_scheduler: true, all_counted: complete, vote_recorded: voted }
    }

    /// Records the limits in a full report, and counts its permits that this task does not count yet,
    /// granted by earlier schedulers.
    fn adopt_full_state(&mut self, report: &Report, now: Instant) {
        let Some(full) = &report.full else { return };
        self.scheduler.record_hints(&full.observed_limits, now);
        let running = full.running.iter();
        let unknown = running.filter(|permit| !self.counted.contains_key(&permit.id));
        let mut unknown: Vec<_> = unknown.cloned().collect();
        for permit in &mut unknown {
            let counted = CountedPermit { home: report.home.clone(), number: 0, missing: false };
            self.counted.insert(permit.id, counted);
            permit.id = self.local_id(permit.id);
        }
        if !unknown.is_empty() {
            let (home, count) = (&report.home.host, unknown.len());
            log::info!("permits adopted group={} home={home} count={count}", self.group);
            self.scheduler.adopt(&unknown, now);
        }
    }

    /// Releases permits and cancels requests that the home neither uses nor waits for: the reply or
    /// the release was lost.
    ///
    /// A permit is released only when two reports in a row lack it: at the first one, its release
    /// may be in transit.
    fn reconcile(&mut self, report: &Report, now: Instant) {
        let running: Set<_> = report.permits.iter().copied().collect();
        let mut lost = Vec::new();
        for (id, counted) in
            self.counted.iter_mut().filter(|(_, permit)| permit.home == report.home)
        {
            let missing = counted.number <= report.last_request_number
                && !running.contains(id)
                && !report.waiting.contains(&counted.number);
            if missing && counted.missing {
                lost.push(*id);
            }
            counted.missing = missing;
        }
        for id in lost {
            log::info!("permit not held by its home group={} permit={id}", self.group);
            self.release_unused(id, now);
        }
        let cancelled = self.waiting.values().filter(|request| {
            request.home == report.home
                && request.number <= report.last_request_number
                && !report.waiting.contains(&request.number)
        });
        let cancelled: Vec<_> = cancelled.map(|request| request.number).collect();
        for number in cancelled {
            self.cancel(&report.home, number);
        }
    }

    /// Releases a permit whose request was not sent to a backend server.
    pub(super) fn release_unused(&mut self, id: permit::Id, now: Instant) {
        self.counted.remove(&id);
        let release = Release {
            id: self.local_id(id),
            end: End::NotDispatched,
            first_token_ms: None,
            elapsed_ms: 0,
            output_tokens: Tokens(0),
            late: false,
        };
        self.scheduler.release(&release, now);
    }

    /// Drops the requests and permits of a home whose process has ended.
    pub(super) fn process_ended(&mut self, process: &Process) {
        let now = self.now();
        self.counted.retain(|_, counted| counted.home != *process);
        self.scheduler.drop_home(&process.host, process.incarnation, now);
    }
}
