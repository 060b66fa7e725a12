//! The task that runs the scheduler of a group.

mod handle;
mod load_reports;
mod reconcile;

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
use self::load_reports::LoadResult;
use crate::{
    identity::Process,
    message::{Event, PermitReply, Submission},
    node::Shared,
    rank::Key,
};

/// Fetches load reports of backend servers.
pub trait LoadSource: std::fmt::Debug + Send + Sync {
    /// Fetches the current load of a backend server. The error is a text for the log.
    fn load(&self, backend: &model::Backend) -> BoxFuture<'static, Result<Load, CompactString>>;
}

/// The limit of commands handled between two polls of the scheduler.
const MAX_COMMANDS_PER_STEP: usize = 512;
/// The minimum sleep of the task, which bounds its CPU time.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// The number of low bits of a permit's number that the group's scheduler assigns. The high bits
/// are the slot of the group's task.
const PERMIT_NUMBER_BITS: u32 = 44;

/// A queued request.
#[derive(Debug)]
struct QueuedRequest {
    home: Process,
    number: u64,
    reply: oneshot::Sender<PermitReply>,
}

/// A permit that counts against the limits of its backend server.
#[derive(Debug)]
struct CountedPermit {
    home: Process,
    /// The number of the request, 0 if another scheduler granted the permit.
    number: u64,
    /// Whether the home's last report lacked the permit. Its release may be in transit.
    missing: bool,
}

struct Task {
    shared: Arc<Shared>,
    group: Group,
    key: Key,
    slot: u64,
    scheduler: Scheduler,
    backends: Vec<model::Backend>,
    /// The limit of the scheduler's queue.
    queue_limit: usize,
    next_ticket: u64,
    waiting: Map<Ticket, QueuedRequest>,
    tickets: Map<(Process, u64), Ticket>,
    counted: Map<permit::Id, CountedPermit>,
    /// The number of consecutive failed load reports of each backend server.
    load_failures: Map<name::Backend, u32>,
    load_polls: FuturesUnordered<BoxFuture<'static, LoadResult>>,
    /// The start of the latest round of load reports, complete or not.
    last_round_at: Option<Instant>,
    /// The start of the latest complete round of load reports.
    complete_round_at: Option<Instant>,
}

impl Task {
    fn new(shared: Arc<Shared>, group: Group, slot: u64) -> Self {
        let key = Key::group(&group);
        let incarnation = shared.identity.incarnation;
        let scheduler = Scheduler::builder(group.clone(), incarnation)
            .seed(incarnation.0 ^ key.0)
            .build(shared.started_at);
        let mut task = Self {
            shared,
            group,
            key,
            slot,
            scheduler,
            backends: Vec::new(),
            queue_limit: 0,
            next_ticket: 0,
            waiting: Map::default(),
            tickets: Map::default(),
            counted: Map::default(),
            load_failures: Map::default(),
            load_polls: FuturesUnordered::new(),
            last_round_at: None,
            complete_round_at: None,
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
            let next_step = time::Instant::from_std(self.next_step_at());
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_all(command, &mut commands),
                    None => return,
                },
                Some((backend, load)) = self.load_polls.next(), if !self.load_polls.is_empty() => {
                    self.record_load(&backend, load);
                }
                changed = changes.changed() => match changed {
                    Ok(()) => self.configure(),
                    Err(_) => return,
                },
                () = time::sleep_until(next_step) => {}
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
        let pool = document.pools.iter().find(|pool| pool.name == self.group.pool);
        self.queue_limit = pool.map_or(0, |pool| pool.queue_limit);
        let members = group::split(document, &self.group.pool);
        let members = members.into_iter().find(|(group, _)| *group == self.group);
        self.backends =
            members.map(|(_, members)| members.into_iter().cloned().collect()).unwrap_or_default();
    }

