//! Which pools are within reach of this daemon.

use std::time::Instant;

use hyssop_document::name::{Backend, Pool};

use super::Decider;
use crate::local::{
    reach::{Change, Outcome},
    server::State,
};

impl Decider {
    /// Whether this daemon reaches no backend server of the pool.
    pub fn is_lost(&self, pool: &Pool) -> bool {
        self.reach.is_lost(pool)
    }

    /// The pools of which this daemon reaches no backend server.
    pub fn lost_pools(&self) -> impl Iterator<Item = &Pool> {
        self.reach.lost()
    }

    /// Whether this daemon reaches no backend server at all.
    pub fn has_lost_all(&self) -> bool {
        let mut pools = self.servers.values().map(|state| &state.server.pool);
        !self.servers.is_empty() && pools.all(|pool| self.reach.is_lost(pool))
    }

    /// Has a pool that peers can't reach surveyed: its servers may have crashed, and then no daemon is
    /// better off than another.
    pub fn doubt_pool(&mut self, pool: &Pool) {
        if self.servers.values().any(|state| state.server.pool == *pool) {
            self.reach.doubt(pool);
        }
    }

    /// Records how an attempt to open a connection to a backend server ended. Returns whether its pool
    /// is lost or back by that.
    pub fn record_connection(
        &mut self,
        server: &Backend,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Change> {
        let pool = &self.servers.get(server)?.server.pool;
        let servers = self.servers.values().filter(|state| state.server.pool == *pool).count();
        let change = self.reach.record((pool, server), outcome, servers, now)?;
        self.follow(&change);
        Some(change)
    }

    /// Whether a connection to a peer is to be opened now, to tell whether silence of backend servers is
    /// this daemon's own fault. How it ends must be reported with [`Self::record_control`].
    pub fn begin_control(&mut self, now: Instant) -> bool {
        self.reach.begin_control(now)
    }

    /// Records how a connection to a peer ended. Returns the pools that are lost by that.
    pub fn record_control(&mut self, outcome: Outcome, now: Instant) -> Vec<Change> {
        let changes = self.reach.record_control(outcome, now);
        changes.iter().for_each(|change| self.follow(change));
        changes
    }

    fn follow(&mut self, change: &Change) {
        let (own, others): (Vec<_>, Vec<_>) =
            self.servers.values_mut().partition(|state| state.server.pool == change.pool);
        if change.reached {
            // They were avoided for what was no fault of theirs.
            own.into_iter().for_each(State::forgive_connections);
        } else {
            others.iter().for_each(|state| self.reach.doubt(&state.server.pool));
        }
    }

    /// Returns the backend servers to which connections are to be opened now, to find out whether their
    /// pools are within reach. The result of each must be reported with [`Self::record_connection`].
    pub fn begin_probes(&mut self, now: Instant) -> Vec<Backend> {
        let pools = self.reach.pools_in_doubt();
        let mut probes = Vec::new();
        for pool in pools {
            let servers = self.servers.iter().filter(|(_, state)| state.server.pool == pool);
            let servers: Vec<(&Backend, u32)> =
                servers.map(|(name, state)| (name, state.server.hash)).collect();
            probes.extend(self.reach.begin_probes(&pool, &servers, now));
        }
        probes
    }
}
