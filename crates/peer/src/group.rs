//! The scheduler of a group as a task.

mod handle;
mod reconcile;
mod rounds;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use futures::{StreamExt as _, future::BoxFuture, stream::FuturesUnordered};
use hyssop_document::{
    collections::Map,
    group::{self, Group},
    model, name,
    number::Incarnation,
};
use hyssop_policy::{
    decision::Decision,
    entry::Ticket,
    load::Load,
    permit::{self, Permit, Release},
    scheduler::Scheduler,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

pub(crate) use self::handle::{Command, Handle};
use self::rounds::Answer;
use crate::{
    identity::Process,
    message::{Event, PermitReply, Submission},
    node::Shared,
    rank::Key,
};

/// Asks backend servers for their load.
pub trait Loads: std::fmt::Debug + Send + Sync {
    /// The load of a backend server now.
    fn load(&self, backend: &model::Backend) -> BoxFuture<'static, Result<Load, CompactString>>;
}

/// The number of commands taken in before decisions are made.
const MAX_COMMANDS_A_STEP: usize = 512;
/// The shortest sleep of the task, which bounds its processor time.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// The number of low bits of a permit's number that count the permits of one scheduler.
const NUMBER_BITS: u32 = 44;

/// A request in the queue.
#[derive(Debug)]
struct Waiting {
    home: Process,
    number: u64,
    reply: oneshot::Sender<PermitReply>,
}

/// A permit that is counted.
#[derive(Debug)]
struct Counted {
    home: Process,
    /// The number of the request, 0 if another scheduler granted the permit.
    number: u64,
    /// Whether the home's last report lacked it. Its release may be on the way.
    missed: bool,
}

struct Task {
    shared: Arc<Shared>,
    group: Group,
    key: Key,
    slot: u64,
    scheduler: Scheduler,
    backends: Vec<model::Backend>,
    next_ticket: u64,
    waiting: Map<Ticket, Waiting>,
    tickets: Map<(Process, u64), Ticket>,
    counted: Map<permit::Id, Counted>,
    /// The load reports that failed in a row.
    failures: Map<name::Backend, u32>,
    polls: FuturesUnordered<BoxFuture<'static, Answer>>,
    /// The start of the round of load reports that is under way or was last.
    round: Option<Instant>,
    /// The start of the last round that is complete.
    observed: Option<Instant>,
}

impl Task {
    fn new(shared: Arc<Shared>, group: Group, slot: u64) -> Self {
        let key = Key::group(&group);
        let incarnation = shared.identity.incarnation;
        let scheduler = Scheduler::builder(group.clone(), incarnation)
            .seed(incarnation.0 ^ key.0)
            .build(shared.started);
        let mut task = Self {
            shared,
            group,
            key,
            slot,
            scheduler,
            backends: Vec::new(),
            next_ticket: 0,
            waiting: Map::default(),
            tickets: Map::default(),
            counted: Map::default(),
            failures: Map::default(),
            polls: FuturesUnordered::new(),
            round: None,
            observed: None,
        };
        task.configure();
        task
    }

    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut changes: watch::Receiver<u64>,
    ) {
        loop {
            self.step();
            let wake = time::Instant::from_std(self.next_wake());
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command, &mut commands),
                    None => return,
                },
                Some((backend, load)) = self.polls.next(), if !self.polls.is_empty() => {
                    self.loaded(&backend, load);
                }
                changed = changes.changed() => match changed {
                    Ok(()) => self.configure(),
                    Err(_) => return,
                },
                () = time::sleep_until(wake) => {}
            }
        }
    }

    fn now(&self) -> Instant {
        self.shared.timer.now()
    }

    fn configure(&mut self) {
        let current = self.shared.store.load();
        let Some(document) = &current.document else { return };
        let document = document.catalog.document();
        self.scheduler.configure(document, &current.orders, self.shared.timer.now());
        let members = group::split(document, &self.group.pool);
        let members = members.into_iter().find(|(group, _)| *group == self.group);
        self.backends =
            members.map(|(_, members)| members.into_iter().cloned().collect()).unwrap_or_default();
    }

    /// Takes a command and those that wait behind it, so that they are decided about together.
    fn take(&mut self, first: Command, more: &mut mpsc::UnboundedReceiver<Command>) {
        self.handle(first);
        for _ in 1..MAX_COMMANDS_A_STEP {
            match more.try_recv() {
                Ok(command) => self.handle(command),
                Err(_) => return,
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Ask { request, reply } => self.enqueue(&request, reply),
            Command::Cancel { home, number } => self.cancel(&home, number),
            Command::Events(batch) => batch.events.into_iter().for_each(|event| self.event(event)),
            Command::Report { report, reply } => {
                // The home sends the report again if it does not hear of it.
                let _ = reply.send(self.report(&report));
            }
            Command::Ended(process) => self.ended(&process),
            Command::Wake => {}
            Command::Status(reply) => {
                // Whoever asked may have gone.
                let _ = reply.send(self.scheduler.status(self.now()));
            }
        }
    }

    fn enqueue(&mut self, request: &Submission, reply: oneshot::Sender<PermitReply>) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let Submission { home, number, .. } = request;
        self.waiting.insert(ticket, Waiting { home: home.clone(), number: *number, reply });
        self.tickets.insert((home.clone(), *number), ticket);
        self.scheduler.enqueue(request.entry(ticket), self.shared.timer.now());
    }

    /// Forgets a request whose home has gone: in the queue, or granted and on the way.
    fn cancel(&mut self, home: &Process, number: u64) {
        if let Some(ticket) = self.tickets.remove(&(home.clone(), number)) {
            self.waiting.remove(&ticket);
            self.scheduler.cancel(ticket, self.shared.timer.now());
            return;
        }
        let mut counted = self.counted.iter();
        let granted = counted.find(|(_, c)| c.home == *home && c.number == number);
        if let Some((&id, _)) = granted {
            self.give_back(id, self.shared.timer.now());
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Progress(id, tokens) => {
                self.scheduler.record_progress(self.inner(id), tokens, now);
            }
            Event::Release(release) => {
                self.counted.remove(&release.id);
                let id = self.inner(release.id);
                self.scheduler.release(&Release { id, ..release }, now);
            }
        }
    }

    /// Starts load reports that are due and delivers every decision that can be made.
    fn step(&mut self) {
        let now = self.now();
        self.observe(now);
        let share = self.shared.core.lock().share(self.key, self.observed, now);
        self.scheduler.set_share(share, now);
        for decision in self.scheduler.poll(now) {
            self.deliver(decision);
        }
    }

    fn deliver(&mut self, decision: Decision) {
        let Some(waiting) = self.waiting.remove(&decision.ticket()) else { return };
        self.tickets.remove(&(waiting.home.clone(), waiting.number));
        match decision {
            Decision::Refuse { refusal, .. } => {
                // A home that has gone needs no refusal.
                let _ = waiting.reply.send(PermitReply::Refused(refusal));
            }
            Decision::Grant { permit, .. } => self.grant(waiting, permit),
        }
    }

    fn grant(&mut self, waiting: Waiting, permit: Permit) {
        let id = self.outer(permit.id);
        let counted = Counted { home: waiting.home, number: waiting.number, missed: false };
        self.counted.insert(id, counted);
        if waiting.reply.send(PermitReply::Granted(Permit { id, ..permit })).is_err() {
            self.give_back(id, self.shared.timer.now());
        }
    }

    fn next_wake(&self) -> Instant {
        let now = self.now();
        let idle = now + self.shared.timing.lease_duration;
        let round = self.next_round(now).filter(|_| self.polls.is_empty());
        let wake = self.scheduler.next_poll().into_iter().chain(round).min();
        wake.unwrap_or(idle).clamp(now + MIN_SLEEP, idle)
    }

    /// The identity outside of this task: unique among all groups of the process.
    fn outer(&self, id: permit::Id) -> permit::Id {
        permit::Id { number: self.slot << NUMBER_BITS | id.number, ..id }
    }

    /// The identity that this task's scheduler knows.
    fn inner(&self, id: permit::Id) -> permit::Id {
        let own: Incarnation = self.shared.identity.incarnation;
        match id.scheduler == own {
            true => permit::Id { number: id.number & ((1 << NUMBER_BITS) - 1), ..id },
            false => id,
        }
    }
}
