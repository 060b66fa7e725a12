//! What a home waits for and what it runs.

use std::time::{Duration, Instant};

use hyssop_document::{
    collections::{Map, Set},
    group::Group,
    name,
    number::Tokens,
};
use hyssop_policy::permit::{self, LimitHint, Permit, Running};

use crate::{identity::Process, message::Ask};

/// The time for which the limit in a permit is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// A permit in use.
#[derive(Debug, Clone)]
pub struct Holding {
    permit: Permit,
    ask: Ask,
    ends: Instant,
    output: Tokens,
}

/// The limit that a backend server had when it was last seen in a permit.
#[derive(Debug, Clone, Copy)]
struct Seen {
    incarnation: u64,
    limit: u32,
    at: Instant,
}

/// The open requests and the permits of one home.
///
/// A permit is held from its arrival to its release. A request is open until it is held, refused or
/// dropped. Both change under one lock, so a snapshot shows exactly what a scheduler should count.
#[derive(Debug)]
pub struct Table {
    me: Process,
    last_number: u64,
    open: Map<Group, Set<u64>>,
    held: Map<permit::Id, Holding>,
    seen: Map<Group, Map<name::Backend, Seen>>,
}

/// What is open and held of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The number of the last request.
    pub last_number: u64,
    /// The requests that wait for a permit.
    pub waiting: Vec<u64>,
    /// The permits in use.
    pub running: Vec<Running>,
    /// The limits that were seen in permits lately.
    pub known: Vec<LimitHint>,
}

impl Table {
    /// An empty table.
    pub fn new(me: Process) -> Self {
        Self {
            me,
            last_number: 0,
            open: Map::default(),
            held: Map::default(),
            seen: Map::default(),
        }
    }

    /// Opens a request and returns its number.
    pub fn open(&mut self, group: &Group) -> u64 {
        self.last_number += 1;
        self.open.entry(group.clone()).or_default().insert(self.last_number);
        self.last_number
    }

    /// Closes a request that got no permit.
    pub fn close(&mut self, group: &Group, number: u64) {
        if let Some(open) = self.open.get_mut(group) {
            open.remove(&number);
        }
    }

    /// Turns an open request into a permit in use.
    pub fn hold(&mut self, number: u64, permit: &Permit, ask: &Ask, now: Instant) {
        self.close(&ask.group, number);
        let ends = now + Duration::from_millis(permit.latest_end_ms);
        let holding = Holding { permit: permit.clone(), ask: ask.clone(), ends, output: Tokens(0) };
        self.held.insert(permit.id, holding);
        let seen = Seen { incarnation: permit.backend_incarnation, limit: permit.limit, at: now };
        let group = self.seen.entry(permit.group.clone()).or_default();
        group.insert(permit.backend.clone(), seen);
    }

    /// Notes the tokens that have arrived. Returns the permit's group.
    pub fn progress(&mut self, id: permit::Id, tokens: Tokens) -> Option<Group> {
        let holding = self.held.get_mut(&id)?;
        holding.output = tokens;
        Some(holding.permit.group.clone())
    }

    /// Ends the use of a permit. Returns its group.
    pub fn release(&mut self, id: permit::Id) -> Option<Group> {
        self.held.remove(&id).map(|holding| holding.permit.group)
    }

    /// Drops permits whose latest end has passed.
    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|_, holding| now < holding.ends);
        for group in self.seen.values_mut() {
            group.retain(|_, seen| seen.age(now) <= MEMORY);
        }
        self.seen.retain(|_, group| !group.is_empty());
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
            last_number: self.last_number,
            waiting: self
                .open
                .get(group)
                .map(|open| open.iter().copied().collect())
                .unwrap_or_default(),
            running: held.map(|holding| self.running(holding, now)).collect(),
            known: self.known(group, now),
        }
    }

    fn known(&self, group: &Group, now: Instant) -> Vec<LimitHint> {
        let seen = self.seen.get(group).into_iter().flatten();
        let known = seen.map(|(backend, seen)| LimitHint {
            backend: backend.clone(),
            backend_incarnation: seen.incarnation,
            limit: seen.limit,
            age_ms: seen.age(now).as_millis() as u64,
        });
        known.collect()
    }

    fn running(&self, holding: &Holding, now: Instant) -> Running {
        let Holding { permit, ask, ends, output } = holding;
        Running {
            id: permit.id,
            backend: permit.backend.clone(),
            backend_incarnation: permit.backend_incarnation,
            limit: permit.limit,
            class: ask.class.clone(),
            workspace: ask.workspace.clone(),
            home: self.me.host.clone(),
            home_incarnation: self.me.incarnation,
            remaining_ms: ends.saturating_duration_since(now).as_millis() as u64,
            prompt_tokens: ask.prompt_tokens,
            output_tokens: *output,
            suspect: ask.solo,
        }
    }
}

impl Seen {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}
