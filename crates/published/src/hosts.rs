//! The platform's list of hosts.

use std::net::SocketAddr;

use hyssop_document::name;
use serde::{Deserialize, Serialize};

/// The state of a host as the platform lists it. It may lag behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// A host on which a daemon runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The host's name, unique in the list.
    pub host: name::Host,
    /// The availability zone.
    pub zone: name::Zone,
    /// The address at which the daemon serves its peers.
    pub peer_address: SocketAddr,
    /// Whether the host is in service.
    pub state: State,
}

/// The platform's list of hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// The hosts, each listed once.
    pub hosts: Vec<Host>,
}

/// Why a list of hosts was rejected.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The bytes are not valid JSON of a [`List`].
    #[display("the list of hosts is malformed: {_0}")]
    Malformed(serde_json::Error),
    /// Two entries have the same name.
    #[display("the list of hosts names {_0} twice")]
    Duplicate(#[error(not(source))] name::Host),
}

/// Parses a list of hosts from JSON.
///
/// # Errors
///
/// See [`Error`].
pub fn parse(bytes: &[u8]) -> Result<List, Error> {
    let list: List = serde_json::from_slice(bytes).map_err(Error::Malformed)?;
    let mut seen = hyssop_document::collections::Set::default();
    match list.hosts.iter().find(|entry| !seen.insert(&entry.host)) {
        Some(entry) => Err(Error::Duplicate(entry.host.clone())),
        None => Ok(list),
    }
}
