//! The scheduler that a vote stands for, and the use of its permits.

use std::time::Instant;

use hyssop_policy::permit::Permit;
use serde::{Deserialize, Serialize};

use crate::identity::Process;

/// The scheduler from which permits for a group may be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The scheduler.
    pub scheduler: Process,
    /// The epoch of the vote.
    pub epoch: u32,
    /// The end of the promise.
    pub expires_at: Instant,
    /// The time on the own clock before which the scheduler had not started, once that is known.
    pub earliest_start: Option<Instant>,
}

impl Lease {
    /// Checks that a permit was granted by this scheduler and is to be used now.
    ///
    /// Its age is taken at the most that it can be.
    ///
    /// # Errors
    ///
    /// Says why the permit must not be used.
    pub fn check_permit(&self, permit: &Permit, now: Instant) -> Result<(), StalePermit> {
        if self.scheduler.incarnation != permit.id.scheduler || now >= self.expires_at {
            return Err(StalePermit::VoteEnded);
        }
        let start = self.earliest_start.ok_or(StalePermit::VoteEnded)?;
        let uptime_ms = now.saturating_duration_since(start).as_millis() as u64;
        match uptime_ms.saturating_sub(permit.granted_at_ms) > permit.use_within_ms {
            true => Err(StalePermit::Expired),
            false => Ok(()),
        }
    }
}

/// Why a permit may not be used any more. The request did not run.
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
    /// The process was stopped and its view is not fresh yet.
    #[display("the process was stopped")]
    Paused,
    /// The time within which the permit must be used has passed.
    #[display("the permit has expired")]
    Expired,
    /// The vote for the scheduler that granted it has ended.
    #[display("the vote has ended")]
    VoteEnded,
    /// The availability zone of the backend server is out of service.
    #[display("the availability zone is out of service")]
    ZoneOut,
    /// The document in force does not have the backend server at this address any more.
    #[display("the backend server was removed")]
    Removed,
}
