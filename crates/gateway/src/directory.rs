//! The directory: selects the addresses that callers connect to.

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use hyssop_document::name::{Pool as PoolName, Zone};
use hyssop_view::{
    heartbeat::{Heartbeat, Phase, name_hash},
    member::Member,
};
use rand::{Rng, seq::IndexedRandom as _};

use crate::gateway::{Gateway, Settings};

/// The maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 16;
/// The minimum number of addresses if enough daemons are ready, so that callers who can't reach one
/// daemon have others.
const MIN_ADDRESSES: usize = 3;
/// With fewer ready daemons in the caller's availability zone, the daemons of all zones are
/// candidates.
const MIN_ZONE_CANDIDATES: usize = 2;

/// A daemon that accepts callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The daemon's availability zone.
    pub zone: Zone,
    /// Where the daemon accepts callers.
    pub address: SocketAddr,
    /// The capacity of the daemon's host, in a unit that all candidates share.
    pub weight: u16,
}

impl Candidate {
    fn of(member: &Member) -> Self {
        let Heartbeat { zone, caller_address, weight, .. } = &member.heartbeat;
        Self { zone: zone.clone(), address: *caller_address, weight: *weight }
    }
}

/// The addresses that the directory returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressList {
    /// The addresses of ready daemons.
    pub addresses: Vec<SocketAddr>,
    /// How long callers may cache the addresses.
    pub ttl: Duration,
}

/// The addresses that the directory listed last, to report changes.
#[derive(Debug, Default)]
pub struct Listing {
    listed: Vec<SocketAddr>,
}

impl Listing {
    /// Replaces the addresses, and logs those that were added and removed.
    pub(crate) fn update(&mut self, candidates: &[Candidate]) {
        let mut listed: Vec<SocketAddr> =
            candidates.iter().map(|candidate| candidate.address).collect();
        listed.sort_unstable();
        if listed == self.listed {
            return;
        }
        let missing = |from: &[SocketAddr], list: &[SocketAddr]| -> Vec<SocketAddr> {
            list.iter().copied().filter(|address| from.binary_search(address).is_err()).collect()
        };
        let added = missing(&self.listed, &listed);
        let removed = missing(&listed, &self.listed);
        tracing::info!(event = "directory", hosts = listed.len(), ?added, ?removed);
        self.listed = listed;
    }
}

/// The addresses for a caller in `zone` of the routes of `host`, or `None` if no daemon is ready.
pub fn resolve(
    gateway: &Gateway,
    host: Option<&str>,
    zone: Option<&Zone>,
    now: Instant,
) -> Option<AddressList> {
    let environment = gateway.cache.snapshot().environment.clone();
    let of_host = host
        .zip(environment.as_deref())
        .and_then(|(host, environment)| environment.pools_of_host(&host.to_ascii_lowercase()));
    let candidates = match of_host {
        Some(pools) => candidates(gateway, &pools.iter().collect::<Vec<_>>(), now),
        None => all_candidates(gateway, now),
    };
    let addresses = choose_addresses(candidates, zone, &mut rand::rng());
    let ttl = gateway.settings.directory_ttl;
    (!addresses.is_empty()).then_some(AddressList { addresses, ttl })
}

/// The daemons that callers of any route are sent to, this one included.
pub(crate) fn all_candidates(gateway: &Gateway, now: Instant) -> Vec<Candidate> {
    let environment = gateway.cache.snapshot().environment.clone();
    let pools = environment.iter().flat_map(|environment| environment.pools());
    let pools: Vec<&PoolName> = pools.map(|pool| &pool.name).collect();
    candidates(gateway, &pools, now)
}

/// The daemons that callers of these pools are sent to, this one included: of those that are ready, the
/// ones that reach the most of the pools. They are all listed if none reaches any.
fn candidates(gateway: &Gateway, pools: &[&PoolName], now: Instant) -> Vec<Candidate> {
    let hashes: Vec<u32> = pools.iter().map(|pool| name_hash(pool.as_str())).collect();
    let mut ready: Vec<(usize, Candidate)> = {
        let members = gateway.members.lock();
        let lost = |member: &Member| hashes.iter().filter(|&&hash| !member.reaches(hash)).count();
        members.ready(now).map(|member| (lost(member), Candidate::of(member))).collect()
    };
    if gateway.phase() == Phase::Ready {
        let Settings { zone, caller_address, weight, .. } = &gateway.settings;
        let lost = {
            let decider = gateway.decider.lock();
            pools.iter().filter(|pool| decider.is_lost(pool)).count()
        };
        let own = Candidate { zone: zone.clone(), address: *caller_address, weight: *weight };
        ready.push((lost, own));
    }
    keep_best(ready)
}

/// Keeps the candidates for which the fewest pools are lost.
fn keep_best(candidates: Vec<(usize, Candidate)>) -> Vec<Candidate> {
    let least = candidates.iter().map(|(lost, _)| *lost).min().unwrap_or(0);
    let best = candidates.into_iter().filter(|(lost, _)| *lost == least);
    best.map(|(_, candidate)| candidate).collect()
}

/// The peers that serve requests to a pool for this daemon, which does not reach it: where they accept
/// forwarded requests, those of the own availability zone first.
pub(crate) fn peers_for(gateway: &Gateway, pool: &PoolName, now: Instant) -> Vec<SocketAddr> {
    let hash = name_hash(pool.as_str());
    let reaching: Vec<Candidate> = {
        let members = gateway.members.lock();
        let reaching = members.ready(now).filter(|member| member.reaches(hash));
        reaching.map(Candidate::of).collect()
    };
    let chosen = choose_addresses(reaching, Some(&gateway.settings.zone), &mut rand::rng());
    let port = gateway.settings.forwarding_port;
    chosen.into_iter().map(|address| SocketAddr::new(address.ip(), port)).collect()
}

/// Some peers that accept forwarded requests, if this daemon's own links are sound.
pub(crate) fn control_peers(gateway: &Gateway, now: Instant) -> Vec<SocketAddr> {
    /// One of them may just have lost its power.
    const MAX_CONTROL_PEERS: usize = 3;
    let ready: Vec<IpAddr> = {
        let members = gateway.members.lock();
        members.ready(now).map(|member| member.heartbeat.caller_address.ip()).collect()
    };
    let chosen = ready.sample(&mut rand::rng(), MAX_CONTROL_PEERS);
    let port = gateway.settings.forwarding_port;
    chosen.map(|address| SocketAddr::new(*address, port)).collect()
}

/// Chooses addresses for a caller in `zone`.
///
/// Callers pick among the addresses of a response with equal probability, so the load matches the
/// weights if each daemon is listed with a probability in proportion to its weight. As a response
/// lists the largest daemon once at most, it lists no more daemons than the total weight divided by
/// the largest one.
pub fn choose_addresses(
    ready: Vec<Candidate>,
    zone: Option<&Zone>,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    let near: Vec<Candidate> =
        ready.iter().filter(|candidate| Some(&candidate.zone) == zone).cloned().collect();
    let from = if near.len() < MIN_ZONE_CANDIDATES { ready } else { near };
    let weight = |candidate: &Candidate| f64::from(candidate.weight.max(1));
    let max_weight = from.iter().map(weight).fold(1.0, f64::max);
    let by_weight = (from.iter().map(weight).sum::<f64>() / max_weight) as usize;
    let count = by_weight.clamp(MIN_ADDRESSES, MAX_ADDRESSES).min(from.len());
    let drawn = from.sample_weighted(random, count, weight);
    drawn.expect("weights are positive").map(|candidate| candidate.address).collect()
}
