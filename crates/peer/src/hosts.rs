//! The platform's list of hosts.

use std::net::SocketAddr;

use compact_str::CompactString;
use hyssop_document::{collections::Set, name, number::Revision};
use serde::{Deserialize, Serialize};

use crate::{timing::MAX_CELL_HOSTS, wire::Stamp};

/// What the platform says about a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is there.
    #[display("live")]
    Live,
    /// The host is about to be taken away.
    #[display("leaving")]
    Leaving,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The address on which its daemon serves peers.
    pub peer_address: SocketAddr,
    /// What the platform says about it.
    pub state: State,
}

/// The list of hosts as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The revision: the platform's index of the value.
    #[serde(default)]
    pub revision: Revision,
    /// The hosts.
    pub hosts: Vec<Entry>,
}

impl List {
    /// The revision, without a digest.
    ///
    /// The platform numbers its writes, so that a revision has one content. Daemons may reach a host
    /// at different addresses, so that their lists of one revision need not be the same bytes.
    pub fn stamp(&self) -> Stamp {
        Stamp { revision: self.revision, ..Stamp::NONE }
    }

    /// Whether a host is on the list.
    pub fn contains(&self, host: &name::Host) -> bool {
        self.hosts.iter().any(|entry| entry.host == *host)
    }

    /// Checks that the list is bounded and names no host twice.
    ///
    /// # Errors
    ///
    /// Says what is wrong.
    pub fn check(&self) -> Result<(), CompactString> {
        if self.hosts.len() > MAX_CELL_HOSTS {
            let count = self.hosts.len();
            return Err(format!("{count} hosts, at most {MAX_CELL_HOSTS} are allowed").into());
        }
        let mut seen = Set::default();
        match self.hosts.iter().find(|entry| !seen.insert(&entry.host)) {
            Some(twice) => Err(format!("host {} is listed twice", twice.host).into()),
            None => Ok(()),
        }
    }
}
