//! Identity of a daemon.

use std::net::SocketAddr;

use hyssop_document::{name, number::Incarnation};
use serde::{Deserialize, Serialize};

/// One run of a daemon on a host.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{host}@{incarnation}")]
pub struct Process {
    /// The host that the daemon runs on.
    pub host: name::Host,
    /// The start of the daemon on that host. A later start has a higher number.
    pub incarnation: Incarnation,
}

/// A process with its addresses, as exchanged between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host that the daemon runs on.
    pub host: name::Host,
    /// The availability zone of the host.
    pub zone: name::Zone,
    /// The start of the daemon on that host. A later start has a higher number.
    pub incarnation: Incarnation,
    /// The listen address for callers.
    pub caller_address: SocketAddr,
    /// The listen address for peers, the same for UDP and TCP.
    pub peer_address: SocketAddr,
}

impl Identity {
    /// The identity without zone and addresses.
    pub fn process(&self) -> Process {
        Process { host: self.host.clone(), incarnation: self.incarnation }
    }
}
