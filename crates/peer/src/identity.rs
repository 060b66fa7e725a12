//! Who a daemon is.

use std::net::SocketAddr;

use hyssop_document::{name, number::Incarnation};
use serde::{Deserialize, Serialize};

/// One run of a daemon on a host.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{host}@{incarnation}")]
pub struct Process {
    /// The host.
    pub host: name::Host,
    /// The run of the daemon on that host.
    pub incarnation: Incarnation,
}

/// What a daemon tells its peers about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host.
    pub host: name::Host,
    /// The availability zone of the host.
    pub zone: name::Zone,
    /// The run of the daemon on that host.
    pub incarnation: Incarnation,
    /// The address on which it serves callers.
    pub caller_address: SocketAddr,
    /// The address on which it serves peers, the same for UDP and for TCP.
    pub peer_address: SocketAddr,
}

impl Identity {
    /// The run of the daemon, without its addresses.
    pub fn process(&self) -> Process {
        Process { host: self.host.clone(), incarnation: self.incarnation }
    }
}
