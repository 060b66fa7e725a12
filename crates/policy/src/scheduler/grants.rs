//! The permits that a scheduler counts.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use hyssop_document::{
    collections::Map,
    name,
    number::{Incarnation, Tokens},
};

use crate::{
    coldstart::Epoch,
    permit::Id,
    queue::{lane, line},
};

/// A permit that is counted.
#[derive(Debug, Clone)]
pub(super) struct Grant {
    pub(super) backend: name::Backend,
    pub(super) class: Option<line::Key>,
    pub(super) workspace: Option<lane::Key>,
    pub(super) share: u32,
    pub(super) home: name::Host,
    pub(super) home_incarnation: Incarnation,
    pub(super) granted: Instant,
    pub(super) latest_end: Instant,
    /// The cold start in which it was granted or adopted, if its backend server is known.
    pub(super) epoch: Option<Epoch>,
    /// Whether at least half of the backend server's limit was in use.
    pub(super) loaded: bool,
    /// The time for which it waited, unless it had missed its target before the grant.
    pub(super) waited: Option<Duration>,
    pub(super) solo: bool,
    pub(super) prompt: Tokens,
    /// The tokens of prompt and answer that were counted against the workspace.
    pub(super) cost: u64,
    /// The tokens of the answer that have arrived, and when.
    pub(super) output: Option<(Tokens, Instant)>,
}

impl Grant {
    /// The tokens of prompt and answer that are there.
    pub(super) fn tokens(&self) -> u64 {
        self.prompt.0 + self.output.map_or(0, |(tokens, _)| tokens.0)
    }

    pub(super) fn held(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.granted)
    }
}

/// The permits that a scheduler counts, in the order of their latest ends.
#[derive(Debug, Default)]
pub(super) struct Grants {
    by_id: Map<Id, Grant>,
    by_end: BTreeSet<(Instant, Id)>,
}

impl Grants {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn contains(&self, id: Id) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(super) fn get_mut(&mut self, id: Id) -> Option<&mut Grant> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Id, &Grant)> {
        self.by_id.iter().map(|(id, grant)| (*id, grant))
    }

    pub(super) fn insert(&mut self, id: Id, grant: Grant) {
        self.by_end.insert((grant.latest_end, id));
        self.by_id.insert(id, grant);
    }

    pub(super) fn remove(&mut self, id: Id) -> Option<Grant> {
        let grant = self.by_id.remove(&id)?;
        self.by_end.remove(&(grant.latest_end, id));
        Some(grant)
    }

    /// A permit whose latest end has passed.
    pub(super) fn expired(&self, now: Instant) -> Option<Id> {
        self.by_end.first().filter(|(end, _)| *end <= now).map(|(_, id)| *id)
    }

    pub(super) fn next_end(&self) -> Option<Instant> {
        self.by_end.first().map(|(end, _)| *end)
    }
}
