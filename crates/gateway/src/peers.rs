//! The state that the daemon sends to its peers, and how the daemon applies the state of peers.

mod catch_up;
mod comparison;
mod standby;

use std::{cmp::Reverse, net::IpAddr, sync::Arc, time::Instant};

use hyssop_view::{
    gossip::LocalState,
    heartbeat::{
        Heartbeat, LeavingEntry, LimitEntry, LoadEntry, LostPools, ModelEntry, SpeedEntry,
        name_hash,
    },
    member::WatcherCandidate,
    watch::Watch,
};

use parking_lot::Mutex;
use rand::seq::SliceRandom as _;

use self::{catch_up::CatchUp, comparison::Comparison, standby::Standby};
use crate::{
    directory::{self, Listing},
    gateway::{Gateway, Settings},
    silence,
};

/// The maximum number of loads in one heartbeat, so that it fits into a datagram.
const MAX_LOAD_ENTRIES: usize = 48;
/// The number of loads for which limits leave room.
const MIN_LOAD_ENTRIES: usize = 12;
/// The number of loads that take as much room as one entry of [`Heartbeat::evidence`].
const LOADS_PER_EVIDENCE_ENTRY: usize = 4;
/// The maximum number of backend servers that leave in one heartbeat.
const MAX_LEAVING_ENTRIES: usize = 8;
/// The maximum number of limits of backend servers in one heartbeat. If there are more, a random
/// sample is sent.
const MAX_LIMIT_ENTRIES: usize = 8;
/// The number of loads that take as much room as one entry of [`Heartbeat::limits`].
const LOADS_PER_LIMIT_ENTRY: usize = 2;
/// The number of loads that take as much room as [`Heartbeat::shortages`], which has some 60 bytes.
const LOADS_PER_SHORTAGES: usize = 4;

/// The maximum number of lost pools listed with one heartbeat.
const MAX_LOST_POOLS: usize = 16;
/// The number of lost pools that take as much room as a load.
const LOST_POOLS_PER_LOAD: usize = 4;
/// The number of measurements of speed that take as much room as a load.
const SPEEDS_PER_LOAD: usize = 2;

/// Publishes the daemon's state in heartbeats, and applies the state of peers.
pub struct PeerSync {
    gateway: Arc<Gateway>,
    catch_up: CatchUp,
    standby: Mutex<Standby>,
    comparison: Mutex<Comparison>,
    listing: Mutex<Listing>,
}

impl PeerSync {
    /// The state exchange of `gateway`, whose peers serve records on `port`.
    pub fn new(gateway: Arc<Gateway>, port: u16) -> Arc<Self> {
        let catch_up = CatchUp::new(Arc::clone(&gateway), port);
        Arc::new(Self {
            gateway,
            catch_up,
            standby: Mutex::default(),
            comparison: Mutex::default(),
            listing: Mutex::default(),
        })
    }

    /// Derives the source's state while this daemon does not watch it: the source is lost when no
    /// other daemon can watch it either, see [`crate::source::Outage`].
    fn update_source_state(&self, watch: Watch, now: Instant) {
        let cache = &self.gateway.cache;
        let watched = watch == Watch::Active;
        let is_lost = self.gateway.outage.lock().record_watch(watch, now);
        if watched {
            self.gateway.outage.lock().end(now);
            if let Some(outage) = cache.on_source_response(now) {
                let gone_ms = outage.as_millis() as u64;
                tracing::info!(event = "source_back", gone_ms, followed = watched);
            }
        } else if is_lost && cache.is_source_up() && cache.snapshot().environment.is_some() {
            tracing::warn!(
                event = "source_lost",
                fault = "no daemon watches the source",
                followed = watched
            );
            cache.on_source_lost(now);
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
        let shortages = gateway.decider.lock().shortages(now);
        let shortage_loads = if shortages.is_empty() { 0 } else { LOADS_PER_SHORTAGES };
        let (mut loads, leaving, mut limits, speeds, models) = {
            let mut decider = gateway.decider.lock();
            let leaving = decider.leaving().take(MAX_LEAVING_ENTRIES);
            let leaving: Vec<LeavingEntry> = leaving
                .map(|(backend_hash, incarnation)| LeavingEntry { backend_hash, incarnation })
                .collect();
            let limits: Vec<LimitEntry> = decider.limits(now).map(Into::into).collect();
            let speeds: Vec<SpeedEntry> =
                decider.speed_reports(now).into_iter().map(Into::into).collect();
            let models: Vec<ModelEntry> =
                decider.model_reports(now).into_iter().map(Into::into).collect();
            (decider.own_loads(now), leaving, limits, speeds, models)
        };
        // An entry of `leaving` takes at most as much room as a load.
        // So does a model.
        let lost_pools = gateway.decider.lock().lost_pools().count().min(MAX_LOST_POOLS);
        let max_loads = MAX_LOAD_ENTRIES
            - LOADS_PER_EVIDENCE_ENTRY * evidence.len()
            - leaving.len()
            - speeds.len().div_ceil(SPEEDS_PER_LOAD)
            - models.len()
            - lost_pools.div_ceil(LOST_POOLS_PER_LOAD)
            - shortage_loads;
        limits.shuffle(&mut rand::rng());
        let max_limits = max_loads.saturating_sub(MIN_LOAD_ENTRIES) / LOADS_PER_LIMIT_ENTRY;
        limits.truncate(max_limits.min(MAX_LIMIT_ENTRIES));
        let max_loads = max_loads - LOADS_PER_LIMIT_ENTRY * limits.len();
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
            limits,
            speeds,
            models,
            shortages,
        }
    }

