//! The queue of a group: tiers, classes, workspaces, deadlines.
//!
//! A queue has a [`class_queue::ClassQueue`] for each class, and a class_queue has a [`workspace_queue::WorkspaceQueue`] for each workspace.
//! Every operation costs `O(log n)` in the number of entries and `O(k)` in the number of classes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use hyssop_document::{collections::Map, number::Tier};

use crate::entry::Ticket;

pub mod class_queue;
mod treap;
pub mod workspace_queue;

/// What the queue needs to know about a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The identity.
    pub ticket: Ticket,
    /// The class.
    pub class: class_queue::Key,
    /// The workspace.
    pub workspace: workspace_queue::Key,
    /// The weight of the workspace.
    pub share: u32,
    /// The time of the arrival.
    pub arrived: Instant,
    /// The time at which the whole answer is due.
    pub deadline: Instant,
    /// The last time at which a start makes sense.
    pub latest_start: Instant,
    /// The last time at which a start meets the class's target for the first token.
    pub target_start: Instant,
    /// [`Item::latest_start`] once the target is missed, with more time for the answer.
    pub deferred_latest_start: Instant,
    /// Whether the target was missed while the request waited.
    pub deferred: bool,
    /// The estimated tokens of prompt and answer, for the fair share.
    pub cost_tokens: u64,
    /// The estimated time at a backend server, in milliseconds.
    pub work_ms: u64,
    /// The place in the order of arrival. [`Queue::push`] sets it. Before, the highest number stands
    /// for behind all others.
    pub sequence: u64,
}

/// The waiting requests of a group.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    limit: usize,
    items: Map<Ticket, Item>,
    class_queues: Vec<class_queue::ClassQueue>,
    by_sequence: BTreeMap<u64, Ticket>,
    by_latest_start: BTreeSet<(Instant, Ticket)>,
    by_target_start: BTreeSet<(Instant, Ticket)>,
    unreserved: usize,
    next_sequence: u64,
}

impl Queue {
    /// Makes an empty queue. `bound` entries fit, beside the one place that each class has of its
    /// own.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Changes the bound. [`Queue::overflow`] names the entries that no longer fit.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds a class and returns its key.
    pub fn add_class(&mut self, tier: Tier) -> class_queue::Key {
        self.class_queues.push(class_queue::ClassQueue::new(tier));
        class_queue::Key(self.class_queues.len() - 1)
    }

    /// Changes the tier of a class.
    pub fn set_tier(&mut self, class: class_queue::Key, tier: Tier) {
        self.class_queues[class.0].set_tier(tier);
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The class_queue of a class.
    pub fn class_queue(&self, class: class_queue::Key) -> &class_queue::ClassQueue {
        &self.class_queues[class.0]
    }

    /// All class_queues with their keys.
    pub fn class_queues(
        &self,
    ) -> impl Iterator<Item = (class_queue::Key, &class_queue::ClassQueue)> {
        self.class_queues
            .iter()
            .enumerate()
            .map(|(index, class_queue)| (class_queue::Key(index), class_queue))
    }

    /// The entry of a ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Item> {
        self.items.get(&ticket)
    }

    /// Adds an entry at the end of the order of arrival. An entry of the same ticket is replaced.
    pub fn push(&mut self, mut item: Item) {
        self.remove(item.ticket);
        item.sequence = self.next_sequence;
        self.next_sequence += 1;
        self.restore(item);
    }

    /// Puts an entry that [`Queue::remove`] returned back into its old place.
    pub fn restore(&mut self, item: Item) {
        let class_queue = &mut self.class_queues[item.class.0];
        self.unreserved -= class_queue.unreserved();
        class_queue.insert(&item);
        self.unreserved += class_queue.unreserved();
        self.by_sequence.insert(item.sequence, item.ticket);
        self.by_latest_start.insert((item.latest_start, item.ticket));
        if !item.deferred {
            self.by_target_start.insert((item.target_start, item.ticket));
        }
        self.items.insert(item.ticket, item);
    }

    /// Puts the entries that can no longer meet their targets behind the others of their class and
    /// tier. So under overload the slots go to those that can, and not to each one just too late.
    pub fn defer(&mut self, now: Instant) {
        while let Some(&(start, ticket)) = self.by_target_start.first() {
            if start > now {
                return;
            }
            let mut item = self.remove(ticket).expect("an entry with a target waits");
            item.deferred = true;
            item.latest_start = item.latest_start.min(item.deferred_latest_start);
            self.restore(item);
        }
    }

