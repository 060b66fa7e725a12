//! The joined state of membership and votes, without I/O.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, name, number::Incarnation, order};
use hyssop_policy::share::Share;

use crate::{
    hosts::{self, List},
    identity::{Identity, Process},
    lease::Lease,
    member::{AckedHeartbeat, Peer, Table},
    rank::{self, Key},
    timing::Timing,
    vote::{Electorate, Ledger, Sequence, Tally, Vote},
    wire::{self, Advertisement, Cell, Heartbeat, Stamp},
};

/// The stamps of the values that a daemon has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamps {
    /// The document.
    pub document: Stamp,
    /// The service orders.
    pub orders: Stamp,
    /// The digest over the notices.
    pub notices: u64,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Effect {
    /// Whether the heartbeat was taken in.
    pub accepted: bool,
    /// Whether a vote of this daemon moved, or one for it was withdrawn, which peers should hear of
    /// at once.
    pub votes_changed: bool,
    /// The process that the sender replaced on its host, and that has ended so.
    pub replaced: Option<Process>,
}

/// Membership, own votes and votes held of one daemon.
#[derive(Debug)]
pub struct Core {
    identity: Identity,
    process: Process,
    cell: Cell,
    started_at: Instant,
    alive_timeout: Duration,
    lease_duration: Duration,
    guard_window: Duration,
    settle_delay: Duration,
    last_round_at: Option<Instant>,
    /// What this daemon tells, and the first heartbeat that told it.
    advertisement: Option<(Sequence, Box<Advertisement>)>,
    next_sequence: Sequence,
    leaving: bool,
    platform_reached: bool,
    /// The groups that votes are cast for.
    keys: Vec<Key>,
    orders: order::State,
    electorate: Electorate,
    /// Membership.
    pub members: Table,
    /// Own votes.
    pub ledger: Ledger,
    /// Votes held.
    pub tally: Tally,
    resync: Resync,
}

/// What is open since the process itself was last stopped.
#[derive(Debug, Default)]
struct Resync {
    /// The number of times that it was stopped.
    pauses: u64,
    /// The first heartbeat after it woke, until a peer has answered that.
    awaited_ack: Option<Sequence>,
    /// The time after which an answer is no longer waited for.
    deadline: Option<Instant>,
}

impl Core {
    /// The state of a daemon that has just started.
    pub fn new(
        identity: Identity,
        cell: Cell,
        members: Table,
        timing: &Timing,
        now: Instant,
    ) -> Self {
        let me = identity.process();
        Self {
            identity,
            process: me,
            cell,
            started_at: now,
            next_sequence: Sequence(1),
            leaving: false,
            platform_reached: false,
            keys: Vec::new(),
            orders: order::State::default(),
            electorate: Electorate::default(),
            members,
            ledger: Ledger::new(timing.lease_duration),
            tally: Tally::new(timing),
            resync: Resync::default(),
            alive_timeout: timing.alive_timeout,
            lease_duration: timing.lease_duration,
            guard_window: timing.guard_window,
            settle_delay: timing.settle_delay,
            last_round_at: None,
            advertisement: None,
        }
    }

    /// Who this daemon is.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Who this daemon is, with its addresses.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether this daemon is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Marks this daemon as leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes whether the platform was reached lately.
    pub fn set_platform_reached(&mut self, reached: bool) {
        self.platform_reached = reached;
    }

    /// Whether the platform was reached lately.
    pub fn platform_reached(&self) -> bool {
        self.platform_reached
    }

    /// Sets the groups to vote for.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// Sets the service orders in force, which keep hosts from being schedulers.
    pub fn set_orders(&mut self, orders: &order::State) {
        self.orders = orders.clone();
    }

    /// Takes a list of hosts if it is newer. Returns whether it was.
    pub fn adopt_list(&mut self, list: List, now: Instant) -> bool {
        let taken = self.members.adopt_list(list, now);
        self.electorate = self.members.electorate(now);
        taken
    }

