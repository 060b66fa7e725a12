//! What a home waits for and what it runs.

use std::time::{Duration, Instant};

use hyssop_document::{
    collections::{Map, Set},
    group::Group,
    name,
    number::Tokens,
};
use hyssop_policy::permit::{self, Known, Permit, Running};

use crate::{identity::Process, message::PermitRequest};

/// The time for which the limit in a permit is remembered.
const OBSERVED_LIMIT_TTL: Duration = Duration::from_secs(60);

/// A permit in use.
#[derive(Debug, Clone)]
pub struct HeldPermit {
    permit: Permit,
    request: PermitRequest,
    ends_at: Instant,
    output_tokens: Tokens,
}

/// The limit that a backend server had when it was last seen in a permit.
#[derive(Debug, Clone, Copy)]
struct ObservedLimit {
    incarnation: u64,
    limit: u32,
    observed_at: Instant,
}

/// The open requests and the permits of one home.
///
/// A permit is held from its arrival to its release. A request is open until it is held, refused or
/// dropped. Both change under one lock, so a snapshot shows exactly what a scheduler should count.
#[derive(Debug)]
pub struct Table {
    own_process: Process,
    last_request_number: u64,
    waiting: Map<Group, Set<u64>>,
    held: Map<permit::Id, HeldPermit>,
    observed_limits: Map<Group, Map<name::Backend, ObservedLimit>>,
}

/// What is open and held of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The number of the last request.
    pub last_request_number: u64,
    /// The requests that wait for a permit.
    pub waiting: Vec<u64>,
    /// The permits in use.
    pub running: Vec<Running>,
    /// The limits that were seen in permits lately.
    pub observed_limits: Vec<Known>,
}

impl Table {
    /// An empty table.
    pub fn new(me: Process) -> Self {
        Self {
            own_process: me,
            last_request_number: 0,
            waiting: Map::default(),
            held: Map::default(),
            observed_limits: Map::default(),
        }
    }

    /// Opens a request and returns its number.
    pub fn open_request(&mut self, group: &Group) -> u64 {
        self.last_request_number += 1;
        self.waiting.entry(group.clone()).or_default().insert(self.last_request_number);
        self.last_request_number
    }

    /// Closes a request that got no permit.
    pub fn close_request(&mut self, group: &Group, number: u64) {
        if let Some(open) = self.waiting.get_mut(group) {
            open.remove(&number);
        }
    }

    /// Turns an open request into a permit in use.
    pub fn hold(&mut self, number: u64, permit: &Permit, ask: &PermitRequest, now: Instant) {
        self.close_request(&ask.group, number);
        let ends = now + Duration::from_millis(permit.latest_end_ms);
        let holding = HeldPermit {
            permit: permit.clone(),
            request: ask.clone(),
            ends_at: ends,
            output_tokens: Tokens(0),
        };
        self.held.insert(permit.id, holding);
        let seen = ObservedLimit {
            incarnation: permit.backend_incarnation,
            limit: permit.limit,
            observed_at: now,
        };
        let group = self.observed_limits.entry(permit.group.clone()).or_default();
        group.insert(permit.backend.clone(), seen);
    }

    /// Notes the tokens that have arrived. Returns the permit's group.
    pub fn progress(&mut self, id: permit::Id, tokens: Tokens) -> Option<Group> {
        let holding = self.held.get_mut(&id)?;
        holding.output_tokens = tokens;
        Some(holding.permit.group.clone())
    }

    /// Ends the use of a permit. Returns its group.
    pub fn release(&mut self, id: permit::Id) -> Option<Group> {
        self.held.remove(&id).map(|holding| holding.permit.group)
    }

    /// Drops permits whose latest end has passed.
    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|_, holding| now < holding.ends_at);
        for group in self.observed_limits.values_mut() {
            group.retain(|_, seen| seen.age(now) <= OBSERVED_LIMIT_TTL);
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

    /// What is open and held of a group.
    pub fn snapshot(&self, group: &Group, now: Instant) -> Snapshot {
        let held = self.held.values().filter(|holding| holding.permit.group == *group);
        Snapshot {
            last_request_number: self.last_request_number,
            waiting: self
                .waiting
                .get(group)
                .map(|open| open.iter().copied().collect())
                .unwrap_or_default(),
            running: held.map(|holding| self.running(holding, now)).collect(),
            observed_limits: self.observed_limits(group, now),
        }
    }

    fn observed_limits(&self, group: &Group, now: Instant) -> Vec<Known> {
        let seen = self.observed_limits.get(group).into_iter().flatten();
        let known = seen.map(|(backend, seen)| Known {
            backend: backend.clone(),
            backend_incarnation: seen.incarnation,
            limit: seen.limit,
            age_ms: seen.age(now).as_millis() as u64,
        });
        known.collect()
    }

    fn running(&self, holding: &HeldPermit, now: Instant) -> Running {
        let HeldPermit { permit, request: ask, ends_at: ends, output_tokens: output } = holding;
        Running {
            id: permit.id,
            backend: permit.backend.clone(),
            backend_incarnation: permit.backend_incarnation,
            limit: permit.limit,
            class: ask.class.clone(),
            workspace: ask.workspace.clone(),
            home: self.own_process.host.clone(),
            home_incarnation: self.own_process.incarnation,
            remaining_ms: ends.saturating_duration_since(now).as_millis() as u64,
            prompt_tokens: ask.prompt_tokens,
            output_tokens: *output,
            solo: ask.solo,
        }
    }
}

impl ObservedLimit {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.observed_at)
    }
}