    /// Handles a command and those queued behind it, so that one poll decides on as many of them as the
    /// queue takes.
    fn handle_all(&mut self, first: Command, queued: &mut mpsc::UnboundedReceiver<Command>) {
        self.handle(first);
        for _ in 1..MAX_COMMANDS_PER_STEP {
            match queued.try_recv() {
                Ok(command) => self.handle(command),
                Err(_) => return,
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Submit { submission, reply } => self.enqueue(&submission, reply),
            Command::Cancel { home, number } => self.cancel(&home, number),
            Command::Events(batch) => {
                batch.events.into_iter().for_each(|event| self.apply_event(event));
            }
            Command::Report { report, reply } => {
                // The home sends the report again if it does not receive the receipt.
                let _ = reply.send(self.apply_report(&report));
            }
            Command::ProcessEnded(process) => self.process_ended(&process),
            Command::Poll => {}
            Command::Status(reply) => {
                // The receiver may have been dropped.
                let _ = reply.send(self.scheduler.status(self.now()));
            }
        }
    }

    fn enqueue(&mut self, submission: &Submission, reply: oneshot::Sender<PermitReply>) {
        // The scheduler sheds at the limit of its queue at once, so it must have granted the free slots.
        if self.waiting.len() >= self.queue_limit {
            self.step();
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let Submission { home, number, .. } = submission;
        self.waiting.insert(ticket, QueuedRequest { home: home.clone(), number: *number, reply });
        self.tickets.insert((home.clone(), *number), ticket);
        self.scheduler.enqueue(submission.entry(ticket), self.shared.timer.now());
    }

    /// Removes a cancelled request from the queue, or releases its permit if one was granted.
    fn cancel(&mut self, home: &Process, number: u64) {
        if let Some(ticket) = self.tickets.remove(&(home.clone(), number)) {
            self.waiting.remove(&ticket);
            self.scheduler.cancel(ticket, self.shared.timer.now());
            return;
        }
        let mut counted = self.counted.iter();
        let granted = counted.find(|(_, permit)| permit.home == *home && permit.number == number);
        if let Some((&id, _)) = granted {
            self.release_unused(id, self.shared.timer.now());
        }
    }

    fn apply_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Progress(id, tokens) => {
                self.scheduler.record_progress(self.local_id(id), tokens, now);
            }
            Event::Release(release) => {
                self.counted.remove(&release.id);
                let id = self.local_id(release.id);
                self.scheduler.release(&Release { id, ..release }, now);
            }
        }
    }

    /// Starts a round of load reports if one is due, and sends the decisions of the scheduler.
    fn step(&mut self) {
        let now = self.now();
        self.start_load_round(now);
        let share = self.shared.core.lock().share(self.key, self.complete_round_at, now);
        self.scheduler.set_share(share, now);
        for decision in self.scheduler.poll(now) {
            self.send_decision(decision);
        }
    }

    fn send_decision(&mut self, decision: Decision) {
        let Some(request) = self.waiting.remove(&decision.ticket()) else { return };
        self.tickets.remove(&(request.home.clone(), request.number));
        match decision {
            Decision::Refuse { refusal, .. } => {
                // The wait may have been dropped.
                let _ = request.reply.send(PermitReply::Refused(refusal));
            }
            Decision::Grant { permit, .. } => self.grant(request, permit),
        }
    }

    fn grant(&mut self, request: QueuedRequest, permit: Permit) {
        let id = self.global_id(permit.id);
        let counted = CountedPermit { home: request.home, number: request.number, missing: false };
        self.counted.insert(id, counted);
        if request.reply.send(PermitReply::Granted(Permit { id, ..permit })).is_err() {
            self.release_unused(id, self.shared.timer.now());
        }
    }

    fn next_step_at(&self) -> Instant {
        let now = self.now();
        let latest = now + self.shared.timing.lease_duration;
        let next_round = self.next_round_at(now).filter(|_| self.load_polls.is_empty());
        let next_step = self.scheduler.next_poll().into_iter().chain(next_round).min();
        next_step.unwrap_or(latest).clamp(now + MIN_SLEEP, latest)
    }

    /// The permit's identity outside of this task, unique among all groups of the process.
    fn global_id(&self, id: permit::Id) -> permit::Id {
        permit::Id { number: self.slot << PERMIT_NUMBER_BITS | id.number, ..id }
    }

    /// The permit's identity within this task's scheduler.
    fn local_id(&self, id: permit::Id) -> permit::Id {
        let own: Incarnation = self.shared.identity.incarnation;
        match id.scheduler == own {
            true => permit::Id { number: id.number & ((1 << PERMIT_NUMBER_BITS) - 1), ..id },
            false => id,
        }
    }
}
