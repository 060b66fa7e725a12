//! The waiting requests of one class.

use std::collections::BTreeSet;

use hyssop_document::{collections::Map, number::Tier};

use super::{
    Item,
    lane::{self, Lane},
    ranked::{self, Ranked},
};
use crate::entry::Ticket;

/// The key of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub usize);

/// The waiting requests of one class, with a lane for each workspace.
///
/// Each lane has a counter of tokens served for its share. The lane with the lowest counter goes
/// next, so all lanes that wait are served in proportion to their shares. A lane that starts to wait
/// after a pause does not get what it missed: its counter is raised to the line's clock, which is
/// the counter of the lane served last.
#[derive(Debug, Clone)]
pub struct Line {
    tier: Tier,
    lanes: Map<lane::Key, Lane>,
    by_turn: BTreeSet<(u64, lane::Key)>,
    by_size: BTreeSet<(u64, lane::Key)>,
    ranked: Ranked,
    shares: u64,
    clock: u64,
}

impl Line {
    pub(super) fn new(tier: Tier) -> Self {
        Self {
            tier,
            lanes: Map::default(),
            by_turn: BTreeSet::new(),
            by_size: BTreeSet::new(),
            ranked: Ranked::default(),
            shares: 0,
            clock: 0,
        }
    }

    /// The tier.
    pub fn tier(&self) -> Tier {
        self.tier
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// The work of all entries, in milliseconds.
    pub fn work_ms(&self) -> u64 {
        self.ranked.work_ms()
    }

    /// The number of entries that count against the bound of the queue. The first has a place of its
    /// own.
    pub fn charged(&self) -> usize {
        self.len().saturating_sub(1)
    }

    pub(super) fn set_tier(&mut self, tier: Tier) {
        self.tier = tier;
    }

    pub(super) fn insert(&mut self, item: &Item) {
        self.unlist(item.workspace);
        let clock = self.clock;
        let lane = self.lanes.entry(item.workspace).or_default();
        if lane.is_empty() {
            lane.served = lane.served.max(clock);
        }
        lane.insert(item);
        self.ranked.insert(item);
        self.list(item.workspace);
    }

    pub(super) fn remove(&mut self, item: &Item) {
        self.unlist(item.workspace);
        let lane = self.lanes.get_mut(&item.workspace).expect("an entry's lane exists");
        lane.remove(item);
        self.ranked.remove(item);
        self.list(item.workspace);
    }

    pub(super) fn charge(&mut self, workspace: lane::Key, share: u32, tokens: i64) {
        self.unlist(workspace);
        let clock = self.clock;
        let lane = self.lanes.entry(workspace).or_default();
        lane.share = share;
        let parts = lane::weighted(tokens.unsigned_abs(), share);
        if tokens >= 0 {
            self.clock = clock.max(lane.served);
            lane.served = lane.served.max(clock).saturating_add(parts);
        } else {
            lane.served = lane.served.saturating_sub(parts);
        }
        self.list(workspace);
    }

    pub(super) fn head(&self) -> Option<(ranked::Key, Ticket)> {
        let (_, key) = self.by_turn.first()?;
        self.lanes[key].head()
    }

    /// The size of the largest lane.
    pub(super) fn largest(&self) -> u64 {
        self.by_size.last().map_or(0, |(size, _)| *size)
    }

    pub(super) fn newest_of_largest(&self) -> Option<Ticket> {
        let (_, key) = self.by_size.last()?;
        self.lanes[key].newest()
    }

    /// The work of the line that is due before `item`.
    pub(super) fn work_before(&self, item: &Item) -> u64 {
        self.ranked.work_before(ranked::key(item))
    }

    /// The work of the line that goes before `item` when all lanes are served by their shares.
    pub fn fair_work_before(&self, item: &Item) -> u64 {
        let lane = self.lanes.get(&item.workspace);
        let own = lane.map_or(0, |lane| lane.work_before(item));
        let waiting = lane.filter(|lane| !lane.is_empty());
        let others = self.work_ms() - waiting.map_or(0, Lane::work_ms);
        let other_shares = self.shares - waiting.map_or(0, |lane| u64::from(lane.share));
        let matched = (own + item.work_ms) * other_shares / u64::from(item.share.max(1));
        own + others.min(matched)
    }

    fn unlist(&mut self, key: lane::Key) {
        let Some(lane) = self.lanes.get(&key).filter(|lane| !lane.is_empty()) else { return };
        self.by_turn.remove(&(lane.served, key));
        self.by_size.remove(&(lane.size(), key));
        self.shares -= u64::from(lane.share);
    }

    fn list(&mut self, key: lane::Key) {
        let lane = &self.lanes[&key];
        if !lane.is_empty() {
            self.by_turn.insert((lane.served, key));
            self.by_size.insert((lane.size(), key));
            self.shares += u64::from(lane.share);
        } else if lane.served <= self.clock {
            // A lane that starts again would be raised to the clock anyway.
            self.lanes.remove(&key);
        }
    }
}
