//! Selects the backend servers that may get a request, and tells why others may not.

use std::time::Instant;

use super::{
    Decider, Reason,
    candidate::{Candidate, exclude_overdue, exclude_unreachable},
    eligibility::{Eligible, Obstacle, Rules},
};
use crate::local::{demand::Demand, holders::Holders};

/// The backend servers that may get a request, and why others may not.
#[derive(Debug, Default)]
pub(super) struct Selection {
    pub(super) candidates: Vec<Candidate>,
    /// Whether the pool has backend servers, but none of the build that began the stream.
    other_builds_only: bool,
    /// What keeps the request from the other backend servers whose build may get it.
    obstacles: Vec<Obstacle>,
}

impl Selection {
    /// The reason to refuse a request without candidates, and when that ends, if it is known.
    pub(super) fn refusal(&self) -> (Reason, Option<Instant>) {
        let obstacles = || self.obstacles.iter().copied();
        let is_any = |obstacle| obstacles().any(|other| other == obstacle);
        let paused = obstacles().filter_map(|obstacle| match obstacle {
            Obstacle::Paused(until) => Some(until),
            _ => None,
        });
        let limited = obstacles().filter_map(|obstacle| match obstacle {
            Obstacle::Limited(until) => Some(until),
            _ => None,
        });
        let brittle = obstacles().filter_map(|obstacle| match obstacle {
            Obstacle::Brittle(until) => Some(until),
            _ => None,
        });
        if is_any(Obstacle::Connections) {
            (Reason::Connections, None)
        } else if is_any(Obstacle::Cold) {
            (Reason::Cold, None)
        } else if limited.clone().next().is_some() {
            (Reason::Limited, limited.flatten().min())
        } else if brittle.clone().next().is_some() {
            (Reason::Brittle, brittle.flatten().min())
        } else if let Some(until) = paused.min() {
            (Reason::Paused, Some(until))
        } else if self.other_builds_only {
            (Reason::OtherBuild, None)
        } else {
            (Reason::NoServer, None)
        }
    }
}

impl Decider {
    /// The backend servers that may get the request now, and those of other builds that may get
    /// requests like it.
    pub(super) fn select(&mut self, demand: &Demand, now: Instant) -> Selection {
        let mut selection = Selection::default();
        // Used only if all other backend servers are avoided too: a backend server that fails some
        // of its requests still responds to most of them.
        let mut fallback = Vec::new();
        let mut rules = Rules {
            notices: &self.notices,
            limits: &mut self.limits,
            brittle: &mut self.brittle,
            holders: Holders {
                own: self.settings.own_hash,
                members: &self.members,
                membership: self.membership,
            },
            cold: self.settings.cold,
        };
        let (mut servers, mut servers_of_build) = (0, 0);
        for (name, state) in &mut self.servers {
            if state.server.pool != demand.pool {
                continue;
            }
            let of_build = demand.build.as_ref().is_none_or(|build| *build == state.server.build);
            servers += 1;
            servers_of_build += usize::from(of_build);
            let candidates = match rules.check(state, demand, now) {
                Ok(Eligible::Yes) => &mut selection.candidates,
                Ok(Eligible::Fallback) => &mut fallback,
                Err(obstacle) => {
                    selection.obstacles.extend(of_build.then_some(obstacle));
                    continue;
                }
            };
            let (hash, slots) = (state.server.hash, state.server.slots);
            let load = state.own_load(now).wrapping_add(self.peer_loads.load(hash));
            let speed = self.speeds.entry(hash).or_default();
            if self.settings.shared_speeds {
                speed.update(state.slowness());
            }
            candidates.push(Candidate {
                speed: *speed,
                name: name.clone(),
                hash,
                slots,
                overdue: state.is_overdue(now),
                unreachable: state.is_reported_unreachable(load, now),
                load,
                reserved: false,
                of_build,
            });
        }
        selection.other_builds_only = servers > 0 && servers_of_build == 0;
        if !selection.candidates.iter().any(|candidate| candidate.of_build) {
            selection.candidates.append(&mut fallback);
        }
        exclude_unreachable(&mut selection.candidates);
        exclude_overdue(&mut selection.candidates);
        selection
    }
}
