//! Snapshots of what a daemon sees, for readers that take no lock.

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

/// A daemon that was heard of lately.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Who it is.
    pub identity: Identity,
    /// Whether it is leaving, by its own word or the platform's.
    pub leaving: bool,
    /// Whether the list of hosts has it.
    pub listed: bool,
    /// The document that it has in force.
    pub document: Stamp,
    /// The orders that it has in force.
    pub orders: Stamp,
    /// Whether it reached the platform lately.
    pub platform_reached: bool,
}

/// What a daemon sees of its cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Who the daemon itself is.
    pub identity: Identity,
    /// Whether the daemon itself is leaving, by its own word or the platform's.
    pub leaving: bool,
    /// The list of hosts in use.
    pub list: List,
    /// The peers that were heard of lately, by host.
    pub alive: Vec<Peer>,
    /// The number of hosts whose votes count.
    pub voter_count: usize,
    /// Whether the daemon itself may vote.
    pub may_vote: bool,
    /// Whether the daemon itself should watch the platform.
    pub watches_platform: bool,
}

impl View {
    /// The view of a daemon now.
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

/// The scheduler of each group from which permits may be taken.
pub type Leases = Map<Key, Lease>;
