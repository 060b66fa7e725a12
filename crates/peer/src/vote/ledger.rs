//! The voter's side: the votes that this daemon has cast.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, name, number::Incarnation};

use super::{Sequence, Vote};
use crate::{identity::Process, rank::Key};

/// The votes cast by one daemon. Each commits the daemon to permits of one scheduler.
#[derive(Debug)]
pub struct Ledger {
    lease_duration: Duration,
    cast_votes: Map<Key, CastVote>,
}

#[derive(Debug)]
struct CastVote {
    scheduler: Process,
    epoch: u32,
    /// The end of the lease. Until then the daemon uses permits of no other scheduler.
    expires_at: Instant,
    /// The first heartbeat of this daemon that no longer carries the vote, if it is being
    /// withdrawn.
    withdrawn_from: Option<Sequence>,
    /// Whether the lease has ended early: the scheduler acknowledged the withdrawal, or its process
    /// has ended.
    ended_early: bool,
}

impl CastVote {
    fn is_binding(&self, now: Instant) -> bool {
        !self.ended_early && now < self.expires_at
    }

    fn is_for(&self, scheduler: &Process) -> bool {
        self.scheduler == *scheduler && !self.ended_early && self.withdrawn_from.is_none()
    }
}

impl Ledger {
    /// Creates an empty ledger.
    ///
    /// A process must not send votes while votes of the former process on the same host may still
    /// count; see [`crate::member::Table::may_vote`].
    pub fn new(lease_duration: Duration) -> Self {
        Self { lease_duration, cast_votes: Map::default() }
    }

    /// Renews the leases of all votes for `scheduler` after a new heartbeat from it.
    pub fn renew(&mut self, scheduler: &Process, now: Instant) {
        for cast in self.cast_votes.values_mut().filter(|cast| cast.is_for(scheduler)) {
            cast.expires_at = cast.expires_at.max(now + self.lease_duration);
        }
    }

    /// Records that `scheduler` has acknowledged the heartbeat `sequence` of this daemon.
    ///
    /// The scheduler no longer counts a vote that was withdrawn with this or an earlier heartbeat.
    pub fn record_ack(&mut self, scheduler: &Process, sequence: Sequence) {
        for cast in self.cast_votes.values_mut().filter(|cast| cast.scheduler == *scheduler) {
            if cast.withdrawn_from.is_some_and(|first| first <= sequence) {
                cast.ended_early = true;
            }
        }
    }

    /// Records that every process on `host` before `incarnation` has ended.
    pub fn process_ended(&mut self, host: &name::Host, incarnation: Incarnation) {
        for cast in self.cast_votes.values_mut() {
            let scheduler = &cast.scheduler;
            if scheduler.host == *host && scheduler.incarnation < incarnation {
                cast.ended_early = true;
            }
        }
    }

    /// Moves the vote for `key` to `preferred`, from which a heartbeat must have been received.
    ///
    /// While a vote for another scheduler is binding, that vote is withdrawn first, beginning with
    /// heartbeat `next`. Returns whether the set of votes changed, so that heartbeats should be
    /// sent at once.
    pub fn move_vote(
        &mut self,
        key: Key,
        preferred: Option<&Process>,
        next: Sequence,
        now: Instant,
    ) -> bool {
        let Some(cast) = self.cast_votes.get_mut(&key) else {
            return preferred.is_some_and(|scheduler| self.cast_vote(key, scheduler, 0, now));
        };
        if preferred.is_some_and(|scheduler| cast.is_for(scheduler)) {
            return false;
        }
        if cast.is_binding(now) {
            let first = cast.withdrawn_from.is_none();
            cast.withdrawn_from.get_or_insert(next);
            return first;
        }
        let epoch = cast.epoch;
        match preferred {
            Some(scheduler) => self.cast_vote(key, scheduler, epoch, now),
            None => {
                cast.ended_early = true;
                false
            }
        }
    }

    fn cast_vote(&mut self, key: Key, scheduler: &Process, epoch: u32, now: Instant) -> bool {
        let cast = CastVote {
            scheduler: scheduler.clone(),
            epoch: epoch + 1,
            expires_at: now + self.lease_duration,
            withdrawn_from: None,
            ended_early: false,
        };
        self.cast_votes.insert(key, cast);
        true
    }

    /// The votes to send to `scheduler`: those that are neither withdrawn nor ended early.
    pub fn votes(&self, scheduler: &Process) -> Vec<Vote> {
        let votes = self.cast_votes.iter().filter(|(_, cast)| cast.is_for(scheduler));
        votes.map(|(&key, cast)| Vote { key, epoch: cast.epoch }).collect()
    }

    /// The scheduler whose permits for `key` may be used, and the end of the lease.
    pub fn scheduler(&self, key: Key, now: Instant) -> Option<(&Process, Instant)> {
        let cast = self.cast_votes.get(&key)?;
        let usable = cast.is_binding(now) && cast.withdrawn_from.is_none();
        usable.then_some((&cast.scheduler, cast.expires_at))
    }

    /// The votes that are neither withdrawn nor expired: key, scheduler, epoch and end of the
    /// lease.
    pub fn leases(&self, now: Instant) -> impl Iterator<Item = (Key, &Process, u32, Instant)> {
        self.cast_votes
            .iter()
            .filter(move |(_, cast)| cast.is_binding(now) && cast.withdrawn_from.is_none())
            .map(|(&key, cast)| (key, &cast.scheduler, cast.epoch, cast.expires_at))
    }
}
