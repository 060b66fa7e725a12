//! The state of daemons, for operators.

use compact_str::CompactString;
use hyssop_document::{group::Group, name, order};
use hyssop_policy::status::Status as Scheduler;
use serde::{Deserialize, Serialize};

use crate::{current::Rejection, identity::Identity, traffic::Traffic, wire::Stamp};

/// The state of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Who it is.
    pub identity: Identity,
    /// The time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether it is ready for callers.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it may vote.
    pub may_vote: bool,
    /// Whether it reached the platform lately.
    pub platform_reached: bool,
    /// Whether it is one of the daemons that watch the platform.
    pub watches_platform: bool,
    /// The document in force.
    pub document: Stamp,
    /// Where it has the document from.
    pub document_source: Option<CompactString>,
    /// The orders in force.
    pub orders: order::State,
    /// The list of hosts in use.
    pub list: Stamp,
    /// The last offer that was not valid.
    pub rejection: Option<Rejection>,
    /// The last value that had a revision in force and another content.
    pub conflict: Option<Rejection>,
    /// The daemons that it hears of.
    pub alive: Vec<name::Host>,
    /// The hosts that are listed.
    pub listed: Vec<name::Host>,
    /// The scheduler of each group that it votes for.
    pub schedulers: Vec<GroupScheduler>,
    /// The schedulers that it runs.
    pub groups: Vec<Scheduler>,
    /// The permits that it has in use.
    pub running: u64,
    /// What it exchanged with its peers since its start.
    pub traffic: Traffic,
}

/// The scheduler that a daemon takes permits of a group from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupScheduler {
    /// The group.
    pub group: Group,
    /// The scheduler's host.
    pub scheduler: Option<name::Host>,
}

/// The state of the whole fleet, as far as one daemon reaches it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The daemons that answered.
    pub reached: Vec<Status>,
    /// The hosts that are listed or were alive, and did not answer.
    pub not_reached: Vec<name::Host>,
}
