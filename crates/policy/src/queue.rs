//! The queue of a group: tiers, classes, workspaces, deadlines.
//!
//! A queue has a [`line::Line`] for each class, and a line has a [`lane::Lane`] for each workspace.
//! Every operation costs `O(log n)` in the number of entries and `O(k)` in the number of classes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use hyssop_document::{collections::Map, number::Tier};

use crate::entry::Ticket;

pub mod lane;
pub mod line;
mod ranked;

/// What the queue needs to know about a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The identity.
    pub ticket: Ticket,
    /// The class.
    pub class: line::Key,
    /// The workspace.
    pub workspace: lane::Key,
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
    pub deferred_start: Instant,
    /// Whether the target was missed while the request waited.
    pub deferred: bool,
    /// The estimated tokens of prompt and answer, for the fair share.
    pub cost: u64,
    /// The estimated time at a backend server, in milliseconds.
    pub work_ms: u64,
    /// The place in the order of arrival. [`Queue::push`] sets it. Before, the highest number stands
    /// for behind all others.
    pub sequence: u64,
}

/// The waiting requests of a group.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    bound: usize,
    items: Map<Ticket, Item>,
    lines: Vec<line::Line>,
    by_age: BTreeMap<u64, Ticket>,
    by_start: BTreeSet<(Instant, Ticket)>,
    by_target: BTreeSet<(Instant, Ticket)>,
    charged: usize,
    next_sequence: u64,
}

impl Queue {
    /// Makes an empty queue. `bound` entries fit, beside the one place that each class has of its
    /// own.
    pub fn new(bound: usize) -> Self {
        Self { bound, ..Self::default() }
    }

    /// Changes the bound. [`Queue::overflow`] names the entries that no longer fit.
    pub fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Adds a class and returns its key.
    pub fn add_class(&mut self, tier: Tier) -> line::Key {
        self.lines.push(line::Line::new(tier));
        line::Key(self.lines.len() - 1)
    }

    /// Changes the tier of a class.
    pub fn set_tier(&mut self, class: line::Key, tier: Tier) {
        self.lines[class.0].set_tier(tier);
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The line of a class.
    pub fn line(&self, class: line::Key) -> &line::Line {
        &self.lines[class.0]
    }

    /// All lines with their keys.
    pub fn lines(&self) -> impl Iterator<Item = (line::Key, &line::Line)> {
        self.lines.iter().enumerate().map(|(index, line)| (line::Key(index), line))
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
        let line = &mut self.lines[item.class.0];
        self.charged -= line.charged();
        line.insert(&item);
        self.charged += line.charged();
        self.by_age.insert(item.sequence, item.ticket);
        self.by_start.insert((item.latest_start, item.ticket));
        if !item.deferred {
            self.by_target.insert((item.target_start, item.ticket));
        }
        self.items.insert(item.ticket, item);
    }

    /// Puts the entries that can no longer meet their targets behind the others of their class and
    /// tier. So under overload the slots go to those that can, and not to each one just too late.
    pub fn defer(&mut self, now: Instant) {
        while let Some(&(start, ticket)) = self.by_target.first() {
            if start > now {
                return;
            }
            let mut item = self.remove(ticket).expect("an entry with a target waits");
            item.deferred = true;
            item.latest_start = item.latest_start.min(item.deferred_start);
            self.restore(item);
        }
    }

    /// Removes an entry that does not run.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let item = self.items.remove(&ticket)?;
        let line = &mut self.lines[item.class.0];
        self.charged -= line.charged();
        line.remove(&item);
        self.charged += line.charged();
        self.by_age.remove(&item.sequence);
        self.by_start.remove(&(item.latest_start, item.ticket));
        self.by_target.remove(&(item.target_start, item.ticket));
        Some(item)
    }

    /// Removes an entry that runs, and counts its cost against its workspace.
    pub fn take(&mut self, ticket: Ticket) -> Option<Item> {
        let item = self.remove(ticket)?;
        self.charge(item.class, item.workspace, item.share, item.cost as i64);
        Some(item)
    }

    /// Counts tokens against a workspace, or for it if negative, once an estimate proves wrong.
    pub fn charge(&mut self, class: line::Key, workspace: lane::Key, share: u32, tokens: i64) {
        self.lines[class.0].charge(workspace, share, tokens);
    }

    /// The entry that goes next.
    ///
    /// The class with the lowest `rank` goes first, which is how it stands to its floor. Then the
    /// higher tier goes first, then what can still meet its target, then the earlier deadline. Inside
    /// a class the workspace that has been served the least for its share goes first, and inside a
    /// workspace what can still meet its target, then the earliest deadline.
    pub fn next<R: Ord + Copy>(&self, rank: impl Fn(line::Key) -> R) -> Option<Ticket> {
        self.lines()
            .filter_map(|(key, line)| {
                let (place, ticket) = line.head()?;
                Some(((rank(key), line.tier(), place), ticket))
            })
            .min_by_key(|(order, _)| *order)
            .map(|(_, ticket)| ticket)
    }

    /// The entry that must go because the queue is over its bound.
    ///
    /// The first entry of each class has a place of its own, so only classes with further entries
    /// count. Of those the lowest tier loses the newest entry of its largest workspace.
    pub fn overflow(&self) -> Option<Ticket> {
        if self.charged <= self.bound {
            return None;
        }
        self.lines
            .iter()
            .filter(|line| line.charged() > 0)
            .max_by_key(|line| (line.tier(), line.largest()))
            .and_then(line::Line::newest_of_largest)
    }

    /// An entry whose latest start has passed.
    pub fn expired(&self, now: Instant) -> Option<Ticket> {
        self.by_start.first().filter(|(start, _)| *start <= now).map(|(_, ticket)| *ticket)
    }

    /// The earliest of all latest starts.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.by_start.first().map(|(start, _)| *start)
    }

    /// Up to `count` entries that arrived after `sequence`, in the order of arrival.
    pub fn after(&self, sequence: u64, count: usize) -> impl Iterator<Item = &Item> {
        self.by_age
            .range((std::ops::Bound::Excluded(sequence), std::ops::Bound::Unbounded))
            .take(count)
            .map(|(_, ticket)| &self.items[ticket])
    }

    /// All entries, in no order.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// The work in milliseconds that goes before `item`, from the lines of its tier and of higher
    /// tiers.
    ///
    /// Lower tiers do not count: an entry is never refused for work that it would overtake.
    pub fn work_before(&self, item: &Item) -> u64 {
        let own = &self.lines[item.class.0];
        let others = self.lines().filter(|(key, _)| *key != item.class).map(|(_, line)| line);
        let before = others.map(|line| match line.tier().cmp(&own.tier()) {
            std::cmp::Ordering::Less => line.work_ms(),
            std::cmp::Ordering::Equal => line.work_before(item),
            std::cmp::Ordering::Greater => 0,
        });
        before.sum::<u64>() + own.fair_work_before(item)
    }
}