    /// The hosts whose votes count.
    pub fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    /// Begins a round of heartbeats: renews the own vote for this daemon and moves votes.
    ///
    /// The time `now` must have been read before any heartbeat of the round is sent.
    pub fn begin_round(&mut self, now: Instant) -> Sequence {
        let sequence = self.next_sequence;
        self.next_sequence = Sequence(sequence.0 + 1);
        self.last_round_at = Some(now);
        self.tally.record_sent(sequence, now);
        self.electorate = self.members.electorate(now);
        let me = self.process.clone();
        if self.resynced_pauses(now).is_some() {
            self.ledger.renew(&me, now);
        }
        self.move_votes(now);
        let votes = self.votes_for(&me, now);
        self.tally.record_votes(&me, sequence, Some(sequence), &votes, now);
        self.ledger.record_ack(&me, sequence);
        self.move_votes(now);
        sequence
    }

    /// Moves the votes to the hosts that should be scheduler now. Returns whether any moved.
    pub fn move_votes(&mut self, now: Instant) -> bool {
        let next = self.next_sequence;
        let keys = std::mem::take(&mut self.keys);
        let mut moved = false;
        for &key in &keys {
            let wanted = self.preferred_scheduler(key, now);
            moved |= self.ledger.move_vote(key, wanted.as_ref(), next, now);
        }
        self.keys = keys;
        moved
    }

    /// The process that should be the scheduler, as far as this daemon sees.
    fn preferred_scheduler(&self, key: Key, now: Instant) -> Option<Process> {
        let candidates = self.candidates(now);
        let first = rank::highest(key, candidates.keys().copied())?;
        Some(Process { host: first.clone(), incarnation: candidates[first] })
    }

    /// The hosts that may decide something: listed, alive, in service and not leaving.
    fn candidates(&self, now: Instant) -> Map<&name::Host, Incarnation> {
        let list = self.members.list();
        let mut candidates = Map::default();
        for entry in &list.hosts {
            let staying = entry.state == hosts::State::Live && self.in_service(entry);
            if !staying {
                continue;
            }
            if entry.host == self.process.host && !self.leaving {
                candidates.insert(&entry.host, self.process.incarnation);
            } else if let Some(peer) = self.candidate_peer(&entry.host, now) {
                candidates.insert(&entry.host, peer.identity.incarnation);
            }
        }
        if candidates.is_empty() && list.contains(&self.process.host) {
            candidates.insert(&self.process.host, self.process.incarnation);
        }
        candidates
    }

    fn in_service(&self, entry: &hosts::Entry) -> bool {
        !self.orders.hosts_out.contains(&entry.host) && !self.orders.zones_out.contains(&entry.zone)
    }

    fn candidate_peer(&self, host: &name::Host, now: Instant) -> Option<&Peer> {
        let peer = self.members.peer(host)?;
        // A peer that does not answer cannot count a vote.
        let answers = peer
            .acked_sent_at
            .is_some_and(|at| now.saturating_duration_since(at) <= self.lease_duration);
        (self.members.is_alive(peer, now) && answers && !peer.leaving).then_some(peer)
    }

    /// The host that decides between racing orders.
    pub fn coordinator(&self, now: Instant) -> name::Host {
        let candidates = self.candidates(now);
        let first = rank::highest(Key::coordinator(), candidates.keys().copied());
        first.unwrap_or(&self.process.host).clone()
    }

    /// The votes to send to a scheduler, if this daemon may vote.
    fn votes_for(&mut self, scheduler: &Process, now: Instant) -> Vec<Vote> {
        match self.members.may_vote(now) {
            true => self.ledger.votes(scheduler),
            false => Vec::new(),
        }
    }

    /// Notes what this daemon tells from heartbeat `sequence` on.
    fn update_advertisement(&mut self, sequence: Sequence, stamps: &Stamps, now: Instant) {
        let seasoned = self.members.has_run_guard_window(now);
        let news = Advertisement {
            zone: self.identity.zone.clone(),
            caller_address: self.identity.caller_address,
            peer_address: self.identity.peer_address,
            leaving: self.leaving,
            platform_reached: self.platform_reached,
            document: stamps.document,
            orders: stamps.orders,
            list: self.members.list_stamp(),
            voter_count: if seasoned { self.electorate.len() as u32 } else { 0 },
            notices: stamps.notices,
        };
        if self.advertisement.as_ref().is_none_or(|(_, told)| **told != news) {
            self.advertisement = Some((sequence, Box::new(news)));
        }
    }

