//! The waiting requests of one workspace in one class.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use super::Item;
use crate::entry::Ticket;

/// The key of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

/// Served and waiting tokens are counted in this part of a token for each unit of share.
const PARTS_PER_TOKEN: u64 = 1024;

/// `tokens` for each unit of `share`.
pub(super) fn weighted(tokens: u64, share: u32) -> u64 {
    tokens.saturating_mul(PARTS_PER_TOKEN) / u64::from(share.max(1))
}

/// The waiting requests of one workspace in one class.
#[derive(Debug, Clone, Default)]
pub(super) struct Lane {
    pub(super) share: u32,
    /// The tokens served for each unit of share.
    pub(super) served: u64,
    tokens: u64,
    work_ms: u64,
    by_deadline: BTreeSet<(Instant, u64, Ticket)>,
    by_age: BTreeMap<u64, Ticket>,
}

impl Lane {
    pub(super) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    /// The waiting tokens for each unit of share.
    pub(super) fn size(&self) -> u64 {
        weighted(self.tokens, self.share)
    }

    pub(super) fn work_ms(&self) -> u64 {
        self.work_ms
    }

    pub(super) fn insert(&mut self, item: &Item) {
        self.share = item.share;
        self.tokens += item.cost;
        self.work_ms += item.work_ms;
        self.by_deadline.insert((item.deadline, item.sequence, item.ticket));
        self.by_age.insert(item.sequence, item.ticket);
    }

    pub(super) fn remove(&mut self, item: &Item) {
        self.tokens -= item.cost;
        self.work_ms -= item.work_ms;
        self.by_deadline.remove(&(item.deadline, item.sequence, item.ticket));
        self.by_age.remove(&item.sequence);
    }

    pub(super) fn head(&self) -> Option<(Instant, Ticket)> {
        self.by_deadline.first().map(|(deadline, _, ticket)| (*deadline, *ticket))
    }

    pub(super) fn newest(&self) -> Option<Ticket> {
        self.by_age.last_key_value().map(|(_, ticket)| *ticket)
    }

    /// The part of the work that is due before `deadline`, with deadlines taken as evenly spread.
    pub(super) fn work_before(&self, deadline: Instant) -> u64 {
        let first = self.by_deadline.first().map(|(at, _, _)| *at);
        let last = self.by_deadline.last().map(|(at, _, _)| *at);
        part_before(self.work_ms, first, last, deadline)
    }
}

/// The part of `work_ms`, spread evenly from `first` to `last`, that lies before `deadline`.
pub(super) fn part_before(
    work_ms: u64,
    first: Option<Instant>,
    last: Option<Instant>,
    deadline: Instant,
) -> u64 {
    let (Some(first), Some(last)) = (first, last) else { return 0 };
    if deadline <= first {
        return 0;
    }
    if deadline > last {
        return work_ms;
    }
    let part = (deadline - first).as_secs_f64() / (last - first).as_secs_f64();
    (work_ms as f64 * part) as u64
}
