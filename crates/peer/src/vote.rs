//! Votes: leases that bind each daemon to the permits of one scheduler per group.
//!
//! [`Ledger`] is the voter's side, [`Tally`] the scheduler's. Both are state machines that receive
//! the time as an argument. A vote is renewed by each heartbeat that acknowledges a heartbeat
//! of the scheduler. The scheduler counts the lease from the time at which it sent the acknowledged
//! heartbeat; the voter counts it from the time at which it received that heartbeat, which is
//! later. So a vote ends at the scheduler before it ends at the voter, whatever the delay of the
//! network.

mod ledger;
mod tally;

pub use ledger::Ledger;
pub use tally::{Electorate, Tally};

use serde::{Deserialize, Serialize};

use crate::rank::Key;

/// A vote as a heartbeat carries it from the voter to the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The group that the vote is for.
    pub key: Key,
    /// Incremented with each move of the voter's vote for this group. Matches reports to votes.
    pub epoch: u32,
}

/// The number of a heartbeat, ascending within one process.
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
