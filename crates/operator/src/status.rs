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

/// The status of all hosts that one daemon could reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The host that responded.
    pub answered_by: name::Host,
    /// Whether hosts are missing because they were not reached.
    pub partial: bool,
    /// The listed hosts that were not reached.
    pub not_reached: Vec<name::Host>,
    /// The service orders in force at the host that responded.
    pub orders: order::State,
    /// The hosts that were reached, sorted by name.
    pub hosts: Vec<Host>,
}

impl Fleet {
    /// Makes the status of the fleet out of the status of its hosts.
    pub fn from_hosts(
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

    /// The schedulers of all groups with their hosts. Schedulers without votes are omitted, because
    /// they grant no permits.
    ///
    /// A group has several schedulers during a network partition between the hosts.
    pub fn schedulers(&self) -> impl Iterator<Item = (&name::Host, &Scheduler)> {
        let hosts = self.hosts.iter();
        let all = hosts.flat_map(|host| host.schedulers.iter().map(move |one| (&host.host, one)));
        all.filter(|(_, scheduler)| scheduler.votes > 0)
    }
}

/// The status of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host.
    pub host: name::Host,
    /// The availability zone of the host.
    pub zone: name::Zone,
    /// The incarnation of its daemon, which changes with each start.
    pub incarnation: Incarnation,
    /// The address that callers use.
    pub caller_address: SocketAddr,
    /// The time since its daemon started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the daemon is ready for callers.
    pub ready: bool,
    /// Whether the daemon is leaving the fleet.
    pub leaving: bool,
    /// The document in force, if there is one.
    pub document: Option<Published>,
    /// The service orders in force.
    pub orders: Published,
    /// Whether the daemon's last read of the platform succeeded.
    pub platform: bool,
    /// The last value that was rejected because of its faults. Adopting a valid value clears the
    /// field.
    pub rejected: Option<Rejected>,
    /// The last value that had the revision in force but different content.
    pub conflict: Option<Rejected>,
    /// The number of permits in use at this daemon. Requests that wait for a permit do not count.
    pub running: u64,
    /// The traffic with the other daemons since this daemon started.
    #[serde(default)]
    pub traffic: Traffic,
    /// The schedulers that run at this daemon, one for each group.
    pub schedulers: Vec<Scheduler>,
}

/// A daemon's traffic with the other daemons. The byte counts exclude UDP and TCP headers.
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

/// A published value that was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// The kind of the value: `document` or `orders`.
    pub value: CompactString,
    /// The source that provided the value.
    pub source: CompactString,
    /// The number of all faults.
    pub fault_count: u64,
    /// The first faults only.
    pub faults: Vec<Fault>,
}

/// The identity of a published value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The revision of the value.
    pub revision: Revision,
    /// The digest of the value.
    pub digest: Digest,
}

/// The state of a group at its scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scheduler {
    /// The group that is scheduled.
    pub group: Group,
    /// The number of votes for this scheduler that count.
    pub votes: u32,
    /// The number of hosts whose votes count: those that were listed recently.
    pub listed: u32,
    /// The waiting requests by class.
    pub queues: Vec<Queue>,
    /// The backend servers of the group.
    pub backends: Vec<Backend>,
}

/// The waiting requests of one class at one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// The class of the requests.
    pub class: name::Class,
    /// The number of waiting requests.
    pub waiting: u64,
}

/// The state of a backend server at its scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The name of the backend server.
    pub backend: name::Backend,
    /// The availability zone of the backend server.
    pub zone: name::Zone,
    /// Whether the backend server is warm, and why its limit is lower if not.
    pub state: State,
    /// The number of concurrent requests that the backend server can sustain now.
    pub limit: u32,
    /// This scheduler's share of the limit.
    pub share: u32,
    /// The number of requests that this scheduler has in progress at the backend server.
    pub running: u32,
    /// The number of requests that the backend server last reported, if any.
    pub reported: Option<u32>,
}

/// The state of a backend server.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In cold start, with a reduced limit.
    #[display("cold")]
    Cold,
    /// At its full limit.
    #[display("warm")]
    Warm,
    /// Slower than the group's median, with a reduced limit.
    #[display("slow")]
    Slow,
    /// Excluded after repeated failures, except for probes.
    #[display("quarantined")]
    Quarantined,
    /// Excluded because its availability zone is out of service.
    #[display("out")]
    Out,
}

impl State {
    /// All states in the order of their declaration.
    pub const ALL: [Self; 5] = [Self::Cold, Self::Warm, Self::Slow, Self::Quarantined, Self::Out];
}
