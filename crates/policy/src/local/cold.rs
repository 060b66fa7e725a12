//! Shares of what a cold backend server bears.
//!
//! Answers the load pattern of a backend server that comes back cold while daemons see it as the
//! least loaded: the rate is divided among few senders, chosen by rendezvous hashing over the
//! members, so that no agreement is needed and the sum holds in every partition.

use super::affinity;

/// The bound on requests to one cold backend server in one second, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Times the rate that the backend server states.
    pub factor: f64,
    /// Requests on top.
    pub slack: f64,
}

/// The part of the bound that is handed out. The rest covers members that others do not know yet.
const USED: f64 = 0.8;

impl Bound {
    /// Requests in one second over all daemons, for a stated rate.
    pub fn total(&self, rate: f64) -> f64 {
        rate * self.factor + self.slack
    }

    /// Requests in one second that this daemon may send to a cold `server`.
    pub fn share(&self, rate: f64, server: u32, own: u32, members: &[u32]) -> usize {
        let total = (self.total(rate) * USED) as usize;
        let count = members.len().max(1);
        if count <= total {
            return total / count;
        }
        let weight = |member: u32| affinity::weight(server, u64::from(member));
        let before = members.iter().filter(|&&member| weight(member) > weight(own)).count();
        usize::from(before < total)
    }
}
