//! The waiting requests of one workspace in one class.

use std::collections::BTreeMap;

use super::{
    Item,
    treap::{self, Treap},
};
use crate::entry::Ticket;

/// The number of a workspace, the same in all classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

/// The fixed-point scale of served and waiting tokens per share.
const UNITS_PER_TOKEN: u64 = 1024;

/// `tokens` per unit of `share`, in fixed point.
pub(super) fn tokens_per_share(tokens: u64, share: u32) -> u64 {
    tokens.saturating_mul(UNITS_PER_TOKEN) / u64::from(share.max(1))
}

/// The waiting requests of one workspace in one class.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkspaceQueue {
    pub(super) share: u32,
    /// The served tokens per share, in fixed point.
    pub(super) served: u64,
    waiting_tokens: u64,
    by_deadline: Treap,
    by_sequence: BTreeMap<u64, Ticket>,
}

impl WorkspaceQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.by_sequence.is_empty()
    }

    /// The waiting tokens per share, in fixed point.
    pub(super) fn backlog(&self) -> u64 {
        tokens_per_share(self.waiting_tokens, self.share)
    }

    pub(super) fn work_ms(&self) -> u64 {
        self.by_deadline.work_ms()
    }

    pub(super) fn insert(&mut self, item: &Item) {
        self.share = item.share;
        self.waiting_tokens += item.cost_tokens;
        self.by_deadline.insert(item);
        self.by_sequence.insert(item.sequence, item.ticket);
    }

    pub(super) fn remove(&mut self, item: &Item) {
        self.waiting_tokens -= item.cost_tokens;
        self.by_deadline.remove(item);
        self.by_sequence.remove(&item.sequence);
    }

    pub(super) fn head(&self) -> Option<(treap::Key, Ticket)> {
        self.by_deadline.first()
    }

    pub(super) fn newest(&self) -> Option<Ticket> {
        self.by_sequence.last_key_value().map(|(_, ticket)| *ticket)
    }

    pub(super) fn work_ms_before(&self, item: &Item) -> u64 {
        self.by_deadline.work_ms_before(treap::key(item))
    }
}