    /// The heartbeat `sequence` for a recipient, of which nothing may be known yet.
    pub fn heartbeat(
        &mut self,
        sequence: Sequence,
        to: Option<&Process>,
        stamps: &Stamps,
        now: Instant,
    ) -> Heartbeat {
        self.update_advertisement(sequence, stamps, now);
        let votes = to.map(|process| self.votes_for(process, now)).unwrap_or_default();
        let peer = to.and_then(|process| self.members.peer(&process.host));
        let echoed = peer.and_then(|peer| peer.acked_sequence);
        let news =
            self.advertisement.as_ref().filter(|(since, _)| echoed.is_none_or(|e| e < *since));
        Heartbeat {
            version: wire::VERSION,
            cell: self.cell,
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            sequence,
            uptime_ms: self.uptime_ms(now),
            ack: peer.and_then(Peer::ack),
            lists_recipient: to.is_some_and(|to| self.members.list().contains(&to.host)),
            advertisement: news.map(|(_, news)| news.clone()),
            votes,
        }
    }

    /// The time since this daemon started, in milliseconds.
    pub fn uptime_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_millis() as u64
    }

    /// The time at which this daemon started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Takes a peer's heartbeat in.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Instant) -> Effect {
        if heartbeat.cell != self.cell {
            return Effect::default();
        }
        let before = self.members.peer(&heartbeat.host).map(|peer| peer.identity.process());
        let echo = heartbeat.ack.filter(|echo| echo.incarnation == self.process.incarnation);
        let answered = echo.map(|echo| echo.sequence);
        let answer = answered.and_then(|sequence| {
            let sent = self.tally.sent_at(sequence)?;
            Some(AckedHeartbeat { sequence, sent_at: sent })
        });
        if !self.members.record_heartbeat(heartbeat, answer, now) {
            return Effect::default();
        }
        let process = heartbeat.process();
        let replaced = before.filter(|before| before.incarnation < process.incarnation);
        if replaced.is_some() {
            self.ledger.process_ended(&process.host, process.incarnation);
        }
        let Heartbeat { sequence, votes, .. } = heartbeat;
        let withdrawn = self.tally.record_votes(&process, *sequence, answered, votes, now);
        self.ledger.renew(&process, now);
        if let Some(answered) = answered {
            self.ledger.record_ack(&process, answered);
            self.record_ack(answered);
        }
        Effect { accepted: true, votes_changed: self.move_votes(now) || withdrawn, replaced }
    }

    /// Notes that a process has ended. Returns whether own votes moved.
    pub fn process_ended(&mut self, process: &Process, now: Instant) -> bool {
        let after = Incarnation(process.incarnation.0 + 1);
        self.members.record_end(process, now);
        self.ledger.process_ended(&process.host, after);
        self.tally.process_ended(&process.host, after);
        self.move_votes(now)
    }

    /// Notes that the process itself was stopped for the `pauses`th time, and has woken.
    ///
    /// What it knows may be out of date, until a peer has answered a heartbeat sent after it.
    /// After half a guard window the list of hosts may have been missed: the right to vote is earned
    /// anew.
    pub fn resumed(&mut self, pauses: u64, now: Instant) {
        let stopped =
            self.last_round_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if stopped > self.guard_window / 2 {
            self.members.restart_guard_window(now);
        }
        let alone = self.members.list().hosts.iter().all(|entry| entry.host == self.process.host);
        let from = (!alone).then_some(self.next_sequence);
        self.resync =
            Resync { pauses, awaited_ack: from, deadline: Some(now + self.alive_timeout) };
    }

    /// The number of pauses after which the view is fresh again, or `None` while it is not.
    pub fn resynced_pauses(&self, now: Instant) -> Option<u64> {
        let Resync { pauses, awaited_ack: from, deadline: until } = self.resync;
        let waited = until.is_none_or(|until| now >= until);
        (from.is_none() || waited).then_some(pauses)
    }

    fn record_ack(&mut self, answered: Sequence) {
        if self.resync.awaited_ack.is_some_and(|from| answered >= from) {
            self.resync.awaited_ack = None;
        }
    }

    /// The share of a scheduler of this daemon.
    ///
    /// If every host votes here, and no daemon without a vote is about, then the voters' reports
    /// show everything that runs, and their votes count at once. If the processes of all others
    /// have ended, a load report that was asked for after the vote shows what they left behind.
    /// Otherwise the votes must settle. Without the newest list of hosts, or before the view is
    /// fresh again after a pause, there is no share at all.
    pub fn share(&self, key: Key, observed: Option<Instant>, now: Instant) -> Share {
        let electorate = &self.electorate;
        let Some(hosts) = self.members.voter_count(electorate, now) else {
            return Share { votes: 0, hosts: electorate.len() as u32 };
        };
        if self.members.is_list_stale(now) || self.resynced_pauses(now).is_none() {
            return Share { votes: 0, hosts };
        }
        let votes = match self.settle_delay(key, hosts, now) {
            Some(settle) => self.tally.settled_votes(key, electorate, observed, settle, now),
            None => hosts,
        };
        Share { votes, hosts }
    }

    /// The time that votes for `key` must settle. `None` if they need no load report at all.
    fn settle_delay(&self, key: Key, hosts: u32, now: Instant) -> Option<Duration> {
        if self.members.has_alive_nonvoters(&self.electorate, now) {
            return Some(self.settle_delay);
        }
        let reports = self.tally.reported_votes(key, &self.electorate, now);
        let ended = self.members.count_ended(&self.electorate);
        match hosts {
            hosts if reports == hosts => None,
            hosts if reports + ended == hosts => Some(Duration::ZERO),
            _ => Some(self.settle_delay),
        }
    }

    /// The time at which load reports may be asked for that settle the newest vote for `key`.
    pub fn settles_at(&self, key: Key, now: Instant) -> Option<Instant> {
        let newest = self.tally.newest_vote(key, &self.electorate, now)?;
        let hosts = self.members.voter_count(&self.electorate, now).unwrap_or(0);
        let settle = self.settle_delay(key, hosts, now).unwrap_or(Duration::ZERO);
        Some(newest + settle)
    }

    /// The schedulers from which permits may be taken.
    pub fn leases(&self, now: Instant) -> Map<Key, Lease> {
        let mut standings = Map::default();
        for (key, scheduler, epoch, until) in self.ledger.leases(now) {
            let start = match *scheduler == self.process {
                true => Some(self.started_at),
                false => {
                    self.members.peer(&scheduler.host).and_then(|peer| peer.earliest_start(now))
                }
            };
            let scheduler = scheduler.clone();
            standings
                .insert(key, Lease { scheduler, epoch, expires_at: until, earliest_start: start });
        }
        standings
    }

    /// Whether this daemon is one of the few that watch the platform.
    ///
    /// Those are the first [`PLATFORM_WATCHERS`] hosts by rank among the candidates.
    pub fn watches_platform(&self, now: Instant) -> bool {
        let candidates = self.candidates(now);
        let mine = rank::weight(Key::platform_watcher(), &self.process.host);
        let before =
            candidates.keys().filter(|host| rank::weight(Key::platform_watcher(), host) > mine);
        before.count() < PLATFORM_WATCHERS
    }

    /// The time since a peer was heard of, for display.
    pub fn time_since_heartbeat(&self, host: &name::Host, now: Instant) -> Option<Duration> {
        self.members.peer(host).map(|peer| now.saturating_duration_since(peer.last_seen))
    }
}

/// The number of daemons of a cell that watch the platform.
pub const PLATFORM_WATCHERS: usize = 2;
