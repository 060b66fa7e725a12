//! The scheduler of one group.

use std::time::{Duration, Instant};

use hyssop_document::{
    collections::Map,
    group::{self, Group},
    model, name,
    number::{Incarnation, Tier, Tokens},
    order,
};

use crate::{
    decision::{Decision, Reason, Refusal},
    entry::{Entry, Ticket},
    load::Load,
    permit::{self, Permit, Release, Running},
    share::Share,
    status::{self, Status},
};

/// The time after which a refused request may come back when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Builds a [`Scheduler`].
#[derive(Debug, Clone)]
pub struct Builder {
    group: Group,
    incarnation: Incarnation,
    seed: u64,
    share: Share,
}

impl Builder {
    /// Sets the seed of all random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the share to start with. By default it is nothing.
    pub fn share(mut self, share: Share) -> Self {
        self.share = share;
        self
    }

    /// Builds the scheduler. `now` is the start of its uptime.
    pub fn build(self, now: Instant) -> Scheduler {
        Scheduler {
            group: self.group,
            incarnation: self.incarnation,
            share: self.share,
            started: now,
            quiet_until: None,
            next_number: 0,
            pool: None,
            backends: Vec::new(),
            classes: Map::default(),
            queue: Vec::new(),
            grants: Map::default(),
        }
    }
}

#[derive(Debug)]
struct Backend {
    model: model::Backend,
    in_service: bool,
    incarnation: u64,
    running: u32,
    load: Option<Load>,
    granted_since_report: u32,
}

#[derive(Debug)]
struct Waiting {
    entry: Entry,
    tier: Tier,
    deadline: Instant,
}

#[derive(Debug)]
struct Grant {
    backend: name::Backend,
    class: name::Class,
    home: name::Host,
    home_incarnation: Incarnation,
    latest_end: Instant,
}

/// Decides which requests run at which backend server of one group.
#[derive(Debug)]
pub struct Scheduler {
    group: Group,
    incarnation: Incarnation,
    share: Share,
    started: Instant,
    quiet_until: Option<Instant>,
    next_number: u64,
    pool: Option<model::Pool>,
    backends: Vec<Backend>,
    classes: Map<name::Class, model::Class>,
    queue: Vec<Waiting>,
    grants: Map<permit::Id, Grant>,
}

impl Scheduler {
    /// Starts to build a scheduler of `group`.
    pub fn builder(group: Group, incarnation: Incarnation) -> Builder {
        Builder { group, incarnation, seed: 0, share: Share::default() }
    }

    /// Takes over the document and the service orders in force.
    pub fn configure(&mut self, document: &model::Document, orders: &order::State, _now: Instant) {
        self.pool = document.pools.iter().find(|p| p.name == self.group.pool).cloned();
        self.classes = document.classes.iter().map(|c| (c.name.clone(), c.clone())).collect();
        let members = group::split(document, &self.group.pool)
            .into_iter()
            .find(|(group, _)| *group == self.group)
            .map(|(_, members)| members)
            .unwrap_or_default();
        let mut old: Map<_, _> =
            self.backends.drain(..).map(|b| (b.model.name.clone(), b)).collect();
        for member in members {
            let mut backend = old.remove(&member.name).unwrap_or_else(|| Backend {
                model: member.clone(),
                in_service: true,
                incarnation: 0,
                running: 0,
                load: None,
                granted_since_report: 0,
            });
            backend.model = member.clone();
            backend.in_service = !orders.zones_out.contains(&member.zone);
            self.backends.push(backend);
        }
        for backend in &mut self.backends {
            let name = &backend.model.name;
            backend.running = self.grants.values().filter(|g| g.backend == *name).count() as u32;
        }
    }

    /// Sets the part of each limit that the scheduler may use.
    pub fn set_share(&mut self, share: Share, _now: Instant) {
        self.share = share;
    }

    /// Grants nothing before `until`.
    pub fn quiet_until(&mut self, until: Instant) {
        self.quiet_until = Some(until);
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, entry: Entry, now: Instant) {
        let tier = self.classes.get(&entry.class).map_or(Tier::LOWEST, |c| c.tier);
        let deadline = now + Duration::from_millis(entry.remaining_ms);
        self.queue.push(Waiting { entry, tier, deadline });
    }

    /// Removes a request whose caller has gone from the queue.
    pub fn cancel(&mut self, ticket: Ticket, _now: Instant) {
        self.queue.retain(|w| w.entry.ticket != ticket);
    }

    /// Takes note of the tokens that a running request has generated.
    pub fn progress(&mut self, _id: permit::Id, _tokens: Tokens, _now: Instant) {}

    /// Ends a permit.
    pub fn release(&mut self, release: &Release, _now: Instant) {
        self.forget(release.id);
    }

    /// Takes in the report of a backend server.
    pub fn report(&mut self, backend: &name::Backend, load: Load, _now: Instant) {
        if let Some(backend) = self.backends.iter_mut().find(|b| b.model.name == *backend) {
            backend.incarnation = load.incarnation;
            backend.load = Some(load);
            backend.granted_since_report = 0;
        }
    }

    /// Counts requests that run at the voters on permits of an earlier scheduler.
    pub fn adopt(&mut self, running: &[Running], now: Instant) {
        for one in running {
            if self.grants.contains_key(&one.id) {
                continue;
            }
            if let Some(backend) = self.backends.iter_mut().find(|b| b.model.name == one.backend) {
                backend.running += 1;
            }
            let grant = Grant {
                backend: one.backend.clone(),
                class: one.class.clone(),
                home: one.home.clone(),
                home_incarnation: one.home_incarnation,
                latest_end: now + Duration::from_millis(one.remaining_ms),
            };
            self.grants.insert(one.id, grant);
        }
    }

