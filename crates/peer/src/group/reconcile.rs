//! What homes report, against what the task counts for them.

use std::time::Instant;

use hyssop_document::{collections::Set, number::Tokens};
use hyssop_policy::permit::{self, End, Release};

use super::{Counted, Task};
use crate::{
    identity::Process,
    message::{Receipt, Report},
};

impl Task {
    /// Compares what a home holds with what is counted for it, and counts its vote.
    pub(super) fn report(&mut self, report: &Report) -> Receipt {
        let now = self.now();
        self.adopt(report, now);
        self.reconcile(report, now);
        let mut held = report.permits.iter().copied();
        let complete = held.all(|id| self.counted.contains_key(&id));
        let tally = &mut self.shared.core.lock().tally;
        let voted = complete && tally.record_report(&report.home, report.vote);
        Receipt { reached_scheduler: true, all_counted: complete, vote_recorded: voted }
    }

    fn adopt(&mut self, report: &Report, now: Instant) {
        let Some(full) = &report.full else { return };
        self.scheduler.record_hints(&full.observed_limits, now);
        let running = full.running.iter();
        let unknown = running.filter(|one| !self.counted.contains_key(&one.id));
        let mut unknown: Vec<_> = unknown.cloned().collect();
        for one in &mut unknown {
            let counted = Counted { home: report.home.clone(), number: 0, missed: false };
            self.counted.insert(one.id, counted);
            one.id = self.inner(one.id);
        }
        if !unknown.is_empty() {
            let (home, count) = (&report.home.host, unknown.len());
            log::info!("permits taken over group={} home={home} count={count}", self.group);
            self.scheduler.adopt(&unknown, now);
        }
    }

    /// Ends what the home neither holds nor waits for: its answer or its release was lost.
    fn reconcile(&mut self, report: &Report, now: Instant) {
        let running: Set<_> = report.permits.iter().copied().collect();
        let mut lost = Vec::new();
        for (id, counted) in self.counted.iter_mut().filter(|(_, c)| c.home == report.home) {
            let missing = counted.number <= report.last_request_number
                && !running.contains(id)
                && !report.waiting.contains(&counted.number);
            if missing && counted.missed {
                lost.push(*id);
            }
            counted.missed = missing;
        }
        for id in lost {
            log::info!("permit not held by its home group={} permit={id}", self.group);
            self.give_back(id, now);
        }
        let gone = self.waiting.values().filter(|waiting| {
            waiting.home == report.home
                && waiting.number <= report.last_request_number
                && !report.waiting.contains(&waiting.number)
        });
        let gone: Vec<_> = gone.map(|waiting| waiting.number).collect();
        for number in gone {
            self.cancel(&report.home, number);
        }
    }

    pub(super) fn give_back(&mut self, id: permit::Id, now: Instant) {
        self.counted.remove(&id);
        let release = Release {
            id: self.inner(id),
            end: End::NotDispatched,
            first_token_ms: None,
            elapsed_ms: 0,
            output_tokens: Tokens(0),
            late: false,
        };
        self.scheduler.release(&release, now);
    }

    pub(super) fn ended(&mut self, process: &Process) {
        let now = self.now();
        self.counted.retain(|_, counted| counted.home != *process);
        self.scheduler.drop_home(&process.host, process.incarnation, now);
    }
}
