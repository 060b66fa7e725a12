//! Which addresses callers use.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyssop_document::name::Zone;
use rand::seq::SliceRandom as _;

use crate::gateway::Gateway;
use hyssop_view::beat::Phase;

/// The largest number of addresses in one answer.
const MOST: usize = 16;
/// The least number of daemons of the caller's zone that are enough alone.
const ENOUGH: usize = 2;

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
    let mut ready: Vec<(Zone, SocketAddr)> = {
        let members = gateway.members.lock();
        members.ready(now).map(|m| (m.beat.zone.clone(), m.beat.callers)).collect()
    };
    if gateway.phase() == Phase::Ready {
        ready.push((gateway.settings.zone.clone(), gateway.settings.callers));
    }
    ready.shuffle(&mut rand::rng());
    let near = |entry: &&(Zone, SocketAddr)| zone.is_some_and(|zone| entry.0 == *zone);
    let mut addresses: Vec<SocketAddr> =
        ready.iter().filter(near).map(|&(_, address)| address).collect();
    if addresses.len() < ENOUGH {
        addresses = ready.into_iter().map(|(_, address)| address).collect();
    }
    addresses.truncate(MOST);
    let keep = gateway.settings.directory_time;
    (!addresses.is_empty()).then_some(Answer { addresses, keep })
}
