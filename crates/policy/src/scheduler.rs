//! The scheduler of one group.
//!
//! Events are passed in with the times at which they happened. [`Scheduler::poll`] returns the
//! decisions: call it after each event or batch of events, and at [`Scheduler::next_poll`].

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, group::Group, model, name, number::Incarnation, order};
use rand::{SeedableRng as _, rngs::SmallRng};

use crate::{
    budget::Budget,
    choice::{self, Strategy},
    coldstart::Hint,
    decision::Decision,
    entry::{Entry, Ticket},
    load::Load,
    permit::{self, End, LimitHint, Running},
    queue::{Queue, class_queue, workspace_queue},
    share::Share,
    status::{self, Status},
};

mod admission;
mod adoption;
mod backend;
mod class;
mod configuration;
mod grants;
mod placement;
mod prefixes;
mod running;
mod speeds;

use backend::Backend;
use class::Class;
use grants::{Grant, Grants};
use prefixes::Prefixes;

/// The time without a change after which a share is treated as stable.
const SHARE_STABLE_AFTER: Duration = Duration::from_secs(3);

/// Configures and creates a [`Scheduler`].
#[derive(Debug)]
pub struct Builder {
    group: Group,
    incarnation: Incarnation,
    seed: u64,
    share: Share,
    strategy: Box<dyn Strategy>,
}

impl Builder {
    /// Sets the seed of the random number generator.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the initial share. The default is no share at all.
    pub fn share(mut self, share: Share) -> Self {
        self.share = share;
        self
    }

    /// Sets the strategy to choose a backend server. The default is [`choice::ExpectedFinish`].
    pub fn strategy(mut self, strategy: Box<dyn Strategy>) -> Self {
        self.strategy = strategy;
        self
    }

    /// Creates the scheduler. `now` is the start of its uptime.
    pub fn build(self, now: Instant) -> Scheduler {
        Scheduler {
            group: self.group,
            incarnation: self.incarnation,
            share: self.share,
            share_since: now,
            stable_share: Share::FULL,
            started: now,
            paused_until: None,
            without_slots_since: None,
            next_permit_number: 0,
            pool: None,
            backends: Vec::new(),
            backend_positions: Map::default(),
            inter_token_ms: None,
            first_token_ms: None,
            first_token_ratio: None,
            classes: Vec::new(),
            class_keys: Map::default(),
            workspaces: Map::default(),
            queue: Queue::new(0),
            entries: Map::default(),
            last_rechecked: 0,
            grants: Grants::default(),
            prefixes: Prefixes::default(),
            budget: Budget::default(),
            strategy: self.strategy,
            random: SmallRng::seed_from_u64(self.seed),
            decisions: Vec::new(),
        }
    }
}

/// A workspace that a document has declared.
#[derive(Debug, Clone, Copy)]
struct Workspace {
    key: workspace_queue::Key,
    share: u32,
    declared: bool,
}

/// Decides which requests run at which backend servers of one group.
#[derive(Debug)]
pub struct Scheduler {
    group: Group,
    incarnation: Incarnation,
    share: Share,
    share_since: Instant,
    /// The last share that was stable. The full share for a new scheduler.
    stable_share: Share,
    started: Instant,
    paused_until: Option<Instant>,
    /// The time since which this scheduler has had no slot at any backend server.
    without_slots_since: Option<Instant>,
    next_permit_number: u64,
    pool: Option<model::Pool>,
    backends: Vec<Backend>,
    backend_positions: Map<name::Backend, usize>,
    /// The group's median time between tokens.
    inter_token_ms: Option<f64>,
    /// The group's median time to the first token.
    first_token_ms: Option<f64>,
    /// The group's median time to the first token, divided by the typical time of the class.
    first_token_ratio: Option<f64>,
    /// The classes, indexed by their keys.
    classes: Vec<Class>,
    class_keys: Map<name::Class, class_queue::Key>,
    workspaces: Map<name::Workspace, Workspace>,
    queue: Queue,
    entries: Map<Ticket, Entry>,
    /// The sequence number up to which waiting requests have been checked again.
    last_rechecked: u64,
    grants: Grants,
    prefixes: Prefixes,
    budget: Budget,
    strategy: Box<dyn Strategy>,
    random: SmallRng,
    decisions: Vec<Decision>,
}

