//! The joined state of membership and votes, without I/O.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, name, number::Incarnation, order};
use hyssop_policy::share::Share;

use crate::{
    hosts::{self, List},
    identity::{Identity, Process},
    member::{Answer, Peer, Table},
    rank::{self, Key},
    standing::Standing,
    timing::Timing,
    vote::{Electorate, Ledger, Sequence, Tally, Vote},
    wire::{self, Cell, Heartbeat, News, Stamp},
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
    pub moved: bool,
    /// The process that the sender replaced on its host, and that has ended so.
    pub replaced: Option<Process>,
}

/// Membership, own votes and votes held of one daemon.
#[derive(Debug)]
pub struct Core {
    identity: Identity,
    me: Process,
    cell: Cell,
    started: Instant,
    alive: Duration,
    lease: Duration,
    guard: Duration,
    settle: Duration,
    last_round: Option<Instant>,
    /// What this daemon tells, and the first heartbeat that told it.
    news: Option<(Sequence, Box<News>)>,
    next: Sequence,
    leaving: bool,
    platform: bool,
    /// The groups that votes are cast for.
    keys: Vec<Key>,
    out: order::State,
    electorate: Electorate,
    /// Membership.
    pub members: Table,
    /// Own votes.
    pub ledger: Ledger,
    /// Votes held.
    pub tally: Tally,
    refresh: Refresh,
}

