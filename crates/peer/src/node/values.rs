//! Adopts documents, orders and lists of hosts offered by the platform, operators and peers.

use bytes::Bytes;
use compact_str::CompactString;
use hyssop_document::{group, order};
use parking_lot::MutexGuard;

use super::{Node, Shared};
use crate::{
    current::{Outcome, Source},
    hosts::List,
    rank::Key,
};

impl Node {
    /// Offers a document; see [`crate::current::Store::offer_document`].
    pub fn offer_document(&self, bytes: Bytes, source: Source) -> Outcome {
        self.shared.offer_document(bytes, source)
    }

    /// Offers service orders; see [`crate::current::Store::offer_orders`].
    pub fn offer_orders(&self, state: order::State, source: &Source) -> Outcome {
        self.shared.offer_orders(state, source)
    }

    /// Offers a list of hosts. Returns whether it was adopted.
    ///
    /// # Errors
    ///
    /// Returns the reason why the list is invalid.
    pub fn set_list(&self, list: List) -> Result<bool, CompactString> {
        self.shared.set_list(list)
    }
}

impl Shared {
    pub(super) fn offer_document(&self, bytes: Bytes, source: Source) -> Outcome {
        let _guard = self.offer_lock.lock();
        let outcome = self.store.offer_document(bytes, source);
        if outcome == Outcome::Adopted {
            let current = self.store.load();
            let groups = current.document.as_ref().map(|document| {
                let groups = group::all(document.catalog.document());
                groups.into_iter().map(|(group, _)| Key::group(&group)).collect()
            });
            self.core.lock().set_keys(groups.unwrap_or_default());
            self.notify_change();
        }
        outcome
    }

    pub(super) fn offer_orders(&self, state: order::State, source: &Source) -> Outcome {
        let guard = self.offer_lock.lock();
        self.offer_orders_locked(state, source, &guard)
    }

    /// Applies an order to the orders in force if they have the revision that the order expects.
    ///
    /// The check and the change are atomic with respect to other offers.
    ///
    /// # Errors
    ///
    /// Returns the orders in force if they have another revision.
    pub(super) fn apply_order(&self, order: &order::Order) -> Result<order::State, order::State> {
        let guard = self.offer_lock.lock();
        let current = order::State::clone(&self.store.load().orders);
        if order.if_revision.is_some_and(|revision| revision != current.revision) {
            return Err(current);
        }
        let next = order.apply(&current);
        self.offer_orders_locked(next.clone(), &Source::Operator, &guard);
        let out = if order.out { "out" } else { "in" };
        log::info!("order target={} {out} revision={}", order.target, next.revision);
        Ok(next)
    }

    fn offer_orders_locked(
        &self,
        state: order::State,
        source: &Source,
        _guard: &MutexGuard<'_, ()>,
    ) -> Outcome {
        let outcome = self.store.offer_orders(state, source);
        if outcome == Outcome::Adopted {
            self.core.lock().set_orders(&self.store.load().orders);
            self.notify_change();
        }
        outcome
    }

    /// Notifies watchers of a change of the values in force, and peers with a heartbeat.
    pub(super) fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
        self.heartbeat_trigger.notify_one();
    }

    pub(super) fn set_list(&self, list: List) -> Result<bool, CompactString> {
        list.check().inspect_err(|error| log::warn!("list of hosts rejected error={error:?}"))?;
        let count = list.hosts.len();
        let revision = list.revision;
        let adopted = self.core.lock().adopt_list(list, self.now());
        if adopted {
            log::info!("list of hosts adopted revision={revision} hosts={count}");
            self.publish();
            self.heartbeat_trigger.notify_one();
        }
        Ok(adopted)
    }
}
