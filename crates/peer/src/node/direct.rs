//! Operators' orders: decided by one host, in force on all that can be reached.

use std::{sync::Arc, time::Duration};

use futures::future;
use hyssop_document::{
    name,
    order::{Order, State},
};
use tokio::time;

use super::{Node, Shared};
use crate::{current::Source, link, order::Outcome, wire::Stamp};

/// The longest wait for a peer to take orders over.
const OFFER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest wait for the deciding host, which waits for its peers itself.
const DECIDE_TIMEOUT: Duration = Duration::from_millis(2500);

impl Node {
    /// Carries out an operator's order on every daemon that can be reached.
    pub async fn order(&self, order: Order) -> Outcome {
        self.shared.order(order).await
    }
}

impl Shared {
    /// Has the deciding host carry out an order. If it cannot be connected to, decides here.
    async fn order(self: &Arc<Self>, order: Order) -> Outcome {
        let coordinator = self.core.lock().coordinator(self.now());
        if coordinator == self.identity.host {
            return self.decide(&order, State::default()).await;
        }
        let link = match self.link(&coordinator).await {
            Ok(link) => link,
            Err(error) => {
                log::warn!("order decided here, coordinator={coordinator} error={error}");
                return self.decide(&order, State::default()).await;
            }
        };
        self.forward(order, link, &coordinator).await
    }

    async fn forward(&self, order: Order, link: link::Link, coordinator: &name::Host) -> Outcome {
        let known = (*self.store.load().orders).clone();
        let call = link.client.order(tarpc::context::current(), order, known);
        let message = match time::timeout(DECIDE_TIMEOUT, call).await {
            Ok(Ok(outcome)) => return outcome,
            Ok(Err(error)) => format!("no answer from {coordinator}: {error}"),
            Err(_) => format!("no answer from {coordinator} in time"),
        };
        Outcome::Unknown { message: message.into() }
    }

    /// Applies an order to the orders in force and spreads the result.
    pub(super) async fn decide(self: &Arc<Self>, order: &Order, known: State) -> Outcome {
        if known != State::default() {
            self.offer_orders(known, &Source::Operator);
        }
        match self.apply_order(order) {
            Ok(state) => self.confirm_orders(state).await,
            Err(current) => Outcome::Conflict { current },
        }
    }

    async fn confirm_orders(self: &Arc<Self>, state: State) -> Outcome {
        let stamp = Stamp { revision: state.revision, digest: state.digest() };
        let hosts = self.audience();
        let offers = hosts.iter().map(|host| self.offer_to(host, &state));
        let stamps = future::join_all(offers).await;
        let mut in_force = vec![self.identity.host.clone()];
        let mut not_reached = Vec::new();
        for (host, answer) in hosts.into_iter().zip(stamps) {
            match answer {
                Some(answer) if answer == stamp || answer.revision > stamp.revision => {
                    in_force.push(host);
                }
                _ => not_reached.push(host),
            }
        }
        in_force.sort();
        Outcome::Done { state, in_force, not_reached }
    }

    async fn offer_to(&self, host: &name::Host, state: &State) -> Option<Stamp> {
        let offer = async {
            let link = self.link(host).await.ok()?;
            link.client.offer_orders(tarpc::context::current(), state.clone()).await.ok()
        };
        time::timeout(OFFER_TIMEOUT, offer).await.ok().flatten()
    }
}
