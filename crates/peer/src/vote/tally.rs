//! The scheduler's side: which votes it holds.

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

/// The hosts whose votes count: every host that was on a list in the guard window.
pub type Electorate = Set<name::Host>;

/// The votes that one scheduler process holds.
#[derive(Debug)]
pub struct Tally {
    counted_lease: Duration,
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
    /// The time at which the vote was first seen.
    first_seen: Instant,
    /// The end of the lease, reckoned from the heartbeat that the voter answered.
    expires_at: Instant,
    /// Whether the voter has reported what it runs.
    reported: bool,
}

impl HeldVote {
    fn is_settled(&self, settle: Duration, observed: Option<Instant>) -> bool {
        observed.is_some_and(|observed| observed >= self.first_seen + settle)
    }
}

impl Tally {
    /// An empty tally.
    pub fn new(timing: &Timing) -> Self {
        Self {
            counted_lease: timing.lease_duration.saturating_sub(timing.drift_margin),
            sent_heartbeats: VecDeque::new(),
            voters: Map::default(),
        }
    }

    /// Notes that the own heartbeat `sequence` is about to be sent.
    pub fn record_sent(&mut self, sequence: Sequence, now: Instant) {
        let counted = self.counted_lease;
        while self.sent_heartbeats.front().is_some_and(|(_, at)| now.duration_since(*at) > counted)
        {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back((sequence, now));
    }

    /// Takes the votes out of a voter's heartbeat. `answered` is the own heartbeat it answers.
    ///
    /// The heartbeat names every vote for this scheduler: one that is missing was withdrawn.
    /// An older or repeated heartbeat changes nothing. Returns whether a vote was withdrawn, which the
    /// voter should be told at once: it may not vote elsewhere before.
    pub fn record_votes(
        &mut self,
        voter: &Process,
        sequence: Sequence,
        answered: Option<Sequence>,
        votes: &[Vote],
        now: Instant,
    ) -> bool {
        let until =
            answered.and_then(|answered| self.sent_at(answered)).map(|at| at + self.counted_lease);
        let entry = self.voters.entry(voter.host.clone()).or_insert_with(|| Voter::new(voter));
        if entry.incarnation > voter.incarnation {
            return false;
        }
        if entry.incarnation < voter.incarnation {
            *entry = Voter::new(voter);
        }
        if sequence <= entry.last_sequence {
            return false;
        }
        entry.last_sequence = sequence;
        entry.replace(votes, until, now)
    }

    /// The time at which the own heartbeat `sequence` was sent, if a vote may still count from it.
    pub fn sent_at(&self, sequence: Sequence) -> Option<Instant> {
        let index = self.sent_heartbeats.binary_search_by_key(&sequence, |(sent, _)| *sent).ok()?;
        Some(self.sent_heartbeats[index].1)
    }

    /// Notes that the voter has reported everything that it runs of the group. Returns whether the
    /// vote that the report belongs to is there.
    pub fn record_report(&mut self, voter: &Process, vote: Vote) -> bool {
        let entry = self.voters.get_mut(&voter.host);
        let entry = entry.filter(|entry| entry.incarnation == voter.incarnation);
        let held = entry.and_then(|entry| entry.votes.get_mut(&vote.key));
        let held = held.filter(|held| held.epoch == vote.epoch);
        held.map(|held| held.reported = true).is_some()
    }

    /// Drops the votes of a host whose processes before `incarnation` have ended.
    pub fn process_ended(&mut self, host: &name::Host, incarnation: Incarnation) {
        if self.voters.get(host).is_some_and(|voter| voter.incarnation < incarnation) {
            self.voters.remove(host);
        }
    }

    /// The number of votes for `key` that count now.
    ///
    /// A vote counts once its voter has reported and every load report was asked for, at
    /// `observed`, at least `settle` after the vote came: what another scheduler granted before the
    /// vote moved is then seen.
    pub fn settled_votes(
        &self,
        key: Key,
        electorate: &Electorate,
        observed: Option<Instant>,
        settle: Duration,
        now: Instant,
    ) -> u32 {
        let reported = self.held_votes(key, electorate, now).filter(|held| held.reported);
        reported.filter(|held| held.is_settled(settle, observed)).count() as u32
    }

    /// The number of votes for `key` whose voters have reported.
    pub fn reported_votes(&self, key: Key, electorate: &Electorate, now: Instant) -> u32 {
        self.held_votes(key, electorate, now).filter(|held| held.reported).count() as u32
    }

    /// The number of votes for `key`, whether they count yet or not.
    pub fn vote_count(&self, key: Key, electorate: &Electorate, now: Instant) -> usize {
        self.held_votes(key, electorate, now).count()
    }

    /// The time at which the newest vote for `key` came.
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
    fn replace(&mut self, votes: &[Vote], until: Option<Instant>, now: Instant) -> bool {
        let mut next = Map::default();
        for vote in votes {
            let old = self.votes.get(&vote.key).filter(|held| held.epoch == vote.epoch);
            let fresh =
                HeldVote { epoch: vote.epoch, first_seen: now, expires_at: now, reported: false };
            let mut held = old.copied().unwrap_or(fresh);
            held.expires_at = until.map_or(held.expires_at, |until| until.max(held.expires_at));
            next.insert(vote.key, held);
        }
        let withdrawn = self.votes.keys().any(|key| !next.contains_key(key));
        self.votes = next;
        withdrawn
    }
}
