//! Status of daemons, for operators.

use compact_str::CompactString;
use hyssop_document::{group::Group, name, order};
use hyssop_policy::status::Status as Scheduler;
use serde::{Deserialize, Serialize};

use crate::{current::Rejection, identity::Identity, traffic::Traffic, wire::Stamp};

/// The status of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The reporting process.
    pub identity: Identity,
    /// The time since the start of the daemon, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the daemon has queried its peers and has a document.
    pub ready: bool,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// Whether the daemon may vote.
    pub may_vote: bool,
    /// Whether the daemon's last read of the platform succeeded.
    pub platform_reached: bool,
    /// Whether the daemon is one of those that watch the platform.
    pub watches_platform: bool,
    /// The stamp of the document in force.
    pub document: Stamp,
    /// The origin of the document in force.
    pub document_source: Option<CompactString>,
    /// The service orders in force.
    pub orders: order::State,
    /// The stamp of the list of hosts in use.
    pub list: Stamp,
    /// The last invalid document, if no document was adopted since.
    pub rejection: Option<Rejection>,
    /// The last conflict of two contents for one revision.
    pub conflict: Option<Rejection>,
    /// The hosts of the live peers.
    pub alive: Vec<name::Host>,
    /// The hosts on the list in use.
    pub listed: Vec<name::Host>,
    /// The scheduler of each group whose permits the daemon uses.
    pub schedulers: Vec<GroupScheduler>,
    /// The states of the schedulers that run in this process.
    pub groups: Vec<Scheduler>,
    /// The number of permits in use.
    pub running: u64,
    /// The traffic with peers since the start of the daemon.
    pub traffic: Traffic,
}

/// The scheduler whose permits a daemon uses for a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupScheduler {
    /// The group that the scheduler serves.
    pub group: Group,
    /// The host of the scheduler. `None` if the daemon holds no lease.
    pub scheduler: Option<name::Host>,
}

/// The status of the cell, as far as one daemon reaches it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The daemons that responded, sorted by host.
    pub reached: Vec<Status>,
    /// The listed or live hosts that did not respond.
    pub not_reached: Vec<name::Host>,
}
