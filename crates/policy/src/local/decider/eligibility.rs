//! Whether a daemon may send a request to a backend server now, and if not, why and until when.

use std::time::Instant;

use super::connection_share;
use crate::local::{
    brittle::Brittle,
    cold::Bound as ColdBound,
    demand::Demand,
    holders::Holders,
    limit::{Availability, Limits},
    notice::{Notices, PauseStage},
    server::State as ServerState,
};

/// A backend server that may get the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Eligible {
    /// Without reservations.
    Yes,
    /// Only if there is no other, because it failed a few requests.
    Fallback,
}

/// Why a backend server must not get the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Obstacle {
    /// It leaves, or has had the request.
    Excluded,
    /// It asked for a pause that ends then, or ended just now.
    Paused(Instant),
    /// It named a limit, and this daemon's share is used. The share, if there is one, allows the
    /// next request then.
    Limited(Option<Instant>),
    /// It falls over if it rejects too many requests, and may be full, or has rejected one just now.
    /// Holds when this daemon may risk the next request, if it may.
    Brittle(Option<Instant>),
    /// It failed, or can't be reached.
    Avoided,
    /// This daemon's share of the connections to it is in use.
    Connections,
    /// It is cold, and this daemon's share of what it sustains is used.
    Cold,
}

/// What decides about eligibility beside the state of the backend server itself.
pub(super) struct Rules<'a> {
    pub(super) notices: &'a Notices,
    pub(super) limits: &'a mut Limits,
    pub(super) brittle: &'a mut Brittle,
    pub(super) holders: Holders<'a>,
    pub(super) cold: ColdBound,
}

impl Rules<'_> {
    /// Whether a backend server may get a request now. The checks are in the order of what outlasts
    /// what.
    pub(super) fn check(
        &mut self,
        state: &mut ServerState,
        demand: &Demand,
        now: Instant,
    ) -> Result<Eligible, Obstacle> {
        let server = &state.server;
        let leaving = self.notices.is_leaving(&server.name, server.incarnation);
        if leaving || demand.excluded.contains(&server.name) {
            return Err(Obstacle::Excluded);
        }
        match self.notices.pause_stage(&server.name, server.incarnation, server.slots, now) {
            PauseStage::Paused(until) => return Err(Obstacle::Paused(until)),
            PauseStage::Ramp(limit) if state.requests.len() >= limit => {
                return Err(Obstacle::Paused(now));
            }
            PauseStage::None | PauseStage::Ramp(_) => {}
        }
        if let Availability::Used(until) = self.limits.availability(server, &self.holders, now) {
            return Err(Obstacle::Limited(until));
        }
        let avoided = state.is_avoided(now);
        let is_brittle = self.brittle.is_brittle(server);
        if avoided && !state.is_fallback() {
            let until = state.avoid_until;
            return Err(if is_brittle { Obstacle::Brittle(until) } else { Obstacle::Avoided });
        }
        let running = state.requests.len();
        if let Availability::Used(until) =
            self.brittle.availability(server, running, &self.holders, now)
        {
            return Err(Obstacle::Brittle(until));
        }
        if state.requests.len() >= connection_share(server.max_connections, self.holders.count()) {
            return Err(Obstacle::Connections);
        }
        if state.is_cold(now) {
            let share = self.cold.share(server.cold_rate, server.hash, &self.holders);
            if state.sends.count(now) >= share {
                return Err(Obstacle::Cold);
            }
        }
        Ok(if avoided { Eligible::Fallback } else { Eligible::Yes })
    }
}
