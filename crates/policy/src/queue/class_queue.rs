//! The waiting requests of one class.

use std::collections::BTreeSet;

use hyssop_document::{collections::Map, number::Tier};

use super::{
    Item,
    treap::{self, Treap},
    workspace_queue::{self, WorkspaceQueue},
};
use crate::entry::Ticket;

/// The key of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub usize);

/// The waiting requests of one class, with a workspace_queue for each workspace.
///
/// Each workspace_queue has a counter of tokens served for its share. The workspace_queue with the lowest counter goes
/// next, so all workspace_queues that wait are served in proportion to their shares. A workspace_queue that starts to wait
/// after a pause does not get what it missed: its counter is raised to the class_queue's clock, which is
/// the counter of the workspace_queue served last.
#[derive(Debug, Clone)]
pub struct ClassQueue {
    tier: Tier,
    workspace_queues: Map<workspace_queue::Key, WorkspaceQueue>,
    by_served: BTreeSet<(u64, workspace_queue::Key)>,
    by_backlog: BTreeSet<(u64, workspace_queue::Key)>,
    treap: Treap,
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
            treap: Treap::default(),
            active_shares: 0,
            virtual_time: 0,
        }
    }

    /// The tier.
    pub fn tier(&self) -> Tier {
        self.tier
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.treap.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.treap.is_empty()
    }

    /// The work of all entries, in milliseconds.
    pub fn work_ms(&self) -> u64 {
        self.treap.work_ms()
    }

    /// The number of entries that count against the bound of the queue. The first has a place of its
    /// own.
    pub fn unreserved(&self) -> usize {
        self.len().saturating_sub(1)
    }

    pub(super) fn set_tier(&mut self, tier: Tier) {
        self.tier = tier;
    }

    pub(super) fn insert(&mut self, item: &Item) {
        self.remove_from_order(item.workspace);
        let virtual_time = self.virtual_time;
        let workspace_queue = self.workspace_queues.entry(item.workspace).or_default();
        if workspace_queue.is_empty() {
            workspace_queue.served = workspace_queue.served.max(virtual_time);
        }
        workspace_queue.insert(item);
        self.treap.insert(item);
        self.insert_into_order(item.workspace);
    }

    pub(super) fn remove(&mut self, item: &Item) {
        self.remove_from_order(item.workspace);
        let workspace_queue = self
            .workspace_queues
            .get_mut(&item.workspace)
            .expect("an entry's workspace_queue exists");
        workspace_queue.remove(item);
        self.treap.remove(item);
        self.insert_into_order(item.workspace);
    }

    pub(super) fn charge(&mut self, workspace: workspace_queue::Key, share: u32, tokens: i64) {
        self.remove_from_order(workspace);
        let virtual_time = self.virtual_time;
        let workspace_queue = self.workspace_queues.entry(workspace).or_default();
        workspace_queue.share = share;
        let weighted = workspace_queue::weighted(tokens.unsigned_abs(), share);
        if tokens >= 0 {
            self.virtual_time = virtual_time.max(workspace_queue.served);
            workspace_queue.served =
                workspace_queue.served.max(virtual_time).saturating_add(weighted);
        } else {
            workspace_queue.served = workspace_queue.served.saturating_sub(weighted);
        }
        self.insert_into_order(workspace);
    }

    pub(super) fn head(&self) -> Option<(treap::Key, Ticket)> {
        let (_, key) = self.by_served.first()?;
        self.workspace_queues[key].head()
    }

    /// The size of the largest workspace_queue.
    pub(super) fn max_backlog(&self) -> u64 {
        self.by_backlog.last().map_or(0, |(backlog, _)| *backlog)
    }

    pub(super) fn newest_of_max_backlog(&self) -> Option<Ticket> {
        let (_, key) = self.by_backlog.last()?;
        self.workspace_queues[key].newest()
    }

    /// The work of the class_queue that is due before `item`.
    pub(super) fn work_ms_before(&self, item: &Item) -> u64 {
        self.treap.work_ms_before(treap::key(item))
    }

    /// The work of the class_queue that goes before `item` when all workspace_queues are served by their shares.
    pub fn fair_work_ms_before(&self, item: &Item) -> u64 {
        let workspace_queue = self.workspace_queues.get(&item.workspace);
        let own_ms =
            workspace_queue.map_or(0, |workspace_queue| workspace_queue.work_ms_before(item));
        let waiting = workspace_queue.filter(|workspace_queue| !workspace_queue.is_empty());
        let others_ms = self.work_ms() - waiting.map_or(0, WorkspaceQueue::work_ms);
        let other_shares = self.active_shares
            - waiting.map_or(0, |workspace_queue| u64::from(workspace_queue.share));
        let matched_ms = (own_ms + item.work_ms) * other_shares / u64::from(item.share.max(1));
        own_ms + others_ms.min(matched_ms)
    }

    fn remove_from_order(&mut self, key: workspace_queue::Key) {
        let Some(workspace_queue) =
            self.workspace_queues.get(&key).filter(|workspace_queue| !workspace_queue.is_empty())
        else {
            return;
        };
        self.by_served.remove(&(workspace_queue.served, key));
        self.by_backlog.remove(&(workspace_queue.backlog(), key));
        self.active_shares -= u64::from(workspace_queue.share);
    }

    fn insert_into_order(&mut self, key: workspace_queue::Key) {
        let workspace_queue = &self.workspace_queues[&key];
        if !workspace_queue.is_empty() {
            self.by_served.insert((workspace_queue.served, key));
            self.by_backlog.insert((workspace_queue.backlog(), key));
            self.active_shares += u64::from(workspace_queue.share);
        } else if workspace_queue.served <= self.virtual_time {
            // A workspace_queue that starts again would be raised to the clock anyway.
            self.workspace_queues.remove(&key);
        }
    }
}
