//! The request queue of a group, ordered by tier, class, workspace and deadline.
//!
//! A queue has a [`class_queue::ClassQueue`] for each class, which has a queue for each workspace.
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

/// The properties of a waiting request that determine its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Unique among the entries of the queue.
    pub ticket: Ticket,
    /// The key that [`Queue::add_class`] returned.
    pub class: class_queue::Key,
    /// The key of the workspace, the same in all classes.
    pub workspace: workspace_queue::Key,
    /// The weight of the workspace in the fair share, counted as 1 if it is 0.
    pub share: u32,
    /// When the request arrived.
    pub arrived: Instant,
    /// The time at which the complete response is due.
    pub deadline: Instant,
    /// The latest start at which the response is expected before the deadline.
    pub latest_start: Instant,
    /// The latest start that meets the class's target for the first token.
    pub target_start: Instant,
    /// The latest start once the target is missed. It leaves more time for the response.
    pub deferred_latest_start: Instant,
    /// Whether the target was missed while the request waited.
    pub deferred: bool,
    /// The estimated tokens of prompt and response, charged to the workspace.
    pub cost_tokens: u64,
    /// The estimated time at a backend server, in milliseconds.
    pub work_ms: u64,
    /// The position in the order of arrival, set by [`Queue::push`]. An item that is not queued has
    /// the highest number, so that it counts as behind all others.
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
    /// Creates an empty queue for `limit` entries in addition to one reserved place for each class.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Changes the limit. [`Queue::next_to_shed`] returns the entries that no longer fit.
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

    /// The queue of a class.
    pub fn class_queue(&self, class: class_queue::Key) -> &class_queue::ClassQueue {
        &self.class_queues[class.0]
    }

    /// The queues of all classes with their keys.
    pub fn class_queues(
        &self,
    ) -> impl Iterator<Item = (class_queue::Key, &class_queue::ClassQueue)> {
        self.class_queues.iter().enumerate().map(|(index, queue)| (class_queue::Key(index), queue))
    }

    /// The entry with this ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Item> {
        self.items.get(&ticket)
    }

    /// Appends an entry in the order of arrival. Replaces an entry with the same ticket.
    pub fn push(&mut self, mut item: Item) {
        self.remove(item.ticket);
        item.sequence = self.next_sequence;
        self.next_sequence += 1;
        self.restore(item);
    }

    /// Reinserts an entry that [`Queue::remove`] returned, at its earlier position.
    pub fn restore(&mut self, item: Item) {
        let queue = &mut self.class_queues[item.class.0];
        self.unreserved -= queue.unreserved();
        queue.insert(&item);
        self.unreserved += queue.unreserved();
        self.by_sequence.insert(item.sequence, item.ticket);
        self.by_latest_start.insert((item.latest_start, item.ticket));
        if !item.deferred {
            self.by_target_start.insert((item.target_start, item.ticket));
        }
        self.items.insert(item.ticket, item);
    }

    /// Moves entries that can no longer meet their targets behind the others of their class and
    /// tier. Under overload, slots then go to requests that can still meet their targets instead of
    /// to each request just after it missed its own.
    pub fn defer(&mut self, now: Instant) {
        while let Some(&(start, ticket)) = self.by_target_start.first() {
            if start > now {
                return;
            }
            let mut item = self.remove(ticket).expect("an entry with a target is queued");
            item.deferred = true;
            item.latest_start = item.latest_start.min(item.deferred_latest_start);
            self.restore(item);
        }
    }

    /// Removes an entry without charging its workspace.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let item = self.items.remove(&ticket)?;
        let queue = &mut self.class_queues[item.class.0];
        self.unreserved -= queue.unreserved();
        queue.remove(&item);
        self.unreserved += queue.unreserved();
        self.by_sequence.remove(&item.sequence);
        self.by_latest_start.remove(&(item.latest_start, item.ticket));
        self.by_target_start.remove(&(item.target_start, item.ticket));
        Some(item)
    }

    /// Removes an entry that is granted, and charges its cost to its workspace.
    pub fn dequeue(&mut self, ticket: Ticket) -> Option<Item> {
        let item = self.remove(ticket)?;
        self.charge(item.class, item.workspace, item.share, item.cost_tokens as i64);
        Some(item)
    }

    /// Charges tokens to a workspace once an estimate proves wrong. A negative number is a refund.
    pub fn charge(
        &mut self,
        class: class_queue::Key,
        workspace: workspace_queue::Key,
        share: u32,
        tokens: i64,
    ) {
        self.class_queues[class.0].charge(workspace, share, tokens);
    }

    /// The entry to grant next.
    ///
    /// The class with the lowest `rank` goes first; the rank is the class's floor level. Ties are
    /// resolved by the higher tier, then by requests that can still meet their targets, then by the
    /// earlier deadline. Within a class, the workspace with the fewest served tokens per share goes
    /// first, and within a workspace the requests that can still meet their targets, then the
    /// earliest deadline.
    pub fn next<R: Ord + Copy>(&self, rank: impl Fn(class_queue::Key) -> R) -> Option<Ticket> {
        self.class_queues()
            .filter_map(|(key, queue)| {
                let (position, ticket) = queue.head()?;
                Some(((rank(key), queue.tier(), position), ticket))
            })
            .min_by_key(|(priority, _)| *priority)
            .map(|(_, ticket)| ticket)
    }

    /// The entry to remove because the queue is over its limit.
    ///
    /// The first entry of each class has a reserved place, so only classes with more entries count.
    /// Of these, the lowest tier loses the newest entry of the workspace with the largest backlog.
    pub fn next_to_shed(&self) -> Option<Ticket> {
        if self.unreserved <= self.limit {
            return None;
        }
        self.class_queues
            .iter()
            .filter(|queue| queue.unreserved() > 0)
            .max_by_key(|queue| (queue.tier(), queue.max_backlog()))
            .and_then(class_queue::ClassQueue::newest_of_max_backlog)
    }

    /// An entry whose latest start has passed.
    pub fn expired(&self, now: Instant) -> Option<Ticket> {
        self.by_latest_start.first().filter(|(start, _)| *start <= now).map(|(_, ticket)| *ticket)
    }

    /// The earliest latest start of all entries.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.by_latest_start.first().map(|(start, _)| *start)
    }

    /// Up to `count` entries that arrived after `sequence`, in order of arrival.
    pub fn entries_after(&self, sequence: u64, count: usize) -> impl Iterator<Item = &Item> {
        self.by_sequence
            .range((std::ops::Bound::Excluded(sequence), std::ops::Bound::Unbounded))
            .take(count)
            .map(|(_, ticket)| &self.items[ticket])
    }

    /// All entries, in no particular order.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// The work in milliseconds that is served before `item`, counting its own and higher tiers.
    ///
    /// Lower tiers do not count: an entry is never refused for work that it would overtake.
    pub fn work_ms_before(&self, item: &Item) -> u64 {
        let own = &self.class_queues[item.class.0];
        let others =
            self.class_queues().filter(|(key, _)| *key != item.class).map(|(_, queue)| queue);
        let before = others.map(|queue| match queue.tier().cmp(&own.tier()) {
            std::cmp::Ordering::Less => queue.work_ms(),
            std::cmp::Ordering::Equal => queue.work_ms_before(item),
            std::cmp::Ordering::Greater => 0,
        });
        before.sum::<u64>() + own.fair_work_ms_before(item)
    }
}
