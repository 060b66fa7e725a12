//! Connections to backend servers, and what they tell about the way there.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyssop_document::name::Pool;
use hyssop_policy::local::reach::{Change, Outcome};
use rand::seq::SliceRandom as _;
use tokio::{net::TcpStream, task::JoinSet, time::timeout};

use crate::{
    directory,
    gateway::Gateway,
    http::{connection::Connection, pool},
    record::Server,
};

/// The number of servers of the same pool that are tried to tell a crash from a loss of links, before
/// one of another pool.
const MAX_POOL_CONTROLS: usize = 2;

/// How soon a peer must accept a connection. Well below the time that backend servers have: what delays one delays
/// the other.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(175);

/// Opens a connection to each of these peers, until one accepts it.
async fn reach_any(peers: Vec<SocketAddr>) -> Outcome {
    let mut attempts: JoinSet<_> = peers.into_iter().map(TcpStream::connect).collect();
    let accepted = async {
        let mut last = Outcome::Untried;
        while let Some(attempt) = attempts.join_next().await {
            last = match attempt {
                Ok(Ok(_)) => return Outcome::Opened,
                Ok(Err(error)) => pool::outcome(&error),
                Err(_) => Outcome::Untried,
            };
        }
        last
    };
    timeout(CONTROL_TIMEOUT, accepted).await.unwrap_or(Outcome::Silent)
}

impl Gateway {
    /// A connection to a backend server: an idle one, or a new one within this daemon's share.
    ///
    /// # Errors
    ///
    /// See [`pool::Error`].
    pub(crate) async fn connect(
        self: &Arc<Self>,
        server: &Server,
        non_idempotent: bool,
    ) -> Result<Connection, pool::Error> {
        let limit = self.decider.lock().connection_limit(&server.name);
        let connected =
            self.connections.acquire(&server.name, server.address, limit, non_idempotent).await;
        match &connected {
            Ok(connection) if connection.reused => {}
            Ok(_) => self.record_connection(server, None),
            Err(fault) => self.record_connection(server, Some(fault)),
        }
        connected
    }

    /// Opens a connection to a backend server and keeps it as an idle one.
    ///
    /// # Errors
    ///
    /// See [`pool::Error`].
    pub(crate) async fn try_connection(
        self: &Arc<Self>,
        server: &Server,
    ) -> Result<(), pool::Error> {
        let limit = self.decider.lock().connection_limit(&server.name);
        let result = self.connections.add(&server.name, server.address, limit).await;
        self.record_connection(server, result.as_ref().err());
        result
    }

    /// Records how an attempt to open a connection ended, and tries other backend servers of the pool
    /// if it may be out of reach.
    fn record_connection(self: &Arc<Self>, server: &Server, fault: Option<&pool::Error>) {
        let end = fault.map_or("opened", pool::Error::label);
        self.metrics.count_connection(&server.pool, end);
        let (outcome, now) = (fault.map_or(Outcome::Opened, pool::Error::outcome), Instant::now());
        let change = self.decider.lock().record_connection(&server.name, outcome, now);
        self.note_reach(change);
        self.probe_pools(now);
    }

    fn note_reach(&self, changes: impl IntoIterator<Item = Change>) {
        for Change { pool, reached, failed, servers, lost_for } in changes {
            let lost_ms = lost_for.as_millis() as u64;
            tracing::warn!(event = "reach", %pool, reached, failed, servers, lost_ms);
            self.metrics.lost_pools.set(self.decider.lock().lost_pools().count() as i64);
        }
    }

    /// Finds out whether a peer could help, while backend servers are silent.
    async fn control_reach(self: Arc<Self>) {
        let began = Instant::now();
        let outcome = match directory::control_peers(&self, began) {
            peers if peers.is_empty() => Outcome::Untried,
            peers => reach_any(peers).await,
        };
        let now = Instant::now();
        let after_ms = now.duration_since(began).as_millis() as u64;
        tracing::info!(event = "reach_controlled", ?outcome, after_ms);
        let changes = self.decider.lock().record_control(outcome, now);
        self.note_reach(changes);
        self.probe_pools(now);
    }

