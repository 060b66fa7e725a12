//! State machine that combines membership and votes, without I/O.

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

/// The stamps of the values in force on a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamps {
    /// The stamp of the document.
    pub document: Stamp,
    /// The stamp of the service orders.
    pub orders: Stamp,
    /// The digest over the notices.
    pub notices: u64,
}

/// The effect of a received heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Effect {
    /// Whether the heartbeat was accepted: from the same cell and newer than the last one.
    pub accepted: bool,
    /// Whether a vote of this daemon moved or a vote for it was withdrawn. Peers should be sent a
    /// heartbeat at once.
    pub votes_changed: bool,
    /// The former process on the sender's host, which must have ended.
    pub replaced: Option<Process>,
}

/// Membership, votes cast and votes held of one daemon.
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
    /// The current advertisement, with the first heartbeat that carries it.
    advertisement: Option<(Sequence, Box<Advertisement>)>,
    next_sequence: Sequence,
    leaving: bool,
    platform_reached: bool,
    /// The keys of the groups that votes are cast for.
    keys: Vec<Key>,
    orders: order::State,
    electorate: Electorate,
    /// The list of hosts and the peers.
    pub members: Table,
    /// The votes that this daemon has cast.
    pub ledger: Ledger,
    /// The votes that this daemon holds as a scheduler.
    pub tally: Tally,
    resync: Resync,
}

/// Resynchronization with the peers after the process was suspended.
#[derive(Debug, Default)]
struct Resync {
    /// The number of times that the process was suspended.
    pauses: u64,
    /// The first heartbeat after the process resumed, until a peer has acknowledged it.
    awaited_ack: Option<Sequence>,
    /// The time after which the acknowledgement is no longer awaited.
    deadline: Option<Instant>,
}