/// What is open since the process itself was last stopped.
#[derive(Debug, Default)]
struct Refresh {
    /// The number of times that it was stopped.
    pauses: u64,
    /// The first heartbeat after it woke, until a peer has answered that.
    from: Option<Sequence>,
    /// The time after which an answer is no longer waited for.
    until: Option<Instant>,
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
            me,
            cell,
            started: now,
            next: Sequence(1),
            leaving: false,
            platform: false,
            keys: Vec::new(),
            out: order::State::default(),
            electorate: Electorate::default(),
            members,
            ledger: Ledger::new(timing.lease),
            tally: Tally::new(timing),
            refresh: Refresh::default(),
            alive: timing.alive,
            lease: timing.lease,
            guard: timing.guard,
            settle: timing.settle,
            last_round: None,
            news: None,
        }
    }

    /// Who this daemon is.
    pub fn me(&self) -> &Process {
        &self.me
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
    pub fn set_platform(&mut self, reached: bool) {
        self.platform = reached;
    }

    /// Whether the platform was reached lately.
    pub fn platform(&self) -> bool {
        self.platform
    }

    /// Sets the groups to vote for.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// Sets the service orders in force, which keep hosts from being schedulers.
    pub fn set_orders(&mut self, orders: &order::State) {
        self.out = orders.clone();
    }

    /// Takes a list of hosts if it is newer. Returns whether it was.
    pub fn set_list(&mut self, list: List, now: Instant) -> bool {
        let taken = self.members.set_list(list, now);
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
    pub fn begin(&mut self, now: Instant) -> Sequence {
        let sequence = self.next;
        self.next = Sequence(sequence.0 + 1);
        self.last_round = Some(now);
        self.tally.sent(sequence, now);
        self.electorate = self.members.electorate(now);
        let me = self.me.clone();
        if self.refreshed(now).is_some() {
            self.ledger.heard(&me, now);
        }
        self.move_votes(now);
        let votes = self.votes_for(&me, now);
        self.tally.heard(&me, sequence, Some(sequence), &votes, now);
        self.ledger.echoed(&me, sequence);
        self.move_votes(now);
        sequence
    }

    /// Moves the votes to the hosts that should be scheduler now. Returns whether any moved.
    pub fn move_votes(&mut self, now: Instant) -> bool {
        let next = self.next;
        let keys = std::mem::take(&mut self.keys);
        let mut moved = false;
        for &key in &keys {
            let wanted = self.wanted(key, now);
            moved |= self.ledger.want(key, wanted.as_ref(), next, now);
        }
        self.keys = keys;
        moved
    }

    /// The process that should be the scheduler, as far as this daemon sees.
    fn wanted(&self, key: Key, now: Instant) -> Option<Process> {
        let candidates = self.candidates(now);
        let first = rank::first(key, candidates.keys().copied())?;
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
            if entry.host == self.me.host && !self.leaving {
                candidates.insert(&entry.host, self.me.incarnation);
            } else if let Some(peer) = self.candidate(&entry.host, now) {
                candidates.insert(&entry.host, peer.identity.incarnation);
            }
        }
        if candidates.is_empty() && list.contains(&self.me.host) {
            candidates.insert(&self.me.host, self.me.incarnation);
        }
        candidates
    }

    fn in_service(&self, entry: &hosts::Entry) -> bool {
        !self.out.hosts_out.contains(&entry.host) && !self.out.zones_out.contains(&entry.zone)
    }

    fn candidate(&self, host: &name::Host, now: Instant) -> Option<&Peer> {
        let peer = self.members.peer(host)?;
        // A peer that does not answer cannot count a vote.
        let answers =
            peer.answered.is_some_and(|at| now.saturating_duration_since(at) <= self.lease);
        (self.members.is_alive(peer, now) && answers && !peer.leaving).then_some(peer)
    }

    /// The host that decides between racing orders.
    pub fn coordinator(&self, now: Instant) -> name::Host {
        let candidates = self.candidates(now);
        let first = rank::first(Key::coordinator(), candidates.keys().copied());
        first.unwrap_or(&self.me.host).clone()
    }

    /// The votes to send to a scheduler, if this daemon may vote.
    fn votes_for(&mut self, scheduler: &Process, now: Instant) -> Vec<Vote> {
        match self.members.entitled(now) {
            true => self.ledger.votes(scheduler),
            false => Vec::new(),
        }
    }

    /// Notes what this daemon tells from heartbeat `sequence` on.
    fn note_news(&mut self, sequence: Sequence, stamps: &Stamps, now: Instant) {
        let seasoned = self.members.is_seasoned(now);
        let news = News {
            zone: self.identity.zone.clone(),
            caller_address: self.identity.caller_address,
            peer_address: self.identity.peer_address,
            leaving: self.leaving,
            platform: self.platform,
            document: stamps.document,
            orders: stamps.orders,
            list: self.members.stamp(),
            voters: if seasoned { self.electorate.len() as u32 } else { 0 },
            notices: stamps.notices,
        };
        if self.news.as_ref().is_none_or(|(_, told)| **told != news) {
            self.news = Some((sequence, Box::new(news)));
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
        self.note_news(sequence, stamps, now);
        let votes = to.map(|process| self.votes_for(process, now)).unwrap_or_default();
        let peer = to.and_then(|process| self.members.peer(&process.host));
        let echoed = peer.and_then(|peer| peer.echoed);
        let news = self.news.as_ref().filter(|(since, _)| echoed.is_none_or(|e| e < *since));
        Heartbeat {
            version: wire::VERSION,
            cell: self.cell,
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            sequence,
            uptime_ms: self.uptime_ms(now),
            echo: peer.and_then(Peer::echo),
            lists_recipient: to.is_some_and(|to| self.members.list().contains(&to.host)),
            news: news.map(|(_, news)| news.clone()),
            votes,
        }
    }

    /// The time since this daemon started, in milliseconds.
    pub fn uptime_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started).as_millis() as u64
    }

    /// The time at which this daemon started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Takes a peer's heartbeat in.
    pub fn heard(&mut self, heartbeat: &Heartbeat, now: Instant) -> Effect {
        if heartbeat.cell != self.cell {
            return Effect::default();
        }
        let before = self.members.peer(&heartbeat.host).map(|peer| peer.identity.process());
        let echo = heartbeat.echo.filter(|echo| echo.incarnation == self.me.incarnation);
        let answered = echo.map(|echo| echo.sequence);
        let answer = answered.and_then(|sequence| {
            let sent = self.tally.sent_at(sequence)?;
            Some(Answer { sequence, sent })
        });
        if !self.members.heard(heartbeat, answer, now) {
            return Effect::default();
        }
        let process = heartbeat.process();
        let replaced = before.filter(|before| before.incarnation < process.incarnation);
        if replaced.is_some() {
            self.ledger.ended(&process.host, process.incarnation);
        }
        let Heartbeat { sequence, votes, .. } = heartbeat;
        let withdrawn = self.tally.heard(&process, *sequence, answered, votes, now);
        self.ledger.heard(&process, now);
        if let Some(answered) = answered {
            self.ledger.echoed(&process, answered);
            self.answered(answered);
        }
        Effect { accepted: true, moved: self.move_votes(now) || withdrawn, replaced }
    }

    /// Notes that a process has ended. Returns whether own votes moved.
    pub fn ended(&mut self, process: &Process, now: Instant) -> bool {
        let after = Incarnation(process.incarnation.0 + 1);
        self.members.ended(process, now);
        self.ledger.ended(&process.host, after);
        self.tally.ended(&process.host, after);
        self.move_votes(now)
    }

    /// Notes that the process itself was stopped for the `pauses`th time, and has woken.
    ///
    /// What it knows may be out of date, until a peer has answered a heartbeat sent after it.
    /// After half a guard window the list of hosts may have been missed: the right to vote is earned
    /// anew.
    pub fn woke(&mut self, pauses: u64, now: Instant) {
        let stopped =
            self.last_round.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if stopped > self.guard / 2 {
            self.members.restart_guard(now);
        }
        let alone = self.members.list().hosts.iter().all(|entry| entry.host == self.me.host);
        let from = (!alone).then_some(self.next);
        self.refresh = Refresh { pauses, from, until: Some(now + self.alive) };
    }

    /// The number of pauses after which the view is fresh again, or `None` while it is not.
    pub fn refreshed(&self, now: Instant) -> Option<u64> {
        let Refresh { pauses, from, until } = self.refresh;
        let waited = until.is_none_or(|until| now >= until);
        (from.is_none() || waited).then_some(pauses)
    }

    fn answered(&mut self, answered: Sequence) {
        if self.refresh.from.is_some_and(|from| answered >= from) {
            self.refresh.from = None;
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
        let Some(hosts) = self.members.voters(electorate, now) else {
            return Share { votes: 0, hosts: electorate.len() as u32 };
        };
        if self.members.is_list_stale(now) || self.refreshed(now).is_none() {
            return Share { votes: 0, hosts };
        }
        let votes = match self.settle(key, hosts, now) {
            Some(settle) => self.tally.settled(key, electorate, observed, settle, now),
            None => hosts,
        };
        Share { votes, hosts }
    }

    /// The time that votes for `key` must settle. `None` if they need no load report at all.
    fn settle(&self, key: Key, hosts: u32, now: Instant) -> Option<Duration> {
        if self.members.has_strangers(&self.electorate, now) {
            return Some(self.settle);
        }
        let reports = self.tally.reports(key, &self.electorate, now);
        let ended = self.members.ended_among(&self.electorate);
        match hosts {
            hosts if reports == hosts => None,
            hosts if reports + ended == hosts => Some(Duration::ZERO),
            _ => Some(self.settle),
        }
    }

    /// The time at which load reports may be asked for that settle the newest vote for `key`.
    pub fn settles_at(&self, key: Key, now: Instant) -> Option<Instant> {
        let newest = self.tally.newest(key, &self.electorate, now)?;
        let hosts = self.members.voters(&self.electorate, now).unwrap_or(0);
        let settle = self.settle(key, hosts, now).unwrap_or(Duration::ZERO);
        Some(newest + settle)
    }

    /// The schedulers from which permits may be taken.
    pub fn standings(&self, now: Instant) -> Map<Key, Standing> {
        let mut standings = Map::default();
        for (key, scheduler, epoch, until) in self.ledger.standing(now) {
            let start = match *scheduler == self.me {
                true => Some(self.started),
                false => self.members.peer(&scheduler.host).and_then(|peer| peer.start(now)),
            };
            let scheduler = scheduler.clone();
            standings.insert(key, Standing { scheduler, epoch, until, start });
        }
        standings
    }

    /// Whether this daemon is one of the few that watch the platform.
    ///
    /// Those are the first [`READERS`] hosts by rank among the candidates.
    pub fn platform_duty(&self, now: Instant) -> bool {
        let candidates = self.candidates(now);
        let mine = rank::weight(Key::reader(), &self.me.host);
        let before = candidates.keys().filter(|host| rank::weight(Key::reader(), host) > mine);
        before.count() < READERS
    }

    /// The time since a peer was heard of, for display.
    pub fn silence(&self, host: &name::Host, now: Instant) -> Option<Duration> {
        self.members.peer(host).map(|peer| now.saturating_duration_since(peer.heard))
    }
}

/// The number of daemons of a cell that watch the platform.
pub const READERS: usize = 2;
