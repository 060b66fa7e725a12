//! The state that the daemon sends to its peers, and how the daemon applies the state of peers.

use std::{
    cmp::Reverse,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use hyssop_view::{
    gossip::LocalState,
    heartbeat::{Heartbeat, LeavingEntry, LoadEntry, Phase, name_hash},
    member::WatcherCandidate,
    record::Position,
    sync::{self, Response},
};

use parking_lot::Mutex;

use crate::{
    gateway::{Gateway, Settings},
    silence,
};

/// How long a peer may have a later position before its records are fetched. The source usually
/// reports a change to all its watchers within this time.
const CATCH_UP_DELAY: Duration = Duration::from_millis(250);
/// The maximum number of loads in one heartbeat, so that it fits into a datagram.
const MAX_LOAD_ENTRIES: usize = 48;
/// The number of loads that take as much room as one entry of [`Heartbeat::evidence`].
const LOADS_PER_EVIDENCE_ENTRY: usize = 4;
/// The maximum number of backend servers that leave in one heartbeat.
const MAX_LEAVING_ENTRIES: usize = 8;

/// Publishes the daemon's state in heartbeats, and applies the state of peers.
pub struct PeerSync {
    gateway: Arc<Gateway>,
    /// The port at which peers serve records.
    port: u16,
    lag: Mutex<Option<Lag>>,
    missing: Mutex<Option<Missing>>,
}

impl PeerSync {
    /// The state exchange of `gateway`, whose peers serve records on `port`.
    pub fn new(gateway: Arc<Gateway>, port: u16) -> Arc<Self> {
        Arc::new(Self { gateway, port, lag: Mutex::default(), missing: Mutex::default() })
    }

    /// Measures for how long a peer has had a position that this daemon has not reached.
    fn update_records_behind(&self, known: Position, now: Instant) {
        let applied = self.gateway.cache.snapshot().applied;
        let mut missing = self.missing.lock();
        if missing.is_some_and(|missing| applied >= missing.position) {
            *missing = None;
        }
        if known > applied {
            missing.get_or_insert(Missing { position: known, since: now });
        }
        let behind = missing.map_or(Duration::ZERO, |missing| now.duration_since(missing.since));
        self.gateway.metrics.records_behind.set(behind.as_secs_f64());
    }

    /// Derives the source's state while this daemon does not watch it: the source is lost when no
    /// other daemon watches it either.
    fn update_source_state(&self, watched: bool, now: Instant) {
        let cache = &self.gateway.cache;
        if watched {
            if let Some(outage) = cache.on_source_response(now) {
                let gone_ms = outage.as_millis() as u64;
                tracing::info!(event = "source_back", gone_ms, followed = watched);
            }
        } else if cache.is_source_up() && cache.snapshot().environment.is_some() {
            tracing::warn!(
                event = "source_lost",
                fault = "no daemon watches the source",
                followed = watched
            );
            cache.on_source_lost(now);
        }
    }

    /// Fetches the records of a peer that has had newer ones than this daemon for a while, or,
    /// after a suspension of this process, the records of a ready peer.
    fn catch_up(&self, from: IpAddr, heartbeat: &Heartbeat, now: Instant) {
        let cache = &self.gateway.cache;
        let applied = cache.snapshot().applied;
        let suspended = cache.is_suspended();
        let useful =
            if suspended { heartbeat.phase == Phase::Ready } else { heartbeat.applied > applied };
        if !useful {
            return;
        }
        let mut lag = self.lag.lock();
        let since = match *lag {
            Some(lag) if lag.applied == applied => lag.since,
            _ => {
                *lag = Some(Lag { applied, since: now });
                now
            }
        };
        // A daemon that watches the source waits for the source to report the change, as watchers
        // receive changes at about the same time. Others wait for a peer of the own zone, which is
        // cheaper to fetch from than a remote one. While the source is lost there is nothing to
        // wait for.
        let near = heartbeat.zone == self.gateway.settings.zone;
        let expected = applied != Position::default()
            && !suspended
            && (self.gateway.watches_source() || cache.is_source_up() && !near);
        let first = since == now && !expected;
        if !first && now.duration_since(since) < CATCH_UP_DELAY {
            return;
        }
        // Restarts the delay, so that few fetches run at a time.
        *lag = Some(Lag { applied, since: now });
        let gateway = Arc::clone(&self.gateway);
        let address = SocketAddr::new(from, self.port);
        let fetch = Fetch { gateway, address, after: applied, suspended };
        tokio::spawn(async move { fetch.run().await });
    }
}

/// How long peers have had a later position than this daemon.
#[derive(Debug, Clone, Copy)]
struct Lag {
    applied: Position,
    since: Instant,
}

/// A position of a peer that this daemon has not reached.
#[derive(Debug, Clone, Copy)]
struct Missing {
    position: Position,
    since: Instant,
}

struct Fetch {
    gateway: Arc<Gateway>,
    address: SocketAddr,
    after: Position,
    /// Whether the state was marked as out of date, after a suspension, when the fetch began.
    suspended: bool,
}

impl Fetch {
    async fn run(&self) {
        let peer = self.address.ip();
        let (began, running) = (Instant::now(), &self.gateway.metrics.record_fetches);
        let concurrent = running.inc() + 1;
        let result = sync::fetch(self.address, self.after).await;
        running.dec();
        let after_ms = began.elapsed().as_millis() as u64;
        match result {
            Ok(Response { changes, bytes }) => {
                let (count, listed) = (changes.records.len(), changes.listing.is_some());
                let changed = self.gateway.cache.apply_changes(changes, Instant::now());
                tracing::info!(
                    event = "records_from_peer", %peer, after = %self.after, count, listed, changed,
                    bytes, after_ms, concurrent
                );
                // The peer sent these records after this process resumed, so they are current.
                if self.suspended && self.gateway.cache.is_suspended() {
                    self.gateway.cache.set_suspended(false);
                    tracing::info!(event = "resumed", %peer);
                }
                if changed {
                    self.gateway.reconfigure();
                }
            }
            Err(error) => tracing::warn!(
                event = "records_not_fetched", %peer, %error, after = %self.after, after_ms,
                received_bytes = error.received_bytes(), concurrent
            ),
        }
    }
}

impl LocalState for PeerSync {
    fn heartbeat(&self) -> Heartbeat {
        let gateway = &self.gateway;
        let now = Instant::now();
        let (blames, evidence) = {
            let suspects = gateway.suspects.lock();
            (suspects.blames(now), suspects.evidence(now))
        };
        let (mut loads, leaving) = {
            let mut decider = gateway.decider.lock();
            let leaving = decider.leaving().take(MAX_LEAVING_ENTRIES);
            let leaving: Vec<LeavingEntry> = leaving
                .map(|(backend_hash, incarnation)| LeavingEntry { backend_hash, incarnation })
                .collect();
            (decider.own_loads(now), leaving)
        };
        // An entry of `leaving` takes at most as much room as a load.
        let max_loads =
            MAX_LOAD_ENTRIES - LOADS_PER_EVIDENCE_ENTRY * evidence.len() - leaving.len();
        if loads.len() > max_loads {
            // Peers count a load that is left out as 0, so the smallest ones are left out.
            loads.sort_by_key(|(_, load, cold)| Reverse((*cold, load.running)));
            loads.truncate(max_loads);
        }
        Heartbeat {
            host: gateway.settings.host.clone(),
            zone: gateway.settings.zone.clone(),
            incarnation: gateway.settings.incarnation,
            caller_address: gateway.settings.caller_address,
            phase: gateway.phase(),
            weight: gateway.settings.weight,
            applied: gateway.cache.snapshot().applied,
            watches_source: gateway.watches_source(),
            converged: false,
            members: Vec::new(),
            loads: loads.into_iter().map(LoadEntry::from).collect(),
            blames,
            evidence,
            leaving,
        }
    }

    fn on_heartbeat(&self, from: IpAddr, heartbeat: &Heartbeat, now: Instant) {
        let loads: Vec<_> = heartbeat.loads.iter().copied().map(Into::into).collect();
        self.gateway.decider.lock().record_peer(from, &loads, now);
        for &LeavingEntry { backend_hash, incarnation } in &heartbeat.leaving {
            let mut decider = self.gateway.decider.lock();
            let server = decider.record_leaving_of_peer(backend_hash, incarnation, now);
            drop(decider);
            if let Some(server) = server {
                self.gateway.report_leaving(&server, incarnation, &from);
            }
        }
        if !heartbeat.blames.is_empty() || !heartbeat.evidence.is_empty() {
            let mut suspects = self.gateway.suspects.lock();
            suspects.merge(&heartbeat.blames, now);
            suspects.merge_evidence(&heartbeat.evidence, now);
        }
        self.catch_up(from, heartbeat, now);
        self.update_records_behind(heartbeat.applied, now);
    }

    fn tick(&self, now: Instant) {
        let gateway = &self.gateway;
        if gateway.cache.expire(now) {
            gateway.reconfigure();
        }
        let Settings { host, zone, weight, .. } = &gateway.settings;
        let own = name_hash(host.as_str());
        let (mut members, converged) = {
            let table = gateway.members.lock();
            let candidate = WatcherCandidate { host_hash: own, zone, weight: *weight };
            gateway.set_role(table.role(&candidate, now));
            if !gateway.watches_source() {
                self.update_source_state(table.is_source_watched(now), now);
            }
            (table.share_holders(now), table.has_converged(now))
        };
        if let Err(at) = members.binary_search(&own) {
            members.insert(at, own);
        }
        let mut decider = gateway.decider.lock();
        decider.set_members(members, converged);
        decider.expire_peers(now);
        decider.expire_notices(|server| gateway.cache.has_server(server), now);
        drop(decider);
        silence::examine_silent_servers(gateway, now);
    }
}