impl Scheduler {
    /// Returns a builder for the scheduler of `group`.
    pub fn builder(group: Group, incarnation: Incarnation) -> Builder {
        Builder {
            group,
            incarnation,
            seed: 0,
            share: Share::default(),
            strategy: Box::new(choice::ExpectedFinish),
        }
    }

    /// Applies the document and the service orders in force.
    pub fn configure(&mut self, document: &model::Document, orders: &order::State, now: Instant) {
        self.pool = document.pools.iter().find(|pool| pool.name == self.group.pool).cloned();
        self.queue.set_limit(self.pool.as_ref().map_or(0, |pool| pool.queue_limit));
        self.configure_workspaces(document);
        self.configure_classes(document);
        self.configure_backends(document, orders);
        self.refuse_undeclared(now);
        self.shed(now);
    }

    /// Sets the share of each limit that the scheduler may use.
    pub fn set_share(&mut self, share: Share, now: Instant) {
        if share == self.share {
            return;
        }
        if self.is_share_stable(now) {
            self.stable_share = self.share;
        }
        self.share = share;
        self.share_since = now;
    }

    /// Grants no permits before `until`.
    pub fn pause_until(&mut self, until: Instant) {
        self.paused_until = Some(until);
    }

    /// Adds a request to the queue. A refusal is returned by the next [`Scheduler::poll`].
    pub fn enqueue(&mut self, entry: Entry, now: Instant) {
        self.admit(entry, now);
    }

    /// Removes a waiting request after its caller disconnected.
    pub fn cancel(&mut self, ticket: Ticket, _now: Instant) {
        self.queue.remove(ticket);
        self.entries.remove(&ticket);
        self.decisions.retain(|decision| {
            let refused = matches!(decision, Decision::Refuse { .. });
            !refused || decision.ticket() != ticket
        });
    }

    /// Records a load report of a backend server.
    pub fn record_load(&mut self, backend: &name::Backend, load: Load, now: Instant) {
        if let Some(&position) = self.backend_positions.get(backend) {
            self.backends[position].record_load(load, now);
        }
    }

    /// Records that a load report of a backend server could not be fetched.
    pub fn record_unreachable(&mut self, backend: &name::Backend, now: Instant) {
        if let Some(&position) = self.backend_positions.get(backend) {
            self.backends[position].record_unreachable(now);
        }
    }

    /// Counts requests that run at the voters on permits of another scheduler.
    pub fn adopt(&mut self, running: &[Running], now: Instant) {
        for request in running {
            if !self.grants.contains(request.id) {
                self.adopt_one(request, now);
            }
        }
    }

    /// Records the limits that earlier schedulers had reached, so that a handover does not turn the
    /// backend servers cold.
    pub fn record_hints(&mut self, hints: &[LimitHint], now: Instant) {
        for hint in hints {
            if let Some(&position) = self.backend_positions.get(&hint.backend) {
                let at =
                    now.checked_sub(Duration::from_millis(hint.age_ms)).unwrap_or(self.started);
                let hint = Hint { incarnation: hint.backend_incarnation, limit: hint.limit, at };
                self.backends[position].tracker.record_hint(hint);
            }
        }
    }

    /// Removes the waiting and running requests of a daemon whose process has ended.
    pub fn drop_home(&mut self, host: &name::Host, incarnation: Incarnation, now: Instant) {
        let of_home = |entry: &Entry| entry.home == *host && entry.home_incarnation == incarnation;
        let waiting: Vec<_> =
            self.entries.values().filter(|entry| of_home(entry)).map(|e| e.ticket).collect();
        for ticket in waiting {
            self.cancel(ticket, now);
        }
        let running: Vec<_> = self
            .grants
            .iter()
            .filter(|(_, grant)| grant.home == *host && grant.home_incarnation == incarnation)
            .map(|(id, _)| id)
            .collect();
        for id in running {
            self.end_permit(id, Some(End::Cancelled), now);
        }
    }

    /// Makes all decisions that are possible now and returns them.
    pub fn poll(&mut self, now: Instant) -> Vec<Decision> {
        self.expire(now);
        self.shed(now);
        self.queue.defer(now);
        self.refuse_late(now);
        if self.paused_until.is_none() {
            self.grant_all(now);
        }
        std::mem::take(&mut self.decisions)
    }