    fn on_heartbeat(&self, from: IpAddr, heartbeat: &Heartbeat, now: Instant) {
        let loads: Vec<_> = heartbeat.loads.iter().copied().map(Into::into).collect();
        let speeds: Vec<_> = heartbeat.speeds.iter().copied().map(Into::into).collect();
        let models: Vec<_> = heartbeat.models.iter().copied().map(Into::into).collect();
        let mut decider = self.gateway.decider.lock();
        decider.record_peer(from, &loads, now);
        decider.record_speeds_of_peer(from, &speeds, &models, now);
        decider.record_shortages_of_peer(from, &heartbeat.shortages, now);
        drop(decider);
        for &LeavingEntry { backend_hash, incarnation } in &heartbeat.leaving {
            let mut decider = self.gateway.decider.lock();
            let server = decider.record_leaving_of_peer(backend_hash, incarnation, now);
            drop(decider);
            if let Some(server) = server {
                self.gateway.report_leaving(&server, incarnation, &from);
            }
        }
        for &entry in &heartbeat.limits {
            let (hash, report) = entry.into();
            let server = self.gateway.decider.lock().record_limit_of_peer(hash, &report, now);
            if let Some(server) = server {
                self.gateway.report_limit(&server, report.incarnation, report.limit, &from);
            }
        }
        if !heartbeat.blames.is_empty() || !heartbeat.evidence.is_empty() {
            let mut suspects = self.gateway.suspects.lock();
            suspects.merge(&heartbeat.blames, now);
            suspects.merge_evidence(&heartbeat.evidence, now);
        }
        self.catch_up.on_heartbeat(from, heartbeat, now);
    }

    fn digest(&self) -> Option<u64> {
        let is_current = self.gateway.watches_source() && !self.gateway.cache.is_suspended();
        self.gateway.cache.snapshot().digest.filter(|_| is_current)
    }

    fn on_digest(&self, heartbeat: &Heartbeat, digest: u64, now: Instant) {
        let snapshot = self.gateway.cache.snapshot();
        let Some(own) = snapshot.digest.filter(|_| snapshot.applied == heartbeat.applied) else {
            return;
        };
        let watcher = name_hash(heartbeat.host.as_str());
        self.comparison.lock().record(watcher, own == digest, now);
    }

    fn lost_pools(&self) -> LostPools {
        let decider = self.gateway.decider.lock();
        if decider.has_lost_all() {
            return LostPools::All;
        }
        let hashes = decider.lost_pools().map(|pool| name_hash(pool.as_str()));
        LostPools::Listed(hashes.take(MAX_LOST_POOLS).collect())
    }

    fn on_lost_pools(&self, from: IpAddr, lost: &LostPools, now: Instant) {
        let Some(environment) = self.gateway.cache.snapshot().environment.clone() else { return };
        let names = environment.pools().map(|pool| &pool.name);
        let pools: Vec<_> = names.filter(|name| lost.contains(name_hash(name.as_str()))).collect();
        tracing::info!(event = "peer_reach", peer = %from, lost_pools = pools.len());
        let mut decider = self.gateway.decider.lock();
        pools.into_iter().for_each(|pool| decider.doubt_pool(pool));
        drop(decider);
        self.gateway.probe_pools(now);
    }

    fn tick(&self, now: Instant) {
        let gateway = &self.gateway;
        if gateway.cache.expire(now) {
            gateway.reconfigure();
        }
        let Settings { host, zone, weight, .. } = &gateway.settings;
        let own = name_hash(host.as_str());
        let (mut members, membership, alive, uptime) = {
            let table = gateway.members.lock();
            let candidate = WatcherCandidate { host_hash: own, zone, weight: *weight };
            let role = table.role(&candidate, now);
            let delay = table.standby_delay(&candidate, now);
            gateway.set_role(self.standby.lock().delay(role, gateway.role(), delay, now));
            let watchers = table.alive(now).filter(|(_, member)| member.heartbeat.watches_source);
            let watchers = watchers.count();
            if self.comparison.lock().is_read_due(gateway.watches_source(), watchers, now) {
                let applied = gateway.cache.snapshot().applied;
                tracing::warn!(event = "records_differ", %applied);
                gateway.request_read();
            }
            if !gateway.watches_source() {
                self.update_source_state(table.watch(now), now);
            }
            let alive = table.alive(now).count();
            (table.share_holders(now), table.membership(now), alive, table.uptime(now))
        };
        if let Err(at) = members.binary_search(&own) {
            members.insert(at, own);
        }
        let share_holders = members.len();
        let mut decider = gateway.decider.lock();
        if decider.set_members(members, membership) {
            let uptime_ms = uptime.as_millis() as u64;
            tracing::info!(event = "membership", %membership, share_holders, alive, uptime_ms);
        }
        decider.expire_peers(now);
        decider.expire_notices(|server| gateway.cache.has_server(server), now);
        drop(decider);
        self.listing.lock().update(&directory::all_candidates(gateway, now));
        silence::examine_silent_servers(gateway, now);
        gateway.probe_pools(now);
    }
}
