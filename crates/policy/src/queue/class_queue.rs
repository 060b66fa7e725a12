//! The waiting requests of one class.

use std::collections::BTreeSet;

use hyssop_document::{collections::Map, number::Tier};

use super::{
    Item,
    treap::{self, Treap},
    workspace_queue::{self, WorkspaceQueue},
};
use crate::entry::Ticket;

/// The position of a class in its [`super::Queue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub usize);

/// The waiting requests of one class, with a queue for each workspace.
///
/// This is weighted fair queueing. Each workspace has a counter of served tokens per share, and the
/// waiting workspace with the lowest counter goes next, so all of them are served in proportion to
/// their shares. A workspace earns no credit while it is idle: when it starts to wait again, its
/// counter is raised to the virtual time, which is the counter of the workspace served last.
#[derive(Debug, Clone)]
pub struct ClassQueue {
    tier: Tier,
    workspace_queues: Map<workspace_queue::Key, WorkspaceQueue>,
    by_served: BTreeSet<(u64, workspace_queue::Key)>,
    by_backlog: BTreeSet<(u64, workspace_queue::Key)>,
    by_deadline: Treap,
    active_shares: u64,
    virtual_time: u64,
}

impl ClassQueue {
    pub(super) fn new(tier: Tier) -> Self {
        Self {
            tier,
            workspace_queues: Map::default(),
            by_served: BTreeSet::new(),
            by_backlog: BTreeSet::new(),
            by_deadline: Treap::default(),
            active_shares: 0,
            virtual_time: 0,
        }
    }

    /// The priority of the class, lowest number first.
    pub fn tier(&self) -> Tier {
        self.tier
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.by_deadline.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.by_deadline.is_empty()
    }

    /// The work of all entries, in milliseconds.
    pub fn work_ms(&self) -> u64 {
        self.by_deadline.work_ms()
    }

    /// The number of entries that count against the limit of the queue. The first entry has a
    /// reserved place.
    pub fn unreserved(&self) -> usize {
        self.len().saturating_sub(1)
    }

    pub(super) fn set_tier(&mut self, tier: Tier) {
        self.tier = tier;
    }

    pub(super) fn insert(&mut self, item: &Item) {
        self.remove_from_order(item.workspace);
        let virtual_time = self.virtual_time;
        let queue = self.workspace_queues.entry(item.workspace).or_default();
        if queue.is_empty() {
            queue.served = queue.served.max(virtual_time);
        }
        queue.insert(item);
        self.by_deadline.insert(item);
        self.insert_into_order(item.workspace);
    }

    pub(super) fn remove(&mut self, item: &Item) {
        self.remove_from_order(item.workspace);
        let queue = self
            .workspace_queues
            .get_mut(&item.workspace)
            .expect("a queued entry has a workspace queue");
        queue.remove(item);
        self.by_deadline.remove(item);
        self.insert_into_order(item.workspace);
    }

    pub(super) fn charge(&mut self, workspace: workspace_queue::Key, share: u32, tokens: i64) {
        self.remove_from_order(workspace);
        let virtual_time = self.virtual_time;
        let queue = self.workspace_queues.entry(workspace).or_default();
        queue.share = share;
        let weighted = workspace_queue::tokens_per_share(tokens.unsigned_abs(), share);
        if tokens >= 0 {
            self.virtual_time = virtual_time.max(queue.served);
            queue.served = queue.served.max(virtual_time).saturating_add(weighted);
        } else {
            queue.served = queue.served.saturating_sub(weighted);
        }
        self.insert_into_order(workspace);
    }

    pub(super) fn head(&self) -> Option<(treap::Key, Ticket)> {
        let (_, key) = self.by_served.first()?;
        self.workspace_queues[key].head()
    }

    /// The backlog of the workspace with the most waiting tokens per share.
    pub(super) fn max_backlog(&self) -> u64 {
        self.by_backlog.last().map_or(0, |(backlog, _)| *backlog)
    }

    pub(super) fn newest_of_max_backlog(&self) -> Option<Ticket> {
        let (_, key) = self.by_backlog.last()?;
        self.workspace_queues[key].newest()
    }

    /// The work in milliseconds that is due before `item`.
    pub(super) fn work_ms_before(&self, item: &Item) -> u64 {
        self.by_deadline.work_ms_before(treap::key(item))
    }

    /// The work in milliseconds that is served before `item` if all workspaces are served by share.
    pub fn fair_work_ms_before(&self, item: &Item) -> u64 {
        let queue = self.workspace_queues.get(&item.workspace);
        let own_ms = queue.map_or(0, |queue| queue.work_ms_before(item));
        let waiting = queue.filter(|queue| !queue.is_empty());
        let others_ms = self.work_ms() - waiting.map_or(0, WorkspaceQueue::work_ms);
        let other_shares = self.active_shares - waiting.map_or(0, |queue| u64::from(queue.share));
        let matched_ms = (own_ms + item.work_ms) * other_shares / u64::from(item.share.max(1));
        own_ms + others_ms.min(matched_ms)
    }

    fn remove_from_order(&mut self, key: workspace_queue::Key) {
        let Some(queue) = self.workspace_queues.get(&key).filter(|queue| !queue.is_empty()) else {
            return;
        };
        self.by_served.remove(&(queue.served, key));
        self.by_backlog.remove(&(queue.backlog(), key));
        self.active_shares -= u64::from(queue.share);
    }

    fn insert_into_order(&mut self, key: workspace_queue::Key) {
        let queue = &self.workspace_queues[&key];
        if !queue.is_empty() {
            self.by_served.insert((queue.served, key));
            self.by_backlog.insert((queue.backlog(), key));
            self.active_shares += u64::from(queue.share);
        } else if queue.served <= self.virtual_time {
            // A workspace that waits again would be raised to the virtual time anyway.
            self.workspace_queues.remove(&key);
        }
    }
}