    /// The next time at which [`Scheduler::poll`] may return a decision without a further event.
    pub fn next_poll(&self) -> Option<Instant> {
        let cooldowns = self
            .queue
            .class_queues()
            .filter(|(_, queue)| !queue.is_empty())
            .filter_map(|(key, _)| self.classes[key.0].floor.cooldown_until());
        let backend_expiries = self.backends.iter().filter_map(Backend::next_expiry);
        // Without slots, the takeover has no end yet.
        let exceeds_limit = self.queue.next_to_shed().is_some() && self.slots() > 0;
        let takeover_end = exceeds_limit.then(|| self.share_since + SHARE_STABLE_AFTER);
        let undelivered = (!self.decisions.is_empty()).then_some(self.started);
        cooldowns
            .chain(self.queue.next_expiry())
            .chain(self.grants.next_latest_end())
            .chain(backend_expiries)
            .chain(self.paused_until)
            .chain(self.without_slots_since.map(|since| since + admission::NO_SLOTS_TIMEOUT))
            .chain(takeover_end)
            .chain(undelivered)
            .min()
    }

    /// A snapshot for operators.
    pub fn status(&self, now: Instant) -> Status {
        let paused = self.paused_until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
        let classes = self.queue.class_queues().map(|(key, queue)| {
            let class = &self.classes[key.0];
            status::Class {
                name: class.model.name.clone(),
                tier: class.model.tier,
                waiting: queue.len() as u64,
                running: u64::from(class.running),
                granted: class.granted,
                refused: class.refused,
            }
        });
        Status {
            group: self.group.clone(),
            share: self.share,
            paused_ms: paused.as_millis() as u64,
            waiting: self.queue.len() as u64,
            running: self.grants.len() as u64,
            slots: self.slots(),
            backends: self.backends.iter().map(|b| b.status(self.share, now)).collect(),
            classes: classes.collect(),
        }
    }

    fn expire(&mut self, now: Instant) {
        if self.paused_until.is_some_and(|until| until <= now) {
            self.paused_until = None;
        }
        self.classes.iter_mut().for_each(|class| class.floor.expire_cooldown(now));
        self.backends.iter_mut().for_each(|backend| backend.expire(now));
        while let Some(id) = self.grants.expired(now) {
            let grant = self.end_permit(id, None, now).expect("an expired permit is counted");
            log::warn!(
                "permit expired permit={id} backend={} host={} age_ms={}",
                grant.backend,
                grant.home,
                grant.held_for(now).as_millis()
            );
        }
    }

    /// Stops counting a permit.
    fn end_permit(&mut self, id: permit::Id, end: Option<End>, now: Instant) -> Option<Grant> {
        let grant = self.grants.remove(id)?;
        let slots = self.slots();
        if let Some(key) = grant.class {
            let class = &mut self.classes[key.0];
            class.floor.record_end(class.running, slots, grant.held_for(now), now);
            class.running = class.running.saturating_sub(1);
        }
        if let Some(&position) = self.backend_positions.get(&grant.backend) {
            self.backends[position].end(&grant, end, now);
        }
        Some(grant)
    }

    /// The slots that this scheduler may use at the current limits.
    fn slots(&self) -> u32 {
        self.backends.iter().map(|backend| backend.slots(self.share)).sum()
    }

    /// The slots used for the admission check.
    ///
    /// While votes move, a scheduler may hold a small share for a moment. No request is refused for
    /// that reason: until the share is stable, the last stable share is used if it is larger.
    fn admission_slots(&self, now: Instant) -> u32 {
        let slots = |share| self.backends.iter().map(|backend| backend.slots(share)).sum();
        let current = slots(self.share);
        if self.is_share_stable(now) { current } else { current.max(slots(self.stable_share)) }
    }

    /// Whether requests and votes are moving to this scheduler, or soon will.
    fn is_taking_over(&self, now: Instant) -> bool {
        let has_changed = self.share_since > self.started;
        self.slots() == 0 || has_changed && !self.is_share_stable(now)
    }

    fn is_share_stable(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.share_since) >= SHARE_STABLE_AFTER
    }
}
