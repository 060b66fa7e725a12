//! The requests and permits of a home, the process that its callers are connected to.

use std::time::{Duration, Instant};

use hyssop_document::{
    collections::{Map, Set},
    group::Group,
    name,
    number::Tokens,
};
use hyssop_policy::permit::{self, LimitHint, Permit, Running};

use crate::{identity::Process, message::PermitRequest};

/// The time for which a limit from a permit is reported to new schedulers.
const OBSERVED_LIMIT_TTL: Duration = Duration::from_secs(60);

/// A permit in use.
#[derive(Debug, Clone)]
pub struct HeldPermit {
    permit: Permit,
    request: PermitRequest,
    ends_at: Instant,
    output_tokens: Tokens,
}

/// The limit of a backend server, from the last permit for it.
#[derive(Debug, Clone, Copy)]
struct ObservedLimit {
    incarnation: u64,
    limit: u32,
    observed_at: Instant,
}

/// The waiting requests and the permits in use of one home.
///
/// A permit is in use from its receipt to its release. A request waits until its permit is
/// received, or it is refused or dropped. Both change under one lock, so a snapshot contains
/// exactly what a scheduler should count.
#[derive(Debug)]
pub struct Table {
    own_process: Process,
    last_request_number: u64,
    waiting: Map<Group, Set<u64>>,
    held: Map<permit::Id, HeldPermit>,
    observed_limits: Map<Group, Map<name::Backend, ObservedLimit>>,
}

/// The waiting requests and the permits in use of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The number of the last request, over all groups.
    pub last_request_number: u64,
    /// The numbers of the requests that wait for a permit.
    pub waiting: Vec<u64>,
    /// The permits in use.
    pub running: Vec<Running>,
    /// Limits of backend servers from recent permits.
    pub observed_limits: Vec<LimitHint>,
}

impl Table {
    /// Creates the empty table of the home `own_process`.
    pub fn new(own_process: Process) -> Self {
        Self {
            own_process,
            last_request_number: 0,
            waiting: Map::default(),
            held: Map::default(),
            observed_limits: Map::default(),
        }
    }

    /// Adds a waiting request. Returns its number.
    pub fn open_request(&mut self, group: &Group) -> u64 {
        self.last_request_number += 1;
        self.waiting.entry(group.clone()).or_default().insert(self.last_request_number);
        self.last_request_number
    }

    /// Removes a waiting request.
    pub fn close_request(&mut self, group: &Group, number: u64) {
        if let Some(waiting) = self.waiting.get_mut(group) {
            waiting.remove(&number);
        }
    }

    /// Turns a waiting request into a permit in use.
    pub fn hold(&mut self, number: u64, permit: &Permit, request: &PermitRequest, now: Instant) {
        self.close_request(&request.group, number);
        let ends_at = now + Duration::from_millis(permit.latest_end_ms);
        let held = HeldPermit {
            permit: permit.clone(),
            request: request.clone(),
            ends_at,
            output_tokens: Tokens(0),
        };
        self.held.insert(permit.id, held);
        let limit = ObservedLimit {
            incarnation: permit.backend_incarnation,
            limit: permit.limit,
            observed_at: now,
        };
        let group = self.observed_limits.entry(permit.group.clone()).or_default();
        group.insert(permit.backend.clone(), limit);
    }

    /// Records the total of output tokens received. Returns the group of the permit, or `None` if
    /// it is not in use.
    pub fn record_progress(&mut self, id: permit::Id, tokens: Tokens) -> Option<Group> {
        let held = self.held.get_mut(&id)?;
        held.output_tokens = tokens;
        Some(held.permit.group.clone())
    }

    /// Removes a permit. Returns its group, or `None` if it is not in use.
    pub fn release(&mut self, id: permit::Id) -> Option<Group> {
        self.held.remove(&id).map(|held| held.permit.group)
    }

    /// Removes permits whose latest end has passed, and outdated limits.
    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|_, held| now < held.ends_at);
        for group in self.observed_limits.values_mut() {
            group.retain(|_, limit| limit.age(now) <= OBSERVED_LIMIT_TTL);
        }
        self.observed_limits.retain(|_, group| !group.is_empty());
    }

    /// The number of permits in use.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no permit is in use.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes a snapshot of one group.
    pub fn snapshot(&self, group: &Group, now: Instant) -> Snapshot {
        let held = self.held.values().filter(|held| held.permit.group == *group);
        Snapshot {
            last_request_number: self.last_request_number,
            waiting: self
                .waiting
                .get(group)
                .map(|waiting| waiting.iter().copied().collect())
                .unwrap_or_default(),
            running: held.map(|held| self.running(held, now)).collect(),
            observed_limits: self.observed_limits(group, now),
        }
    }

    fn observed_limits(&self, group: &Group, now: Instant) -> Vec<LimitHint> {
        let observed = self.observed_limits.get(group).into_iter().flatten();
        let limits = observed.map(|(backend, observed)| LimitHint {
            backend: backend.clone(),
            backend_incarnation: observed.incarnation,
            limit: observed.limit,
            age_ms: observed.age(now).as_millis() as u64,
        });
        limits.collect()
    }

    fn running(&self, held: &HeldPermit, now: Instant) -> Running {
        let HeldPermit { permit, request, ends_at, output_tokens } = held;
        Running {
            id: permit.id,
            backend: permit.backend.clone(),
            backend_incarnation: permit.backend_incarnation,
            limit: permit.limit,
            class: request.class.clone(),
            workspace: request.workspace.clone(),
            home: self.own_process.host.clone(),
            home_incarnation: self.own_process.incarnation,
            remaining_ms: ends_at.saturating_duration_since(now).as_millis() as u64,
            prompt_tokens: request.prompt_tokens,
            output_tokens: *output_tokens,
            suspect: request.suspect,
        }
    }
}

impl ObservedLimit {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.observed_at)
    }
}
