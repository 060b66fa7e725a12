//! The permits in use of a scheduler.

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
    queue::{class_queue, workspace_queue},
};

/// A permit in use.
#[derive(Debug, Clone)]
pub(super) struct Grant {
    pub(super) backend: name::Backend,
    pub(super) class: Option<class_queue::Key>,
    pub(super) workspace: Option<workspace_queue::Key>,
    pub(super) share: u32,
    pub(super) home: name::Host,
    pub(super) home_incarnation: Incarnation,
    pub(super) granted_at: Instant,
    pub(super) latest_end: Instant,
    /// The cold start in which the permit was granted or adopted. `None` for a backend server that
    /// is not in the group.
    pub(super) epoch: Option<Epoch>,
    /// Whether at least half of the scheduler's slots at the backend server were in use at the
    /// grant.
    pub(super) loaded: bool,
    /// The wait before the grant. `None` if the target was missed before the grant.
    pub(super) waited_in_time: Option<Duration>,
    pub(super) suspect: bool,
    pub(super) prompt_tokens: Tokens,
    /// The tokens of prompt and response that were charged to the workspace.
    pub(super) cost_tokens: u64,
    /// The number of output tokens received, with the time of the last update.
    pub(super) last_progress: Option<(Tokens, Instant)>,
}

impl Grant {
    /// The tokens of the prompt and of the received output.
    pub(super) fn current_tokens(&self) -> u64 {
        self.prompt_tokens.0 + self.last_progress.map_or(0, |(tokens, _)| tokens.0)
    }

    pub(super) fn held_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.granted_at)
    }
}

/// All permits in use, ordered by their latest ends.
#[derive(Debug, Default)]
pub(super) struct Grants {
    by_id: Map<Id, Grant>,
    by_latest_end: BTreeSet<(Instant, Id)>,
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
        self.by_latest_end.insert((grant.latest_end, id));
        self.by_id.insert(id, grant);
    }

    pub(super) fn remove(&mut self, id: Id) -> Option<Grant> {
        let grant = self.by_id.remove(&id)?;
        self.by_latest_end.remove(&(grant.latest_end, id));
        Some(grant)
    }

    /// A permit whose latest end has passed.
    pub(super) fn expired(&self, now: Instant) -> Option<Id> {
        self.by_latest_end.first().filter(|(end, _)| *end <= now).map(|(_, id)| *id)
    }

    pub(super) fn next_latest_end(&self) -> Option<Instant> {
        self.by_latest_end.first().map(|(end, _)| *end)
    }
}