    /// Drops everything of a daemon whose process has ended.
    pub fn drop_home(&mut self, host: &name::Host, incarnation: Incarnation, _now: Instant) {
        self.queue.retain(|w| w.entry.home != *host || w.entry.home_incarnation != incarnation);
        let ended: Vec<_> = self
            .grants
            .iter()
            .filter(|(_, g)| g.home == *host && g.home_incarnation == incarnation)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.forget(id);
        }
    }

    /// Decides about all requests for which something can be decided now.
    pub fn poll(&mut self, now: Instant) -> Vec<Decision> {
        self.expire(now);
        let mut decisions = Vec::new();
        self.queue.sort_by_key(|w| (w.tier, w.deadline));
        for waiting in std::mem::take(&mut self.queue) {
            let ticket = waiting.entry.ticket;
            let reason = if !self.classes.contains_key(&waiting.entry.class) {
                Some(Reason::UnknownName)
            } else if waiting.deadline <= now {
                Some(Reason::Deadline)
            } else {
                None
            };
            if let Some(reason) = reason {
                let refusal = Refusal { reason, retry_after_ms: RETRY_AFTER.as_millis() as u64 };
                decisions.push(Decision::Refuse { ticket, refusal });
                continue;
            }
            match self.place(&waiting.entry, now) {
                Some(permit) => decisions.push(Decision::Grant { ticket, permit }),
                None => self.queue.push(waiting),
            }
        }
        decisions
    }

    /// The next time at which [`Scheduler::poll`] may decide something without a further event.
    pub fn next_wake(&self) -> Option<Instant> {
        let deadlines = self.queue.iter().map(|w| w.deadline);
        let ends = self.grants.values().map(|g| g.latest_end);
        deadlines.chain(ends).chain(self.quiet_until).min()
    }

    /// The state, for operators.
    pub fn status(&self, now: Instant) -> Status {
        let quiet = self.quiet_until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
        Status {
            group: self.group.clone(),
            share: self.share,
            quiet_ms: quiet.as_millis() as u64,
            waiting: self.queue.len() as u64,
            running: self.grants.len() as u64,
            backends: self.backends.iter().map(|b| self.backend_status(b)).collect(),
            classes: self.classes.values().map(|c| self.class_status(c)).collect(),
        }
    }

    fn backend_status(&self, backend: &Backend) -> status::Backend {
        status::Backend {
            name: backend.model.name.clone(),
            zone: backend.model.zone.clone(),
            in_service: backend.in_service,
            cold: false,
            straggler: false,
            limit: self.pool.as_ref().map_or(0, |p| p.warm_limit),
            running: backend.running,
            reported: backend.load.map_or(0, |l| l.requests()),
            kv_used: backend.load.map_or(0.0, |l| l.kv_used),
            first_token_ms: None,
            inter_token_ms: None,
        }
    }

    fn class_status(&self, class: &model::Class) -> status::Class {
        let waiting = self.queue.iter().filter(|w| w.entry.class == class.name).count();
        let running = self.grants.values().filter(|g| g.class == class.name).count();
        status::Class {
            name: class.name.clone(),
            tier: class.tier,
            waiting: waiting as u64,
            running: running as u64,
            granted: 0,
            refused: 0,
        }
    }

    fn expire(&mut self, now: Instant) {
        if self.quiet_until.is_some_and(|until| until <= now) {
            self.quiet_until = None;
        }
        let ended: Vec<_> =
            self.grants.iter().filter(|(_, g)| g.latest_end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            log::warn!("permit expired group={} permit={id}", self.group);
            self.forget(id);
        }
    }

    fn forget(&mut self, id: permit::Id) {
        let Some(grant) = self.grants.remove(&id) else { return };
        if let Some(backend) = self.backends.iter_mut().find(|b| b.model.name == grant.backend) {
            backend.running = backend.running.saturating_sub(1);
        }
    }

    fn place(&mut self, entry: &Entry, now: Instant) -> Option<Permit> {
        if self.quiet_until.is_some() {
            return None;
        }
        let pool = self.pool.as_ref()?;
        let class = self.classes.get(&entry.class)?;
        let limit = pool.warm_limit;
        let own = self.share.limit(limit);
        let index = (0..self.backends.len())
            .filter(|&i| {
                let backend = &self.backends[i];
                let reported = backend.load.map_or(0, |l| l.requests());
                let counted = backend.running.max(reported + backend.granted_since_report);
                backend.in_service
                    && !entry.exclude.contains(&backend.model.name)
                    && backend.running < own
                    && counted < limit
            })
            .min_by_key(|&i| self.backends[i].running)?;
        let latest_end_ms = pool.latest_end_ms.min(class.max_running_ms);
        let id = permit::Id { scheduler: self.incarnation, number: self.next_number };
        self.next_number += 1;
        let backend = &mut self.backends[index];
        backend.running += 1;
        backend.granted_since_report += 1;
        let permit = Permit {
            id,
            group: self.group.clone(),
            backend: backend.model.name.clone(),
            address: backend.model.address,
            backend_incarnation: backend.incarnation,
            limit,
            granted_at_ms: (now - self.started).as_millis() as u64,
            use_within_ms: permit::USE_WITHIN.as_millis() as u64,
            latest_end_ms,
        };
        let grant = Grant {
            backend: permit.backend.clone(),
            class: entry.class.clone(),
            home: entry.home.clone(),
            home_incarnation: entry.home_incarnation,
            latest_end: now + Duration::from_millis(latest_end_ms),
        };
        self.grants.insert(id, grant);
        Some(permit)
    }
}
