//! Divides limits that hold over all daemons among them.
//!
//! Each daemon computes its own part from the members that it knows, without agreement. Daemons with
//! different views may use a little more than the limit together, so callers of this module leave a
//! margin. A daemon that may not know all members has no part, or a smaller one of a named limit.

use super::affinity;

/// The part of a named limit that daemons with a provisional membership use together if they reach all
/// seeds, which at most one side of a partition does. With two more sides that have none, the sum stays
/// within the half as much again that backend servers bear.
const ALL_SEEDS_RATIO: f64 = 0.9;
/// The part for daemons that reach some seeds. Up to three sides do, or daemons on the other side, which
/// did not restart, use up to all of the limit.
const SOME_SEEDS_RATIO: f64 = 0.45;
/// The part for daemons that reach no seed.
const NO_SEEDS_RATIO: f64 = 0.25;

/// How completely a daemon knows the share holders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display)]
pub enum Membership {
    /// There may be others, anywhere.
    #[default]
    #[display("partial")]
    Partial,
    /// All daemons in reach are known and have started as well, or there are none. There may be others
    /// on the other side of a partition.
    #[display("provisional, {_0}")]
    Provisional(Reach),
    /// All are known.
    #[display("converged")]
    Converged,
}

/// The seeds that a daemon can reach, itself included if it is one. Seeds are the hosts that the settings
/// of all daemons name, so that they can discover the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Reach {
    /// All of them, and all daemons in reach started at about the same time, as they do after the loss of
    /// the whole fleet.
    #[display("all seeds")]
    AllSeeds,
    /// Some of them, or the settings name none.
    #[display("some seeds")]
    SomeSeeds,
    /// None of them.
    #[display("no seeds")]
    NoSeeds,
}

impl Reach {
    fn ratio(self) -> f64 {
        match self {
            Self::AllSeeds => ALL_SEEDS_RATIO,
            Self::SomeSeeds => SOME_SEEDS_RATIO,
            Self::NoSeeds => NO_SEEDS_RATIO,
        }
    }
}

/// The daemons that share a limit, as one of them knows them.
#[derive(Debug, Clone, Copy)]
pub struct Holders<'a> {
    /// The hash of this daemon's name.
    pub own: u32,
    /// The hashes of all share holders, this daemon included.
    pub members: &'a [u32],
    /// How complete `members` is.
    pub membership: Membership,
}

impl Holders<'_> {
    /// The number of share holders, at least one.
    pub fn count(&self) -> usize {
        self.members.len().max(1)
    }

    /// This daemon's part of a limit that is divided equally.
    pub fn equal_share(&self, total: f64) -> f64 {
        match self.membership {
            Membership::Converged => total / self.count() as f64,
            Membership::Partial | Membership::Provisional(_) => 0.0,
        }
    }

    /// This daemon's part of a rate that is divided among `senders` of the share holders, or of a part of
    /// the rate with a provisional membership. Which ones these are depends on the item, so that small
    /// rates of many items don't fall to the same few.
    pub fn sender_share(&self, total: f64, senders: usize, item: u32) -> f64 {
        let senders = senders.clamp(1, self.count());
        let total = match self.membership {
            Membership::Converged => total,
            Membership::Provisional(reach) => total * reach.ratio(),
            Membership::Partial => 0.0,
        };
        if self.rank(item) < senders { total / senders as f64 } else { 0.0 }
    }

    /// The number of share holders that are preferred to this daemon for an item, by rendezvous
    /// hashing.
    pub fn rank(&self, item: u32) -> usize {
        let weight = |member: u32| affinity::weight(item, u64::from(member));
        let own = weight(self.own);
        self.members.iter().filter(|&&member| weight(member) > own).count()
    }
}
