//! Snapshots of what a daemon sees, for readers that take no lock.

use std::time::Instant;

use hyssop_document::{collections::Map, name};

use crate::{
    core::Core,
    hosts::{self, List},
    identity::Identity,
    rank::Key,
    standing::Standing,
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
    pub platform: bool,
}

/// What a daemon sees of its cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Who the daemon itself is.
    pub me: Identity,
    /// Whether the daemon itself is leaving, by its own word or the platform's.
    pub leaving: bool,
    /// The list of hosts in use.
    pub list: List,
    /// The peers that were heard of lately, by host.
    pub alive: Vec<Peer>,
    /// The number of hosts whose votes count.
    pub voters: usize,
    /// Whether the daemon itself may vote.
    pub votes: bool,
    /// Whether the daemon itself should watch the platform.
    pub platform_duty: bool,
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
                platform: peer.platform,
            })
            .collect();
        alive.sort_by(|a, b| a.identity.host.cmp(&b.identity.host));
        Self {
            me: core.identity().clone(),
            leaving: core.leaving() || leaving_by_list(&core.me().host),
            alive,
            voters: core.electorate().len(),
            votes: core.members.entitled(now),
            platform_duty: core.platform_duty(now),
            list,
        }
    }
}

/// The scheduler of each group from which permits may be taken.
pub type Standings = Map<Key, Standing>;
