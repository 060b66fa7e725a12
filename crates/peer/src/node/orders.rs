//! Operators' orders: one host, the coordinator, applies each order and distributes the result.

use std::{sync::Arc, time::Duration};

use futures::future;
use hyssop_document::{
    name,
    order::{Order, State},
};
use tokio::time;

use super::{Node, Shared};
use crate::{current::Source, link, order::Outcome, wire::Stamp};

/// The time limit for a peer to adopt orders.
const OFFER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The time limit for the coordinator's response. Longer than `OFFER_TIMEOUT`, as the coordinator
/// waits for its peers first.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(2500);

impl Node {
    /// Applies an operator's order on every daemon that can be reached.
    pub async fn execute_order(&self, order: Order) -> Outcome {
        self.shared.execute_order(order).await
    }
}

impl Shared {
    /// Forwards an order to the coordinator. Applies it on this host if the coordinator cannot be
    /// connected to.
    async fn execute_order(self: &Arc<Self>, order: Order) -> Outcome {
        let coordinator = self.core.lock().coordinator(self.now());
        if coordinator == self.identity.host {
            return self.apply_and_distribute(&order, State::default()).await;
        }
        let link = match self.link(&coordinator).await {
            Ok(link) => link,
            Err(error) => {
                log::warn!("order decided here, coordinator={coordinator} error={error}");
                return self.apply_and_distribute(&order, State::default()).await;
            }
        };
        self.forward_order(order, link, &coordinator).await
    }

    async fn forward_order(
        &self,
        order: Order,
        link: link::Link,
        coordinator: &name::Host,
    ) -> Outcome {
        let own_orders = (*self.store.load().orders).clone();
        let call = link.client.order(tarpc::context::current(), order, own_orders);
        let message = match time::timeout(COORDINATOR_TIMEOUT, call).await {
            Ok(Ok(outcome)) => return outcome,
            Ok(Err(error)) => format!("no answer from {coordinator}: {error}"),
            Err(_) => format!("no answer from {coordinator} in time"),
        };
        Outcome::Undecided { message: message.into() }
    }

    /// Applies an order to the orders in force and distributes the result to all peers.
    ///
    /// `caller_orders` are the orders in force on the daemon that forwarded the order, if any did.
    pub(super) async fn apply_and_distribute(
        self: &Arc<Self>,
        order: &Order,
        caller_orders: State,
    ) -> Outcome {
        if caller_orders != State::default() {
            self.offer_orders(caller_orders, &Source::Operator);
        }
        match self.apply_order(order) {
            Ok(state) => self.distribute_orders(state).await,
            Err(current) => Outcome::Conflict { current },
        }
    }

    async fn distribute_orders(self: &Arc<Self>, state: State) -> Outcome {
        let stamp = Stamp { revision: state.revision, digest: state.digest() };
        let hosts = self.broadcast_targets();
        let offers = hosts.iter().map(|host| self.offer_orders_to(host, &state));
        let responses = future::join_all(offers).await;
        let mut in_force = vec![self.identity.host.clone()];
        let mut not_reached = Vec::new();
        for (host, adopted) in hosts.into_iter().zip(responses) {
            match adopted {
                Some(adopted) if adopted == stamp || adopted.revision > stamp.revision => {
                    in_force.push(host);
                }
                _ => not_reached.push(host),
            }
        }
        in_force.sort();
        Outcome::InForce { state, in_force, not_reached }
    }

    async fn offer_orders_to(&self, host: &name::Host, state: &State) -> Option<Stamp> {
        let offer = async {
            let link = self.link(host).await.ok()?;
            link.client.offer_orders(tarpc::context::current(), state.clone()).await.ok()
        };
        time::timeout(OFFER_TIMEOUT, offer).await.ok().flatten()
    }
}