impl Core {
    /// Creates the state of a daemon that has just started.
    pub fn new(
        identity: Identity,
        cell: Cell,
        members: Table,
        timing: &Timing,
        now: Instant,
    ) -> Self {
        let process = identity.process();
        Self {
            identity,
            process,
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

    /// This daemon's process.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// This daemon's process with its addresses.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether this daemon is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Marks this daemon as leaving: it is no longer a candidate for scheduler.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records whether the last read of the platform succeeded.
    pub fn set_platform_reached(&mut self, reached: bool) {
        self.platform_reached = reached;
    }

    /// Whether the last read of the platform succeeded.
    pub fn platform_reached(&self) -> bool {
        self.platform_reached
    }

    /// Sets the keys of the groups to vote for.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// Sets the service orders in force. Hosts out of service are not candidates.
    pub fn set_orders(&mut self, orders: &order::State) {
        self.orders = orders.clone();
    }

    /// Adopts a list of hosts if it is newer than the one in use. Returns whether it was.
    pub fn adopt_list(&mut self, list: List, now: Instant) -> bool {
        let adopted = self.members.adopt_list(list, now);
        self.electorate = self.members.electorate(now);
        adopted
    }

    /// The hosts whose votes count.
    pub fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    /// Begins a round of heartbeats: renews this daemon's votes for itself and moves votes.
    ///
    /// `now` must be read before any heartbeat of the round is sent, as leases count from it.
    pub fn begin_round(&mut self, now: Instant) -> Sequence {
        let sequence = self.next_sequence;
        self.next_sequence = Sequence(sequence.0 + 1);
        self.last_round_at = Some(now);
        self.tally.record_sent(sequence, now);
        self.electorate = self.members.electorate(now);
        let process = self.process.clone();
        if self.resynced_pauses(now).is_some() {
            self.ledger.renew(&process, now);
        }
        self.move_votes(now);
        let votes = self.votes_for(&process, now);
        self.tally.record_votes(&process, sequence, Some(sequence), &votes, now);
        self.ledger.record_ack(&process, sequence);
        self.move_votes(now);
        sequence
    }

    /// Moves the votes to the preferred schedulers. Returns whether any vote changed.
    pub fn move_votes(&mut self, now: Instant) -> bool {
        let next = self.next_sequence;
        let keys = std::mem::take(&mut self.keys);
        let mut moved = false;
        for &key in &keys {
            let preferred = self.preferred_scheduler(key, now);
            moved |= self.ledger.move_vote(key, preferred.as_ref(), next, now);
        }
        self.keys = keys;
        moved
    }

    /// The highest-ranked candidate for a group.
    fn preferred_scheduler(&self, key: Key, now: Instant) -> Option<Process> {
        let candidates = self.candidates(now);
        let host = rank::highest(key, candidates.keys().copied())?;
        Some(Process { host: host.clone(), incarnation: candidates[host] })
    }

    /// The hosts that may be scheduler, coordinator or watcher: listed, alive, in service and not
    /// leaving. This host alone if it is listed and no host qualifies.
    fn candidates(&self, now: Instant) -> Map<&name::Host, Incarnation> {
        let list = self.members.list();
        let mut candidates = Map::default();
        for entry in &list.hosts {
            let eligible = entry.state == hosts::State::Live && self.in_service(entry);
            if !eligible {
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
        // A peer that does not acknowledge heartbeats cannot count a vote.
        let acknowledges = peer
            .acked_sent_at
            .is_some_and(|at| now.saturating_duration_since(at) <= self.lease_duration);
        (self.members.is_alive(peer, now) && acknowledges && !peer.leaving).then_some(peer)
    }

    /// The coordinator of orders: one host applies them all, so that concurrent orders conflict.
    pub fn coordinator(&self, now: Instant) -> name::Host {
        let candidates = self.candidates(now);
        let host = rank::highest(Key::coordinator(), candidates.keys().copied());
        host.unwrap_or(&self.process.host).clone()
    }

    /// The votes to send to `scheduler`; none while this daemon may not vote.
    fn votes_for(&mut self, scheduler: &Process, now: Instant) -> Vec<Vote> {
        match self.members.may_vote(now) {
            true => self.ledger.votes(scheduler),
            false => Vec::new(),
        }
    }

    /// Updates the advertisement. A change is first sent with heartbeat `sequence`.
    fn update_advertisement(&mut self, sequence: Sequence, stamps: &Stamps, now: Instant) {
        let has_run_guard_window = self.members.has_run_guard_window(now);
        let advertisement = Advertisement {
            zone: self.identity.zone.clone(),
            caller_address: self.identity.caller_address,
            peer_address: self.identity.peer_address,
            leaving: self.leaving,
            platform_reached: self.platform_reached,
            document: stamps.document,
            orders: stamps.orders,
            list: self.members.list_stamp(),
            voter_count: if has_run_guard_window { self.electorate.len() as u32 } else { 0 },
            notices: stamps.notices,
        };
        if self.advertisement.as_ref().is_none_or(|(_, current)| **current != advertisement) {
            self.advertisement = Some((sequence, Box::new(advertisement)));
        }
    }

    /// Builds the heartbeat `sequence` for a recipient. `to` is `None` if only the recipient's
    /// address is known; the heartbeat carries no votes then.
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
        let acked = peer.and_then(|peer| peer.acked_sequence);
        let advertisement = self
            .advertisement
            .as_ref()
            .filter(|(first, _)| acked.is_none_or(|acked| acked < *first));
        Heartbeat {
            version: wire::VERSION,
            cell: self.cell,
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            sequence,
            uptime_ms: self.uptime_ms(now),
            ack: peer.and_then(Peer::ack),
            lists_recipient: to.is_some_and(|to| self.members.list().contains(&to.host)),
            advertisement: advertisement.map(|(_, advertisement)| advertisement.clone()),
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

    /// Processes a peer's heartbeat.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Instant) -> Effect {
        if heartbeat.cell != self.cell {
            return Effect::default();
        }
        let former = self.members.peer(&heartbeat.host).map(|peer| peer.identity.process());
        let ack = heartbeat.ack.filter(|ack| ack.incarnation == self.process.incarnation);
        let acked_sequence = ack.map(|ack| ack.sequence);
        let acked = acked_sequence.and_then(|sequence| {
            let sent_at = self.tally.sent_at(sequence)?;
            Some(AckedHeartbeat { sequence, sent_at })
        });
        if !self.members.record_heartbeat(heartbeat, acked, now) {
            return Effect::default();
        }
        let process = heartbeat.process();
        let replaced = former.filter(|former| former.incarnation < process.incarnation);
        if replaced.is_some() {
            self.ledger.process_ended(&process.host, process.incarnation);
        }
        let Heartbeat { sequence, votes, .. } = heartbeat;
        let withdrawn = self.tally.record_votes(&process, *sequence, acked_sequence, votes, now);
        self.ledger.renew(&process, now);
        if let Some(acked_sequence) = acked_sequence {
            self.ledger.record_ack(&process, acked_sequence);
            self.record_ack(acked_sequence);
        }
        Effect { accepted: true, votes_changed: self.move_votes(now) || withdrawn, replaced }
    }

    /// Records that a process has ended. Returns whether any vote of this daemon moved.
    pub fn process_ended(&mut self, process: &Process, now: Instant) -> bool {
        let next = Incarnation(process.incarnation.0 + 1);
        self.members.record_end(process, now);
        self.ledger.process_ended(&process.host, next);
        self.tally.process_ended(&process.host, next);
        self.move_votes(now)
    }

    /// Records that this process has resumed after it was suspended for the `pauses`th time.
    ///
    /// Its state may be out of date until a peer acknowledges a heartbeat sent after the pause. In
    /// a pause of more than half a guard window a list of hosts may have been missed: the guard
    /// window starts again, and with it the wait for the right to vote.
    pub fn resumed(&mut self, pauses: u64, now: Instant) {
        let pause =
            self.last_round_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if pause > self.guard_window / 2 {
            self.members.restart_guard_window(now);
        }
        let alone = self.members.list().hosts.iter().all(|entry| entry.host == self.process.host);
        let awaited_ack = (!alone).then_some(self.next_sequence);
        self.resync = Resync { pauses, awaited_ack, deadline: Some(now + self.alive_timeout) };
    }

    /// The number of pauses that this daemon has resynchronized after, or `None` while it waits for
    /// an acknowledgement.
    pub fn resynced_pauses(&self, now: Instant) -> Option<u64> {
        let Resync { pauses, awaited_ack, deadline } = self.resync;
        let timed_out = deadline.is_none_or(|deadline| now >= deadline);
        (awaited_ack.is_none() || timed_out).then_some(pauses)
    }

    fn record_ack(&mut self, acked: Sequence) {
        if self.resync.awaited_ack.is_some_and(|awaited| acked >= awaited) {
            self.resync.awaited_ack = None;
        }
    }

    /// The share of this daemon's scheduler for `key`. `observed` is the time at which the last
    /// complete round of load reports was requested.
    ///
    /// If every host votes for this daemon and no daemon without a vote is alive, the voters'
    /// reports cover all running requests, and their votes count at once. If the processes of all
    /// other hosts have ended, a load report requested after the vote shows the requests that they
    /// left running. Otherwise the votes must settle. The share is empty while the number of voters
    /// is unknown, while a peer uses a newer list of hosts, and after a pause until the daemon has
    /// resynchronized.
    pub fn share(&self, key: Key, observed: Option<Instant>, now: Instant) -> Share {
        let electorate = &self.electorate;
        let Some(hosts) = self.members.voter_count(electorate, now) else {
            return Share { votes: 0, hosts: electorate.len() as u32 };
        };
        if self.members.is_list_stale(now) || self.resynced_pauses(now).is_none() {
            return Share { votes: 0, hosts };
        }
        let votes = match self.settle_delay(key, hosts, now) {
            Some(delay) => self.tally.settled_votes(key, electorate, observed, delay, now),
            None => hosts,
        };
        Share { votes, hosts }
    }

    /// The settle delay of votes for `key`. `None` if they count without any load report.
    fn settle_delay(&self, key: Key, hosts: u32, now: Instant) -> Option<Duration> {
        if self.members.has_alive_nonvoters(&self.electorate, now) {
            return Some(self.settle_delay);
        }
        let reported = self.tally.reported_votes(key, &self.electorate, now);
        let ended = self.members.count_ended(&self.electorate);
        match hosts {
            hosts if reported == hosts => None,
            hosts if reported + ended == hosts => Some(Duration::ZERO),
            _ => Some(self.settle_delay),
        }
    }

    /// The earliest time for requesting load reports that settle the newest vote for `key`. `None`
    /// if there is no vote.
    pub fn settles_at(&self, key: Key, now: Instant) -> Option<Instant> {
        let newest = self.tally.newest_vote(key, &self.electorate, now)?;
        let hosts = self.members.voter_count(&self.electorate, now).unwrap_or(0);
        let delay = self.settle_delay(key, hosts, now).unwrap_or(Duration::ZERO);
        Some(newest + delay)
    }

    /// The leases that are in effect.
    pub fn leases(&self, now: Instant) -> Map<Key, Lease> {
        let mut leases = Map::default();
        for (key, scheduler, epoch, expires_at) in self.ledger.leases(now) {
            let earliest_start = match *scheduler == self.process {
                true => Some(self.started_at),
                false => {
                    self.members.peer(&scheduler.host).and_then(|peer| peer.earliest_start(now))
                }
            };
            let scheduler = scheduler.clone();
            leases.insert(key, Lease { scheduler, epoch, expires_at, earliest_start });
        }
        leases
    }

    /// Whether this daemon should watch the platform: fewer than [`PLATFORM_WATCHERS`] candidates
    /// rank higher.
    pub fn watches_platform(&self, now: Instant) -> bool {
        let candidates = self.candidates(now);
        let own_weight = rank::weight(Key::platform_watcher(), &self.process.host);
        let higher = candidates
            .keys()
            .filter(|host| rank::weight(Key::platform_watcher(), host) > own_weight);
        higher.count() < PLATFORM_WATCHERS
    }

    /// The time since the last heartbeat of a peer, for display.
    pub fn time_since_heartbeat(&self, host: &name::Host, now: Instant) -> Option<Duration> {
        self.members.peer(host).map(|peer| now.saturating_duration_since(peer.last_seen))
    }
}

/// The number of daemons in a cell that watch the platform.
pub const PLATFORM_WATCHERS: usize = 2;
