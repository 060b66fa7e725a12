//! Leases: the time for which a daemon uses permits of the scheduler that it votes for.

use std::time::Instant;

use hyssop_policy::permit::Permit;
use serde::{Deserialize, Serialize};

use crate::identity::Process;

/// A daemon's commitment to one scheduler: until it expires, the daemon uses permits of one group
/// from this scheduler only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The scheduler that the daemon votes for.
    pub scheduler: Process,
    /// The epoch of the vote; see [`crate::vote::Vote`].
    pub epoch: u32,
    /// The end of the lease, unless the vote is renewed.
    pub expires_at: Instant,
    /// A lower bound of the scheduler's start on the local clock, once one was measured.
    pub earliest_start: Option<Instant>,
}

impl Lease {
    /// Checks that a permit was granted by this scheduler and has not expired.
    ///
    /// The age of the permit is an upper bound, as `earliest_start` is a lower bound.
    ///
    /// # Errors
    ///
    /// Returns the reason why the permit must not be used.
    pub fn check_permit(&self, permit: &Permit, now: Instant) -> Result<(), StalePermit> {
        if self.scheduler.incarnation != permit.id.scheduler || now >= self.expires_at {
            return Err(StalePermit::VoteEnded);
        }
        let earliest_start = self.earliest_start.ok_or(StalePermit::VoteEnded)?;
        let uptime_ms = now.saturating_duration_since(earliest_start).as_millis() as u64;
        match uptime_ms.saturating_sub(permit.granted_at_ms) > permit.use_timeout_ms {
            true => Err(StalePermit::Expired),
            false => Ok(()),
        }
    }
}

/// Why a permit must not be used any more. The request did not run.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::Error,
)]
pub enum StalePermit {
    /// The process was suspended and has not resynchronized with its peers yet.
    #[display("the process was suspended")]
    Paused,
    /// The time within which the permit must be used has passed.
    #[display("the permit has expired")]
    Expired,
    /// The lease of the scheduler that granted the permit has ended.
    #[display("the vote has ended")]
    VoteEnded,
    /// The availability zone of the backend server is out of service.
    #[display("the availability zone is out of service")]
    ZoneOut,
    /// The backend server is no longer in the document in force, or has another address.
    #[display("the backend server was removed")]
    Removed,
}
