//! The waiting requests of one workspace in one class.

use std::collections::BTreeMap;

use super::{
    Item,
    ranked::{self, Ranked},
};
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
    ranked: Ranked,
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
        self.ranked.work_ms()
    }

    pub(super) fn insert(&mut self, item: &Item) {
        self.share = item.share;
        self.tokens += item.cost;
        self.ranked.insert(item);
        self.by_age.insert(item.sequence, item.ticket);
    }

    pub(super) fn remove(&mut self, item: &Item) {
        self.tokens -= item.cost;
        self.ranked.remove(item);
        self.by_age.remove(&item.sequence);
    }

    pub(super) fn head(&self) -> Option<(ranked::Key, Ticket)> {
        self.ranked.first()
    }

    pub(super) fn newest(&self) -> Option<Ticket> {
        self.by_age.last_key_value().map(|(_, ticket)| *ticket)
    }

    pub(super) fn work_before(&self, item: &Item) -> u64 {
        self.ranked.work_before(ranked::key(item))
    }
}
