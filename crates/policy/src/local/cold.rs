//! Shares of the request rate that a cold backend server sustains.
//!
//! All daemons see a backend server that comes back cold as the least loaded. Its rate is divided
//! among few senders, chosen by rendezvous hashing over the members, so that no agreement is needed
//! and the sum stays within the bound in every partition.

use super::affinity;

/// The bound on requests per second to one cold backend server, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Multiple of the rate that the backend server publishes.
    pub factor: f64,
    /// Requests per second on top of the multiple.
    pub slack: f64,
}

/// The fraction of the bound that is shared out. The rest covers members that other daemons have
/// not observed yet.
const USABLE_RATIO: f64 = 0.8;

impl Bound {
    /// Requests per second over all daemons, for a published rate.
    pub fn total(&self, rate: f64) -> f64 {
        rate * self.factor + self.slack
    }

    /// Requests per second that this daemon may send to a cold `server`. `own` is the hash of this
    /// daemon's name, `members` are the hashes of all share holders.
    pub fn share(&self, rate: f64, server: u32, own: u32, members: &[u32]) -> usize {
        let total = (self.total(rate) * USABLE_RATIO) as usize;
        let count = members.len().max(1);
        if count <= total {
            return total / count;
        }
        let weight = |member: u32| affinity::weight(server, u64::from(member));
        let ahead = members.iter().filter(|&&member| weight(member) > weight(own)).count();
        usize::from(ahead < total)
    }
}