    /// Removes an entry that does not run.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let item = self.items.remove(&ticket)?;
        let class_queue = &mut self.class_queues[item.class.0];
        self.unreserved -= class_queue.unreserved();
        class_queue.remove(&item);
        self.unreserved += class_queue.unreserved();
        self.by_sequence.remove(&item.sequence);
        self.by_latest_start.remove(&(item.latest_start, item.ticket));
        self.by_target_start.remove(&(item.target_start, item.ticket));
        Some(item)
    }

    /// Removes an entry that runs, and counts its cost against its workspace.
    pub fn dequeue(&mut self, ticket: Ticket) -> Option<Item> {
        let item = self.remove(ticket)?;
        self.charge(item.class, item.workspace, item.share, item.cost_tokens as i64);
        Some(item)
    }

    /// Counts tokens against a workspace, or for it if negative, once an estimate proves wrong.
    pub fn charge(
        &mut self,
        class: class_queue::Key,
        workspace: workspace_queue::Key,
        share: u32,
        tokens: i64,
    ) {
        self.class_queues[class.0].charge(workspace, share, tokens);
    }

    /// The entry that goes next.
    ///
    /// The class with the lowest `rank` goes first, which is how it stands to its floor. Then the
    /// higher tier goes first, then what can still meet its target, then the earlier deadline. Inside
    /// a class the workspace that has been served the least for its share goes first, and inside a
    /// workspace what can still meet its target, then the earliest deadline.
    pub fn next<R: Ord + Copy>(&self, rank: impl Fn(class_queue::Key) -> R) -> Option<Ticket> {
        self.class_queues()
            .filter_map(|(key, class_queue)| {
                let (position, ticket) = class_queue.head()?;
                Some(((rank(key), class_queue.tier(), position), ticket))
            })
            .min_by_key(|(priority, _)| *priority)
            .map(|(_, ticket)| ticket)
    }

    /// The entry that must go because the queue is over its bound.
    ///
    /// The first entry of each class has a place of its own, so only classes with further entries
    /// count. Of those the lowest tier loses the newest entry of its largest workspace.
    pub fn next_to_shed(&self) -> Option<Ticket> {
        if self.unreserved <= self.limit {
            return None;
        }
        self.class_queues
            .iter()
            .filter(|class_queue| class_queue.unreserved() > 0)
            .max_by_key(|class_queue| (class_queue.tier(), class_queue.max_backlog()))
            .and_then(class_queue::ClassQueue::newest_of_max_backlog)
    }

    /// An entry whose latest start has passed.
    pub fn expired(&self, now: Instant) -> Option<Ticket> {
        self.by_latest_start.first().filter(|(start, _)| *start <= now).map(|(_, ticket)| *ticket)
    }

    /// The earliest of all latest starts.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.by_latest_start.first().map(|(start, _)| *start)
    }

    /// Up to `count` entries that arrived after `sequence`, in the order of arrival.
    pub fn entries_after(&self, sequence: u64, count: usize) -> impl Iterator<Item = &Item> {
        self.by_sequence
            .range((std::ops::Bound::Excluded(sequence), std::ops::Bound::Unbounded))
            .take(count)
            .map(|(_, ticket)| &self.items[ticket])
    }

    /// All entries, in no order.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// The work in milliseconds that goes before `item`, from the class_queues of its tier and of higher
    /// tiers.
    ///
    /// Lower tiers do not count: an entry is never refused for work that it would overtake.
    pub fn work_ms_before(&self, item: &Item) -> u64 {
        let own = &self.class_queues[item.class.0];
        let others = self
            .class_queues()
            .filter(|(key, _)| *key != item.class)
            .map(|(_, class_queue)| class_queue);
        let before = others.map(|class_queue| match class_queue.tier().cmp(&own.tier()) {
            std::cmp::Ordering::Less => class_queue.work_ms(),
            std::cmp::Ordering::Equal => class_queue.work_ms_before(item),
            std::cmp::Ordering::Greater => 0,
        });
        before.sum::<u64>() + own.fair_work_ms_before(item)
    }
}
