//! Snapshots of a daemon's membership state, for readers that take no lock.

use std::time::Instant;

use hyssop_document::{collections::Map, name};

use crate::{
    core::Core,
    hosts::{self, List},
    identity::Identity,
    lease::Lease,
    rank::Key,
    wire::Stamp,
};

/// A live peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The process with its addresses.
    pub identity: Identity,
    /// Whether the peer is leaving, as advertised by it or as marked on the list of hosts.
    pub leaving: bool,
    /// Whether the peer is on the list of hosts.
    pub listed: bool,
    /// The stamp of the document in force on the peer.
    pub document: Stamp,
    /// The stamp of the service orders in force on the peer.
    pub orders: Stamp,
    /// Whether the peer's last read of the platform succeeded.
    pub platform_reached: bool,
}

/// The membership of the cell as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// The daemon's own process with its addresses.
    pub identity: Identity,
    /// Whether the daemon is leaving, by its own decision or as marked on the list of hosts.
    pub leaving: bool,
    /// The list of hosts in use.
    pub list: List,
    /// The live peers, sorted by host.
    pub alive: Vec<Peer>,
    /// The number of hosts whose votes count.
    pub voter_count: usize,
    /// Whether the daemon may vote.
    pub may_vote: bool,
    /// Whether the daemon should watch the platform.
    pub watches_platform: bool,
}

impl View {
    /// Takes a snapshot of `core`.
    pub fn of(core: &mut Core, now: Instant) -> Self {
        let list = core.members.list().clone();
        let leaving_by_list = |host: &name::Host| {
            let mut hosts = list.hosts.iter();
            hosts.any(|entry| entry.host == *host && entry.state == hosts::State::Leaving)
        };
        let mut alive: Vec<_> = core
            .members
            .alive(now)
            .map(|peer| Peer {
                identity: peer.identity.clone(),
                leaving: peer.leaving || leaving_by_list(&peer.identity.host),
                listed: list.contains(&peer.identity.host),
                document: peer.document,
                orders: peer.orders,
                platform_reached: peer.platform_reached,
            })
            .collect();
        alive.sort_by(|a, b| a.identity.host.cmp(&b.identity.host));
        Self {
            identity: core.identity().clone(),
            leaving: core.leaving() || leaving_by_list(&core.process().host),
            alive,
            voter_count: core.electorate().len(),
            may_vote: core.members.may_vote(now),
            watches_platform: core.watches_platform(now),
            list,
        }
    }
}

/// The lease for each group that has one.
pub type Leases = Map<Key, Lease>;
