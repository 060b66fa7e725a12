//! Shares of the request rate that a cold backend server sustains.
//!
//! All daemons see a backend server that comes back cold as the least loaded. Its rate is divided
//! among few senders, chosen by rendezvous hashing over the members, so that no agreement is needed
//! and the sum stays within the bound in every partition.

use super::holders::Holders;

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

    /// Requests per second that this daemon may send to a cold `server`, a hash of its name.
    pub fn share(&self, rate: f64, server: u32, holders: &Holders<'_>) -> usize {
        let total = (self.total(rate) * USABLE_RATIO) as usize;
        if total == 0 {
            return 0;
        }
        holders.sender_share(total as f64, total, server) as usize
    }
}
