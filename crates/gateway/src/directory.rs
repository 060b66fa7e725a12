//! Which addresses callers use.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyssop_document::name::Zone;
use hyssop_view::heartbeat::{Heartbeat, Phase};
use rand::{Rng, seq::IndexedRandom as _};

use crate::gateway::{Gateway, Settings};

/// The largest number of addresses in one answer.
const MOST: usize = 16;
/// The least number, so that callers who can't reach one have others.
const LEAST: usize = 3;
/// The least number of daemons of the caller's zone that are enough alone.
const ENOUGH: usize = 2;

/// A daemon that takes callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers connect.
    pub address: SocketAddr,
    /// What it can carry, as a multiple of any unit.
    pub weight: u16,
}

/// An answer of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Where callers may connect.
    pub addresses: Vec<SocketAddr>,
    /// How long they may keep the answer.
    pub keep: Duration,
}

/// The addresses for callers of a zone, or `None` if no daemon takes callers.
pub fn resolve(gateway: &Gateway, zone: Option<&Zone>, now: Instant) -> Option<Answer> {
    let mut ready: Vec<Entry> = {
        let members = gateway.members.lock();
        let heartbeats = members.ready(now).map(|member| &member.heartbeat);
        let entry = |heartbeat: &Heartbeat| Entry {
            zone: heartbeat.zone.clone(),
            address: heartbeat.caller_address,
            weight: heartbeat.weight,
        };
        heartbeats.map(entry).collect()
    };
    if gateway.phase() == Phase::Ready {
        let Settings { zone, caller_address, weight, .. } = &gateway.settings;
        ready.push(Entry { zone: zone.clone(), address: *caller_address, weight: *weight });
    }
    let addresses = choose(ready, zone, &mut rand::rng());
    let keep = gateway.settings.directory_time;
    (!addresses.is_empty()).then_some(Answer { addresses, keep })
}

/// Chooses addresses for a caller of `zone`.
///
/// Answers the load pattern of hosts of unequal strength: callers pick any address of an answer with
/// the same chance, so each daemon is named as often as its weight asks. For that an answer names no
/// more daemons than the strongest one can be named in each time.
pub fn choose(ready: Vec<Entry>, zone: Option<&Zone>, random: &mut impl Rng) -> Vec<SocketAddr> {
    let near: Vec<Entry> =
        ready.iter().filter(|entry| Some(&entry.zone) == zone).cloned().collect();
    let from = if near.len() < ENOUGH { ready } else { near };
    let weight = |entry: &Entry| f64::from(entry.weight.max(1));
    let strongest = from.iter().map(weight).fold(1.0, f64::max);
    let by_weight = (from.iter().map(weight).sum::<f64>() / strongest) as usize;
    let count = by_weight.clamp(LEAST, MOST).min(from.len());
    let drawn = from.sample_weighted(random, count, weight);
    drawn.expect("weights are positive").map(|entry| entry.address).collect()
}
