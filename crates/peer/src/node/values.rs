//! Published values and what peers have, offered to the node.

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
    /// Offers a published document.
    pub fn offer_document(&self, bytes: Bytes, source: Source) -> Outcome {
        self.shared.offer_document(bytes, source)
    }

    /// Offers published service orders.
    pub fn offer_orders(&self, state: order::State, source: &Source) -> Outcome {
        self.shared.offer_orders(state, source)
    }

    /// Offers a published list of hosts. Returns whether it is in use now.
    ///
    /// # Errors
    ///
    /// Says why the list cannot be used.
    pub fn set_listed(&self, list: List) -> Result<bool, CompactString> {
        self.shared.set_list(list)
    }
}

impl Shared {
    pub(super) fn offer_document(&self, bytes: Bytes, source: Source) -> Outcome {
        let _offer = self.offers.lock();
        let outcome = self.store.offer_document(bytes, source);
        if outcome == Outcome::Adopted {
            let current = self.store.load();
            let groups = current.document.as_ref().map(|document| {
                let groups = group::all(document.catalog.document());
                groups.into_iter().map(|(group, _)| Key::group(&group)).collect()
            });
            self.core.lock().set_keys(groups.unwrap_or_default());
            self.changed();
        }
        outcome
    }

    pub(super) fn offer_orders(&self, state: order::State, source: &Source) -> Outcome {
        let offer = self.offers.lock();
        self.offer_orders_alone(state, source, &offer)
    }

    /// Applies an order to the orders in force, unless its precondition does not hold.
    ///
    /// No other offer comes between the check and the change.
    ///
    /// # Errors
    ///
    /// Returns the orders in force if they have another revision than the operator has seen.
    pub(super) fn apply_order(&self, order: &order::Order) -> Result<order::State, order::State> {
        let offer = self.offers.lock();
        let current = order::State::clone(&self.store.load().orders);
        if order.if_revision.is_some_and(|revision| revision != current.revision) {
            return Err(current);
        }
        let next = order.apply(&current);
        self.offer_orders_alone(next.clone(), &Source::Operator, &offer);
        let out = if order.out { "out" } else { "in" };
        log::info!("order target={} {out} revision={}", order.target, next.revision);
        Ok(next)
    }

    fn offer_orders_alone(
        &self,
        state: order::State,
        source: &Source,
        _offer: &MutexGuard<'_, ()>,
    ) -> Outcome {
        let outcome = self.store.offer_orders(state, source);
        if outcome == Outcome::Adopted {
            self.core.lock().set_orders(&self.store.load().orders);
            self.changed();
        }
        outcome
    }

    pub(super) fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
        self.beat.notify_one();
    }

    pub(super) fn set_list(&self, list: List) -> Result<bool, CompactString> {
        list.check().inspect_err(|error| log::warn!("list of hosts rejected error={error:?}"))?;
        let count = list.hosts.len();
        let revision = list.revision;
        let taken = self.core.lock().adopt_list(list, self.now());
        if taken {
            log::info!("list of hosts adopted revision={revision} hosts={count}");
            self.publish();
            self.beat.notify_one();
        }
        Ok(taken)
    }
}
