//! The status of the fleet.

use std::net::SocketAddr;

use compact_str::CompactString;
use hyssop_document::{
    digest::Digest,
    group::Group,
    load::Fault,
    name,
    number::{Incarnation, Revision},
    order,
};
use serde::{Deserialize, Serialize};

/// The status of the fleet, as one daemon could gather it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The host that answered.
    pub answered_by: name::Host,
    /// Whether some listed host was not reached, so that the answer has gaps.
    pub partial: bool,
    /// The listed hosts that were not reached.
    pub not_reached: Vec<name::Host>,
    /// The service orders in force at the host that answered.
    pub orders: order::State,
    /// The hosts that were reached, in the order of their names.
    pub hosts: Vec<Host>,
}

impl Fleet {
    /// Joins what the hosts said about themselves.
    pub fn join(
        answered_by: name::Host,
        orders: order::State,
        mut hosts: Vec<Host>,
        mut not_reached: Vec<name::Host>,
    ) -> Self {
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        not_reached.sort();
        let partial = !not_reached.is_empty();
        Self { answered_by, partial, not_reached, orders, hosts }
    }

    /// The groups with the hosts that schedule them. A scheduler without votes grants nothing and
    /// is left out.
    ///
    /// A group has more than one while the hosts are cut off from each other.
    pub fn schedulers(&self) -> impl Iterator<Item = (&name::Host, &Scheduler)> {
        let hosts = self.hosts.iter();
        let all = hosts.flat_map(|host| host.schedulers.iter().map(move |one| (&host.host, one)));
        all.filter(|(_, scheduler)| scheduler.votes > 0)
    }
}

/// What one host says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host.
    pub host: name::Host,
    /// The availability zone that it is in.
    pub zone: name::Zone,
    /// The run of its daemon.
    pub incarnation: Incarnation,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The time since its daemon started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether it is ready for callers.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The document in force, if there is one.
    pub document: Option<Published>,
    /// The service orders in force.
    pub orders: Published,
    /// Whether its last read of the platform worked.
    pub platform: bool,
    /// The last value that was not adopted because of its faults. A good one clears it.
    pub rejected: Option<Rejected>,
    /// The last value that came with the revision in force and another content.
    pub conflict: Option<Rejected>,
    /// The number of requests of callers that are in progress here.
    pub running: u64,
    /// What it has exchanged with the other daemons since its start.
    #[serde(default)]
    pub traffic: Traffic,
    /// The groups that it schedules.
    pub schedulers: Vec<Scheduler>,
}

/// What a daemon has exchanged with the others, without the headers of UDP and TCP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// The heartbeats sent.
    pub datagrams_sent: u64,
    /// The datagrams received that were dropped.
    pub datagrams_dropped: u64,
    /// The bytes sent over UDP.
    pub udp_sent_bytes: u64,
    /// The messages sent over TCP.
    pub messages_sent: u64,
    /// The bytes sent over TCP.
    pub tcp_sent_bytes: u64,
}

/// A value that was not adopted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// What it was: `document` or `orders`.
    pub value: CompactString,
    /// Where it came from.
    pub source: CompactString,
    /// The number of its faults.
    pub fault_count: u64,
    /// The first faults.
    pub faults: Vec<Fault>,
}

/// Which published value is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The revision.
    pub revision: Revision,
    /// The digest of the value.
    pub digest: Digest,
}

/// A group as its scheduler sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scheduler {
    /// The group.
    pub group: Group,
    /// The number of hosts that vote for this scheduler.
    pub votes: u32,
    /// The number of hosts that are listed.
    pub listed: u32,
    /// The requests that wait, by class.
    pub queues: Vec<Queue>,
    /// The backend servers of the group.
    pub backends: Vec<Backend>,
}

/// The requests of one class that wait for one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// The class.
    pub class: name::Class,
    /// The number of requests that wait.
    pub waiting: u64,
}

/// A backend server as its scheduler sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The backend server.
    pub backend: name::Backend,
    /// The availability zone that it is in.
    pub zone: name::Zone,
    /// Its state.
    pub state: State,
    /// The number of requests that it can bear now.
    pub limit: u32,
    /// The part of the limit that this scheduler may use.
    pub share: u32,
    /// The number of requests that this scheduler counts there.
    pub running: u32,
    /// The number of requests that the backend server reported last, if it did.
    pub reported: Option<u32>,
}

/// The state of a backend server.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In cold start: bears little.
    #[display("cold")]
    Cold,
    /// Bears its whole limit.
    #[display("warm")]
    Warm,
    /// Slower than the group's median: has a lower limit.
    #[display("slow")]
    Slow,
    /// Gets no work after repeated failures, except for probes.
    #[display("quarantined")]
    Quarantined,
    /// Its availability zone is out of service.
    #[display("out")]
    Out,
}

impl State {
    /// All states.
    pub const ALL: [Self; 5] = [Self::Cold, Self::Warm, Self::Slow, Self::Quarantined, Self::Out];
}
