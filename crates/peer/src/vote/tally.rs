//! The scheduler's side: the votes that this daemon holds.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use hyssop_document::{
    collections::{Map, Set},
    name,
    number::Incarnation,
};

use super::{Sequence, Vote};
use crate::{identity::Process, rank::Key, timing::Timing};

/// The hosts whose votes count: all hosts that were listed within the guard window.
pub type Electorate = Set<name::Host>;

/// The votes that one scheduler process holds.
#[derive(Debug)]
pub struct Tally {
    /// The lease duration minus the drift margin.
    counted_lease: Duration,
    /// Recent heartbeats of this daemon with their sending times, oldest first.
    sent_heartbeats: VecDeque<(Sequence, Instant)>,
    voters: Map<name::Host, Voter>,
}

#[derive(Debug)]
struct Voter {
    incarnation: Incarnation,
    last_sequence: Sequence,
    votes: Map<Key, HeldVote>,
}

#[derive(Debug, Clone, Copy)]
struct HeldVote {
    epoch: u32,
    /// The time at which the vote was first received.
    first_seen: Instant,
    /// The end of the lease, counted from the heartbeat that the voter acknowledged.
    expires_at: Instant,
    /// Whether the voter has reported its permits in use.
    reported: bool,
}

impl HeldVote {
    fn is_settled(&self, settle_delay: Duration, observed: Option<Instant>) -> bool {
        observed.is_some_and(|observed| observed >= self.first_seen + settle_delay)
    }
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(timing: &Timing) -> Self {
        Self {
            counted_lease: timing.lease_duration.saturating_sub(timing.drift_margin),
            sent_heartbeats: VecDeque::new(),
            voters: Map::default(),
        }
    }

    /// Records that heartbeat `sequence` of this daemon is about to be sent.
    pub fn record_sent(&mut self, sequence: Sequence, now: Instant) {
        let counted_lease = self.counted_lease;
        while self
            .sent_heartbeats
            .front()
            .is_some_and(|(_, at)| now.duration_since(*at) > counted_lease)
        {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back((sequence, now));
    }

    /// Records the votes in a voter's heartbeat. `acked` is the heartbeat of this daemon that it
    /// acknowledges.
    ///
    /// The heartbeat carries all votes for this scheduler; a missing one was withdrawn. An older or
    /// repeated heartbeat has no effect. Returns whether a vote was withdrawn. The withdrawal
    /// should be acknowledged at once, as the voter cannot vote for another scheduler before.
    pub fn record_votes(
        &mut self,
        voter: &Process,
        sequence: Sequence,
        acked: Option<Sequence>,
        votes: &[Vote],
        now: Instant,
    ) -> bool {
        let expires_at =
            acked.and_then(|acked| self.sent_at(acked)).map(|at| at + self.counted_lease);
        let recorded = self.voters.entry(voter.host.clone()).or_insert_with(|| Voter::new(voter));
        if recorded.incarnation > voter.incarnation {
            return false;
        }
        if recorded.incarnation < voter.incarnation {
            *recorded = Voter::new(voter);
        }
        if sequence <= recorded.last_sequence {
            return false;
        }
        recorded.last_sequence = sequence;
        recorded.replace(votes, expires_at, now)
    }

    /// The time at which heartbeat `sequence` of this daemon was sent, if a lease that counts from
    /// it may still last.
    pub fn sent_at(&self, sequence: Sequence) -> Option<Instant> {
        let index =
            self.sent_heartbeats.binary_search_by_key(&sequence, |(number, _)| *number).ok()?;
        Some(self.sent_heartbeats[index].1)
    }

    /// Records that the voter has reported all its permits in use of the group. Returns whether the
    /// vote that the report belongs to is held.
    pub fn record_report(&mut self, voter: &Process, vote: Vote) -> bool {
        let recorded = self.voters.get_mut(&voter.host);
        let recorded = recorded.filter(|recorded| recorded.incarnation == voter.incarnation);
        let held = recorded.and_then(|recorded| recorded.votes.get_mut(&vote.key));
        let held = held.filter(|held| held.epoch == vote.epoch);
        held.map(|held| held.reported = true).is_some()
    }

    /// Drops the votes of processes on `host` before `incarnation`, which have ended.
    pub fn process_ended(&mut self, host: &name::Host, incarnation: Incarnation) {
        if self.voters.get(host).is_some_and(|voter| voter.incarnation < incarnation) {
            self.voters.remove(host);
        }
    }

    /// The number of votes for `key` that count.
    ///
    /// A vote counts once its voter has reported, and load reports of all backend servers were
    /// requested at least `settle_delay` after the vote was received. Requests that another
    /// scheduler granted before the vote moved show in these reports. `observed` is the time at
    /// which the last complete round of load reports was requested.
    pub fn settled_votes(
        &self,
        key: Key,
        electorate: &Electorate,
        observed: Option<Instant>,
        settle_delay: Duration,
        now: Instant,
    ) -> u32 {
        let reported = self.held_votes(key, electorate, now).filter(|held| held.reported);
        reported.filter(|held| held.is_settled(settle_delay, observed)).count() as u32
    }

    /// The number of votes for `key` whose voters have reported.
    pub fn reported_votes(&self, key: Key, electorate: &Electorate, now: Instant) -> u32 {
        self.held_votes(key, electorate, now).filter(|held| held.reported).count() as u32
    }

    /// The number of votes held for `key`, whether they count yet or not.
    pub fn vote_count(&self, key: Key, electorate: &Electorate, now: Instant) -> usize {
        self.held_votes(key, electorate, now).count()
    }

    /// The time at which the newest vote for `key` was received.
    pub fn newest_vote(&self, key: Key, electorate: &Electorate, now: Instant) -> Option<Instant> {
        self.held_votes(key, electorate, now).map(|held| held.first_seen).max()
    }

    fn held_votes<'a>(
        &'a self,
        key: Key,
        electorate: &'a Electorate,
        now: Instant,
    ) -> impl Iterator<Item = &'a HeldVote> {
        self.voters
            .iter()
            .filter(|(host, _)| electorate.contains(*host))
            .filter_map(move |(_, voter)| voter.votes.get(&key))
            .filter(move |held| now < held.expires_at)
    }
}

impl Voter {
    fn new(process: &Process) -> Self {
        Self { incarnation: process.incarnation, last_sequence: Sequence(0), votes: Map::default() }
    }

    /// Replaces the votes. Returns whether one was withdrawn.
    fn replace(&mut self, votes: &[Vote], expires_at: Option<Instant>, now: Instant) -> bool {
        let mut next = Map::default();
        for vote in votes {
            let former = self.votes.get(&vote.key).filter(|held| held.epoch == vote.epoch);
            let new =
                HeldVote { epoch: vote.epoch, first_seen: now, expires_at: now, reported: false };
            let mut held = former.copied().unwrap_or(new);
            held.expires_at = expires_at.map_or(held.expires_at, |at| at.max(held.expires_at));
            next.insert(vote.key, held);
        }
        let withdrawn = self.votes.keys().any(|key| !next.contains_key(key));
        self.votes = next;
        withdrawn
    }
}
