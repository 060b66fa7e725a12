//! Votes: leases by which each daemon takes permits for a group from one scheduler alone.
//!
//! [`Ledger`] is the voter's side, [`Tally`] the scheduler's. Both are plain state machines with the
//! time passed in. A vote is renewed by each heartbeat that answers a heartbeat of the scheduler.
//! The scheduler counts it from the time at which it sent the heartbeat that was answered; the
//! voter promises it from the time at which it received that heartbeat, which is later. So a vote
//! ends at the scheduler before it ends at the voter, whatever the network does.

mod ledger;
mod tally;

pub use ledger::Ledger;
pub use tally::{Electorate, Tally};

use serde::{Deserialize, Serialize};

use crate::rank::Key;

/// A vote as a heartbeat carries it to the scheduler that it is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The group.
    pub key: Key,
    /// Counts the moves of the voter's vote for this group, so that reports can be matched.
    pub epoch: u32,
}

/// The number of a heartbeat of one process. Later heartbeats have higher numbers.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
pub struct Sequence(pub u64);
