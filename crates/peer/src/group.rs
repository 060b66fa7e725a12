//! The scheduler of a group as a task.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use futures::{StreamExt as _, future::BoxFuture, stream::FuturesUnordered};
use hyssop_document::{
    collections::{Map, Set},
    group::{self, Group},
    model, name,
    number::{Incarnation, Tokens},
};
use hyssop_policy::{
    decision::Decision,
    entry::Ticket,
    load::Load,
    permit::{self, End, Permit, Release},
    scheduler::Scheduler,
    status::Status,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

use crate::{
    identity::Process,
    message::{Batch, Event, Receipt, Report, Request, Verdict},
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
/// The number of load reports that must fail in a row before a backend server gets no work.
const FAILURES_OF_UNREACHABLE: u32 = 2;
/// The number of low bits of a permit's number that count the permits of one scheduler.
const NUMBER_BITS: u32 = 44;

/// What the task is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// Queue a request.
    Ask { request: Box<Request>, reply: oneshot::Sender<Verdict> },
    /// Forget a request whose home has gone.
    Cancel { home: Process, number: u64 },
    /// Take in what happened to permits.
    Events(Batch),
    /// Take in what a home holds.
    Report { report: Box<Report>, reply: oneshot::Sender<Receipt> },
    /// Forget a home whose process has ended.
    Ended(Process),
    /// Decide anew, for votes have changed.
    Wake,
    /// Tell the state.
    Status(oneshot::Sender<Status>),
}

/// The way to a group's task.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    commands: mpsc::UnboundedSender<Command>,
}

impl Handle {
    /// Starts the task of a group. `slot` is its number among the tasks of this process.
    pub(crate) fn start(shared: Arc<Shared>, group: Group, slot: u64) -> Self {
        let (commands, received) = mpsc::unbounded_channel();
        let changes = shared.changes.subscribe();
        let task = Task::new(shared, group, slot);
        tokio::spawn(task.run(received, changes));
        Self { commands }
    }

    /// Tells the task something.
    pub(crate) fn send(&self, command: Command) {
        // The task ends only with the node.
        let _ = self.commands.send(command);
    }

    /// Queues a request and waits for the verdict. Dropping the future forgets the request.
    pub(crate) async fn ask(&self, request: Request) -> Option<Verdict> {
        let (reply, verdict) = oneshot::channel();
        let home = request.home.clone();
        let mut guard = Guard { handle: self, home, number: request.number, done: false };
        self.send(Command::Ask { request: Box::new(request), reply });
        let verdict = verdict.await.ok();
        guard.done = true;
        verdict
    }

    /// Tells what a home holds.
    pub(crate) async fn report(&self, report: Report) -> Option<Receipt> {
        let (reply, receipt) = oneshot::channel();
        self.send(Command::Report { report: Box::new(report), reply });
        receipt.await.ok()
    }

    /// The state of the scheduler.
    pub(crate) async fn status(&self) -> Option<Status> {
        let (reply, status) = oneshot::channel();
        self.send(Command::Status(reply));
        status.await.ok()
    }
}

/// Cancels a request when the wait for its verdict is dropped.
struct Guard<'a> {
    handle: &'a Handle,
    home: Process,
    number: u64,
    done: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.handle.send(Command::Cancel { home: self.home.clone(), number: self.number });
        }
    }
}

/// A request in the queue.
#[derive(Debug)]
struct Waiting {
    home: Process,
    number: u64,
    reply: oneshot::Sender<Verdict>,
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

type Answer = (name::Backend, Result<Load, CompactString>);

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

    fn enqueue(&mut self, request: &Request, reply: oneshot::Sender<Verdict>) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let Request { home, number, .. } = request;
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
            Event::Progress(id, tokens) => self.scheduler.progress(self.inner(id), tokens, now),
            Event::Release(release) => {
                self.counted.remove(&release.id);
                let id = self.inner(release.id);
                self.scheduler.release(&Release { id, ..release }, now);
            }
        }
    }

    /// Compares what a home holds with what is counted for it, and counts its vote.
    fn report(&mut self, report: &Report) -> Receipt {
        let now = self.now();
        self.adopt(report, now);
        self.reconcile(report, now);
        let mut held = report.held.iter().copied();
        let complete = held.all(|id| self.counted.contains_key(&id));
        let tally = &mut self.shared.core.lock().tally;
        let voted = complete && tally.reported(&report.home, report.vote);
        Receipt { meant: true, complete, voted }
    }

    fn adopt(&mut self, report: &Report, now: Instant) {
        let Some(full) = &report.full else { return };
        self.scheduler.learn(&full.known, now);
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
        let running: Set<_> = report.held.iter().copied().collect();
        let mut lost = Vec::new();
        for (id, counted) in self.counted.iter_mut().filter(|(_, c)| c.home == report.home) {
            let missing = counted.number <= report.last_number
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
                && waiting.number <= report.last_number
                && !report.waiting.contains(&waiting.number)
        });
        let gone: Vec<_> = gone.map(|waiting| waiting.number).collect();
        for number in gone {
            self.cancel(&report.home, number);
        }
    }

    fn give_back(&mut self, id: permit::Id, now: Instant) {
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

    fn ended(&mut self, process: &Process) {
        let now = self.now();
        self.counted.retain(|_, counted| counted.home != *process);
        self.scheduler.drop_home(&process.host, process.incarnation, now);
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

    /// Starts a round of load reports if one is due. Only a scheduler with votes asks for them.
    fn observe(&mut self, now: Instant) {
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
    fn next_round(&self, now: Instant) -> Option<Instant> {
        let settles = self.shared.core.lock().settles_at(self.key, now)?;
        let Some(last) = self.round else { return Some(now) };
        let next = last + self.shared.timing.load;
        Some(if settles > last { next.min(settles.max(now)) } else { next })
    }

    fn loaded(&mut self, backend: &name::Backend, load: Result<Load, CompactString>) {
        let now = self.now();
        let message = match load {
            Ok(load) => {
                self.failures.remove(backend);
                self.scheduler.report(backend, load, now);
                return;
            }
            Err(message) => message,
        };
        let failures = self.failures.entry(backend.clone()).or_default();
        *failures += 1;
        log::debug!("no load report group={} backend={backend} {message}", self.group);
        // One answer may be late on a busy host; a backend server that is down fails again.
        if *failures >= FAILURES_OF_UNREACHABLE {
            self.scheduler.unreachable(backend, now);
        }
    }

    fn deliver(&mut self, decision: Decision) {
        let Some(waiting) = self.waiting.remove(&decision.ticket()) else { return };
        self.tickets.remove(&(waiting.home.clone(), waiting.number));
        match decision {
            Decision::Refuse { refusal, .. } => {
                // A home that has gone needs no refusal.
                let _ = waiting.reply.send(Verdict::Refused(refusal));
            }
            Decision::Grant { permit, .. } => self.grant(waiting, permit),
        }
    }

    fn grant(&mut self, waiting: Waiting, permit: Permit) {
        let id = self.outer(permit.id);
        let counted = Counted { home: waiting.home, number: waiting.number, missed: false };
        self.counted.insert(id, counted);
        if waiting.reply.send(Verdict::Granted(Permit { id, ..permit })).is_err() {
            self.give_back(id, self.shared.timer.now());
        }
    }

    fn next_wake(&self) -> Instant {
        let now = self.now();
        let idle = now + self.shared.timing.lease;
        let round = self.next_round(now).filter(|_| self.polls.is_empty());
        let wake = self.scheduler.next_wake().into_iter().chain(round).min();
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