    /// Opens the connections that show whether pools are within reach.
    pub(crate) fn probe_pools(self: &Arc<Self>, now: Instant) {
        let (is_control_due, probes) = {
            let mut decider = self.decider.lock();
            (decider.begin_control(now), decider.begin_probes(now))
        };
        if is_control_due {
            tokio::spawn(Arc::clone(self).control_reach());
        }
        if probes.is_empty() {
            return;
        }
        let snapshot = self.cache.snapshot();
        for name in probes {
            // The decider learns of removed servers right after the snapshot, and forgets their probes.
            let Some(server) = snapshot.servers.get(&name).cloned() else { continue };
            let gateway = Arc::clone(self);
            tokio::spawn(async move {
                let fault = gateway.try_connection(&server).await.err();
                let fault = fault.as_ref().map(tracing::field::display);
                tracing::debug!(event = "pool_probed", server = %server.name, fault);
            });
        }
    }

    /// Whether this daemon reaches backend servers of the pool, as far as it knows.
    pub fn reaches(&self, pool: &Pool) -> bool {
        !self.decider.lock().is_lost(pool)
    }

    /// Probes a backend server after a failed exchange, by a connection attempt. If it can't be
    /// reached and others can, the requests that failed at it are blamed for a crash.
    pub async fn probe_server(self: &Arc<Self>, server: &Server) {
        /// A process that crashes closes its port last, so the connection attempt comes later.
        const PROBE_DELAY: Duration = Duration::from_millis(40);
        tokio::time::sleep(PROBE_DELAY).await;
        let name = &server.name;
        self.connections.close_idle(name);
        match self.try_connection(server).await {
            Ok(()) => {}
            // Other exchanges hold connections to the server, and they fail too if it crashed.
            Err(fault @ pool::Error::Share) => {
                tracing::info!(event = "not_examined", server = %name, %fault);
            }
            Err(fault) if !self.reaches_another(server).await => {
                tracing::info!(event = "not_examined", server = %name, %fault, reaches_others = false);
            }
            Err(fault) => {
                let (blamed, segments) = {
                    let (mut suspects, now) = (self.suspects.lock(), Instant::now());
                    (suspects.record_crash(name, now), suspects.record_segment_crash(name, now))
                };
                for (segment, crashes) in segments {
                    tracing::warn!(event = "segment_blamed", server = %name, segment = %segment, crashes);
                }
                for (fingerprint, status) in blamed {
                    tracing::warn!(
                        event = "blamed", server = %name, %fingerprint, standing = %status, %fault
                    );
                }
            }
        }
    }

    /// Whether this daemon reaches another backend server than `server`, or there is none. A daemon that
    /// has lost its links sees the same as one whose server has crashed.
    async fn reaches_another(self: &Arc<Self>, server: &Server) -> bool {
        let snapshot = self.cache.snapshot();
        let others = snapshot.servers.values().filter(|other| other.name != server.name);
        let (mut of_pool, mut elsewhere): (Vec<_>, Vec<_>) =
            others.partition(|other| other.pool == server.pool);
        of_pool.shuffle(&mut rand::rng());
        elsewhere.shuffle(&mut rand::rng());
        let controls =
            of_pool.into_iter().take(MAX_POOL_CONTROLS).chain(elsewhere.into_iter().take(1));
        let mut has_failed = false;
        for control in controls {
            if !self.reaches(&server.pool) {
                return false;
            }
            match self.try_connection(control).await {
                Ok(()) => return true,
                Err(pool::Error::Share) => {}
                Err(pool::Error::Connect(_)) => has_failed = true,
            }
        }
        !has_failed
    }
}
