//! Limits, shares and work conservation of a scheduler under random events.

mod common;

use std::time::Instant;

use bolero::TypeGenerator;
use common::{document, entry, load, ms, permits, release, scheduler};
use hyssop_document::{model, name, order};
use hyssop_policy::{
    permit::{End, Permit},
    scheduler::Scheduler,
    share::Share,
};

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Action {
    Enqueue { class: u8, workspace: u8, suspect: bool, exclude: Option<u8>, remaining: u8 },
    Release { permit: u8, end: u8, late: bool },
    Report { backend: u8, incarnation: u8, running: u8, cold: bool },
    Share { votes: u8, hosts: u8 },
    Limits { cold: u8, warm: u8 },
    Zone { out: u8 },
    Wait { tens_of_ms: u8 },
}

const ENDS: [End; 6] = [
    End::Completed,
    End::Cancelled,
    End::NotDispatched,
    End::BackendFailed,
    End::Refused503,
    End::TimedOut,
];

/// A scheduler with the state that an independent check needs.
struct Harness {
    scheduler: Scheduler,
    document: model::Document,
    orders: order::State,
    share: Share,
    now: Instant,
    ticket: u64,
    running: Vec<(Permit, bool)>,
    suspects: Vec<u64>,
    excluded: Vec<(u64, name::Backend)>,
    decided: Vec<u64>,
}

impl Harness {
    fn new() -> Self {
        let now = Instant::now();
        let document = document(3, 1, 4);
        Self {
            scheduler: scheduler(&document, now),
            document,
            orders: order::State::default(),
            share: Share::FULL,
            now,
            ticket: 0,
            running: Vec::new(),
            suspects: Vec::new(),
            excluded: Vec::new(),
            decided: Vec::new(),
        }
    }

    fn act(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Enqueue { class, workspace, suspect, exclude, remaining } => {
                let class = ["desk", "draft", "bulk"][usize::from(class % 3)];
                let workspace = ["w1", "w2", "w3"][usize::from(workspace % 3)];
                let mut entry = entry(self.ticket, class, workspace);
                entry.remaining_ms = u64::from(remaining) * 100;
                entry.suspect = suspect;
                if let Some(exclude) = exclude {
                    let backend = name::Backend::new(&format!("b{}", exclude % 3));
                    self.excluded.push((self.ticket, backend.clone()));
                    entry.exclude = vec![backend];
                }
                if suspect {
                    self.suspects.push(self.ticket);
                }
                self.ticket += 1;
                self.scheduler.enqueue(entry, now);
            }
            Action::Release { permit, end, late } if !self.running.is_empty() => {
                let index = usize::from(permit) % self.running.len();
                let (permit, _) = self.running.swap_remove(index);
                let mut release = release(&permit, ENDS[usize::from(end) % ENDS.len()], 50);
                release.late = late;
                self.scheduler.release(&release, now);
            }
            Action::Release { .. } => {}
            Action::Report { backend, incarnation, running, cold } => {
                let mut load = load(u64::from(incarnation % 2), u32::from(running % 6));
                load.cold = cold;
                let backend = name::Backend::new(&format!("b{}", backend % 3));
                self.scheduler.record_load(&backend, load, now);
            }
            Action::Share { votes, hosts } => {
                self.share = Share { votes: u32::from(votes % 10), hosts: u32::from(hosts % 10) };
                self.scheduler.set_share(self.share, now);
            }
            Action::Limits { cold, warm } => {
                self.document.pools[0].warm_limit = u32::from(warm % 6) + 1;
                self.document.pools[0].cold_limit = u32::from(cold % 3) + 1;
                self.scheduler.configure(&self.document, &self.orders, now);
            }
            Action::Zone { out } => {
                self.orders = order::State::default();
                if out % 3 < 2 {
                    let zone = name::Zone::new(["z1", "z2"][usize::from(out % 3)]);
                    self.orders.zones_out.insert(zone);
                }
                self.scheduler.configure(&self.document, &self.orders, now);
            }
            Action::Wait { tens_of_ms } => self.now += ms(u64::from(tens_of_ms) * 10),
        }
    }

    fn poll(&mut self) {
        let before = self.scheduler.status(self.now);
        let decisions = self.scheduler.poll(self.now);
        for decision in &decisions {
            let ticket = decision.ticket().0;
            assert!(!self.decided.contains(&ticket), "{ticket} was decided twice");
            self.decided.push(ticket);
        }
        for (ticket, permit) in permits(decisions) {
            let suspect = self.suspects.contains(&ticket.0);
            let suspect_on_server =
                |(other, suspect): &(Permit, bool)| *suspect && other.backend == permit.backend;
            assert!(
                !suspect || !self.running.iter().any(suspect_on_server),
                "two suspects run together"
            );
            let excluded = (ticket.0, permit.backend.clone());
            assert!(!self.excluded.contains(&excluded), "an excluded server got the request");
            self.running.push((permit, suspect));
        }
        self.assert_limits(&before);
    }

    /// Checks the share, the limit and the service order of each backend server that was granted a
    /// request.
    fn assert_limits(&self, before: &hyssop_policy::status::Status) {
        let after = self.scheduler.status(self.now);
        for (before, after) in before.backends.iter().zip(&after.backends) {
            if after.running <= before.running {
                continue;
            }
            assert!(after.in_service, "a server out of service got work");
            assert!(after.running <= self.share.of(after.limit), "above the share");
            let granted = after.running - before.running;
            assert!(granted <= after.limit, "above the limit");
        }
    }

    /// Checks that no unconstrained request waits while a backend server has room.
    fn assert_work_conserving(&self) {
        let status = self.scheduler.status(self.now);
        let free = status.backends.iter().any(|b| b.has_room);
        let waiting = (0..self.ticket).filter(|ticket| {
            let constrained = self.suspects.contains(ticket)
                || self.excluded.iter().any(|(excluded, _)| excluded == ticket);
            !constrained && !self.decided.contains(ticket)
        });
        assert!(!free || waiting.count() == 0, "a request waits although a server has room");
    }
}

#[test]
fn limits_hold_and_no_slot_is_wasted_over_random_histories() {
    bolero::check!().with_type::<Vec<Action>>().with_iterations(2000).for_each(|actions| {
        let mut harness = Harness::new();
        for action in actions {
            harness.act(*action);
            harness.poll();
            harness.assert_work_conserving();
        }
    });
}
