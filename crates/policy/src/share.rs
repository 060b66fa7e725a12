//! The part of each limit that a scheduler may use by itself.

use serde::{Deserialize, Serialize};

/// The votes that a scheduler holds out of all listed hosts.
///
/// At most one scheduler holds a strict majority, and only that one rounds up. So the shares of all
/// schedulers sum to at most the limit, whatever the partition.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{votes}/{hosts}")]
pub struct Share {
    /// The votes held.
    pub votes: u32,
    /// The listed hosts, each with one vote.
    pub hosts: u32,
}

impl Share {
    /// The whole of every limit.
    pub const FULL: Self = Self { votes: 1, hosts: 1 };

    /// Whether the votes are a strict majority.
    pub fn is_majority(&self) -> bool {
        u64::from(self.votes) * 2 > u64::from(self.hosts)
    }

    /// The part of `limit` that the holder may use.
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
