//! The share of each concurrency limit that one scheduler may use.

use serde::{Deserialize, Serialize};

/// The votes that a scheduler holds out of all listed hosts.
///
/// At most one scheduler holds a strict majority, and only that one rounds its share up. So the
/// shares of all schedulers add up to at most the limit, whatever the network partition.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{votes}/{hosts}")]
pub struct Share {
    /// The votes that the scheduler holds.
    pub votes: u32,
    /// The number of listed hosts, which have one vote each.
    pub hosts: u32,
}

impl Share {
    /// The share of a scheduler that may use every limit in full.
    pub const FULL: Self = Self { votes: 1, hosts: 1 };

    /// Whether the votes are a strict majority.
    pub fn is_majority(&self) -> bool {
        u64::from(self.votes) * 2 > u64::from(self.hosts)
    }

    /// The number of slots out of `limit` that the holder may use.
    pub fn of(&self, limit: u32) -> u32 {
        if self.hosts == 0 {
            return 0;
        }
        let votes = u64::from(self.votes.min(self.hosts));
        let hosts = u64::from(self.hosts);
        let product = u64::from(limit) * votes;
        let share = if self.is_majority() { product.div_ceil(hosts) } else { product / hosts };
        u32::try_from(share).expect("a share is at most the limit")
    }
}
