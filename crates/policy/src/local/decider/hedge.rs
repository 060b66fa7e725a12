//! Places a second run of a request whose response is late.

use std::time::{Duration, Instant};

use super::{Decider, Decision, Placement};
use crate::local::{
    demand::Demand,
    hedge::{Hedge, Reason, Utilization},
    holders::Holders,
    server::SendId,
};

/// The part of the budget for retries that hedges leave for requests that failed, which have no response
/// without a retry.
const RETRY_RESERVE_RATIO: f64 = 0.5;

impl Decider {
    /// The time after which the response of a placed request is late enough to ask a second backend
    /// server, or `None` if hedges are off.
    pub fn hedge_delay(&self, placement: &Placement, demand: &Demand) -> Option<Duration> {
        self.hedges.delay(&demand.pool, placement.predicted)
    }

    /// Whether a request that has waited for `waited` at a first backend server is sent to a second
    /// one. A send must be reported with [`Self::record_hedge_sent`].
    pub fn place_hedge(
        &mut self,
        demand: &Demand,
        first: &Placement,
        waited: Duration,
        now: Instant,
    ) -> Hedge {
        let utilization = self.utilization(demand, now);
        let holders = Holders {
            own: self.settings.own_hash,
            members: &self.members,
            membership: self.membership,
        };
        let allowed = self.hedges.check(&demand.pool, &utilization, demand.target, &holders, now);
        if let Err(reason) = allowed {
            return Hedge::No(reason);
        }
        let (repeats, holders) = self.repeat_budget(&demand.pool);
        if !repeats.allows_with_reserve(RETRY_RESERVE_RATIO, &holders, now) {
            return Hedge::No(Reason::Repeats);
        }
        let mut second = demand.clone();
        second.excluded.push(first.server.clone());
        match self.place_request(&second, now) {
            Decision::Refuse { .. } => Hedge::No(Reason::NoServer),
            Decision::Send(placement) => {
                // A response that is late takes, on average, at least as long again as it is late.
                let expected = waited.saturating_sub(first.predicted);
                if placement.predicted <= expected {
                    Hedge::Send(placement)
                } else {
                    Hedge::Wait(first.predicted + placement.predicted)
                }
            }
        }
    }

    /// Records that a hedge is sent. The id identifies the send in later calls.
    pub fn record_hedge_sent(
        &mut self,
        placement: &Placement,
        demand: &Demand,
        now: Instant,
    ) -> SendId {
        self.hedges.record_hedge(&demand.pool, now);
        let repeat = Demand { is_repeat: true, ..demand.clone() };
        self.record_sent(placement, &repeat, now)
    }

    /// How busy the backend servers of the pool are, by all daemons' loads.
    fn utilization(&mut self, demand: &Demand, now: Instant) -> Utilization {
        let model = self.model(demand);
        let (mut count, mut fill, mut pending) = (0_u32, 0.0, 0.0);
        for state in self.servers.values_mut().filter(|state| state.server.pool == demand.pool) {
            let hash = state.server.hash;
            let load = state.own_load(now).wrapping_add(self.peer_loads.load(hash));
            count += 1;
            fill += f64::from(load.running) / f64::from(state.server.slots.max(1));
            pending += f64::from(load.pending_tokens);
        }
        let count = f64::from(count.max(1));
        Utilization { fill: fill / count, prefill_wait: model.prefill_time(pending / count) }
    }
}
