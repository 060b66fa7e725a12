//! What backend servers ask of daemons in their responses.

use std::time::{Duration, Instant};

use hyssop_document::name::Backend;

use super::Decider;
use crate::local::limit::{Rate, Report as LimitReport};

impl Decider {
    /// Records that a backend server says that it leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, server: &Backend, incarnation: u64, now: Instant) -> bool {
        self.notices.record_leaving(server, incarnation, now)
    }

    /// Records that an incarnation of a backend server asks this daemon for a pause. Returns the pause
    /// that is kept.
    pub fn record_pause(
        &mut self,
        server: &Backend,
        incarnation: u64,
        pause: Duration,
        now: Instant,
    ) -> Duration {
        self.notices.record_pause(server, incarnation, pause, now)
    }

    /// Records the limit that a response of a backend server named, or that it named none. The
    /// request was sent at `sent`. Returns whether that changes the limit.
    pub fn record_limit(
        &mut self,
        server: &Backend,
        incarnation: u64,
        limit: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        self.limits.record_response(server, incarnation, limit, sent, now)
    }

    /// Records how many rejections in a second a response says that its backend server bears from all
    /// daemons together, or that it is not brittle. What one server of a pool says holds for the others
    /// until they respond. The request was sent at `sent`. Returns whether that is new for the server.
    pub fn record_brittle(
        &mut self,
        server: &Backend,
        incarnation: u64,
        tolerance: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let is_new = self.brittle.record_response(server, incarnation, tolerance, sent, now);
        if is_new && tolerance.is_some() {
            let pool = self.servers.get(server).map(|state| state.server.pool.clone());
            let servers = self.servers.values().map(|state| &state.server);
            for other in servers.filter(|other| Some(&other.pool) == pool.as_ref()) {
                if !self.brittle.is_brittle(other) {
                    let (name, incarnation) = (&other.name, other.incarnation);
                    self.brittle.record_response(name, incarnation, tolerance, sent, now);
                }
            }
        }
        is_new
    }

    /// Records what a peer reports of the limit of the backend server with this hash. Returns the
    /// backend server if that changes the limit.
    pub fn record_limit_of_peer(
        &mut self,
        hash: u32,
        report: &LimitReport,
        now: Instant,
    ) -> Option<Backend> {
        let server = self.by_hash.get(&hash)?;
        let is_same = self.servers.get(server)?.server.incarnation == report.incarnation;
        (is_same && self.limits.record_report(server, report, now)).then(|| server.clone())
    }

    /// The limits that backend servers have named to this daemon, by their hashes.
    pub fn limits(&self, now: Instant) -> impl Iterator<Item = (u32, LimitReport)> {
        self.limits
            .reports(now)
            .filter_map(|(server, report)| Some((self.servers.get(server)?.server.hash, report)))
    }

    /// Records what a peer reports: an incarnation of the backend server with this hash leaves.
    /// Returns the backend server if that is new.
    pub fn record_leaving_of_peer(
        &mut self,
        hash: u32,
        incarnation: u64,
        now: Instant,
    ) -> Option<Backend> {
        let server = self.by_hash.get(&hash)?;
        let is_same = self.servers.get(server)?.server.incarnation == incarnation;
        (is_same && self.notices.record_leaving(server, incarnation, now)).then(|| server.clone())
    }

    /// The backend servers that leave although their records say that they may get requests: the
    /// hash and the incarnation of each.
    pub fn leaving(&self) -> impl Iterator<Item = (u32, u64)> {
        let servers = self.servers.values().map(|state| &state.server);
        let leaving =
            servers.filter(|server| self.notices.is_leaving(&server.name, server.incarnation));
        leaving.map(|server| (server.hash, server.incarnation))
    }

    /// Forgets what backend servers asked for long ago. `is_known` tells which are published.
    pub fn expire_notices(&mut self, is_known: impl Fn(&Backend) -> bool, now: Instant) {
        self.notices.expire(is_known, now);
        self.limits.expire(now);
        let servers = &self.servers;
        self.brittle.expire(|server| servers.contains_key(server), now);
    }
}
