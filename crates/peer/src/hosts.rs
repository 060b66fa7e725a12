//! The platform's list of hosts.

use std::net::SocketAddr;

use compact_str::CompactString;
use hyssop_document::{collections::Set, name, number::Revision};
use serde::{Deserialize, Serialize};

use crate::{timing::MAX_CELL_HOSTS, wire::Stamp};

/// The state of a host on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is in operation.
    #[display("live")]
    Live,
    /// The host is about to be removed.
    #[display("leaving")]
    Leaving,
}

/// One listed host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The host.
    pub host: name::Host,
    /// The availability zone of the host.
    pub zone: name::Zone,
    /// The listen address for peers of the host's daemon.
    pub peer_address: SocketAddr,
    /// The state on the platform.
    pub state: State,
}

/// One revision of the list of hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The platform's index of the value.
    #[serde(default)]
    pub revision: Revision,
    /// The listed hosts, each at most once; see [`List::check`].
    pub hosts: Vec<Entry>,
}

impl List {
    /// The revision with an empty digest.
    ///
    /// The platform numbers its writes, so a revision has only one content. A digest would differ
    /// between daemons: each may use a different address for the same host.
    pub fn stamp(&self) -> Stamp {
        Stamp { revision: self.revision, ..Stamp::NONE }
    }

    /// Whether `host` is listed, in whatever state.
    pub fn contains(&self, host: &name::Host) -> bool {
        self.hosts.iter().any(|entry| entry.host == *host)
    }

    /// Checks the number of hosts and that no host is listed twice.
    ///
    /// # Errors
    ///
    /// Returns a description of the first violation.
    pub fn check(&self) -> Result<(), CompactString> {
        if self.hosts.len() > MAX_CELL_HOSTS {
            let count = self.hosts.len();
            return Err(format!("{count} hosts, at most {MAX_CELL_HOSTS} are allowed").into());
        }
        let mut seen = Set::default();
        match self.hosts.iter().find(|entry| !seen.insert(&entry.host)) {
            Some(duplicate) => Err(format!("host {} is listed twice", duplicate.host).into()),
            None => Ok(()),
        }
    }
}
