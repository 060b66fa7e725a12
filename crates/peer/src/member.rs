//! Membership of the cell: the platform's list joined with heartbeats.

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use hyssop_document::{collections::Map, name};

use crate::{
    hosts::List,
    identity::{Identity, Process},
    timing::{MAX_CELL_HOSTS, Timing},
    vote::{Electorate, Sequence},
    wire::{Echo, Heartbeat, News, Stamp},
};

/// What is known about another daemon.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Who it is.
    pub identity: Identity,
    /// The time of its last sign of life.
    pub heard: Instant,
    /// Its newest heartbeat that was processed.
    pub sequence: Sequence,
    /// The newest own heartbeat that it has answered.
    pub echoed: Option<Sequence>,
    /// The sending time of the newest own heartbeat that it has answered.
    pub answered: Option<Instant>,
    /// Whether its list of hosts has this daemon on it.
    pub lists_me: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it reached the platform lately.
    pub platform: bool,
    /// The time at which its process was found to have ended.
    pub ended: Option<Instant>,
    /// The document that it has in force.
    pub document: Stamp,
    /// The orders that it has in force.
    pub orders: Stamp,
    /// The list of hosts that it uses.
    pub list: Stamp,
    /// The digest over its notices.
    pub notices: u64,
    /// The number of hosts that were listed within its guard window, 0 if it does not know.
    pub voters: u32,
    start: Option<Start>,
}

/// An own heartbeat that a peer has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Its number.
    pub sequence: Sequence,
    /// The time at which it was sent.
    pub sent: Instant,
}

/// A lower bound of the start of a peer's process, on the own clock.
///
/// An answer was sent after the own heartbeat that it answers. So the process had not started
/// before the sending time of that heartbeat less the uptime in the answer.
#[derive(Debug, Clone, Copy)]
struct Start {
    bound: Instant,
    at: Instant,
}

impl Start {
    /// The part of the time by which an old bound is lowered, for clocks of unequal speed.
    const DRIFT_DIVISOR: u32 = 500;

    fn new(answered: Instant, uptime_ms: u64, now: Instant) -> Option<Self> {
        // One more, since the uptime was rounded down.
        let uptime = Duration::from_millis(uptime_ms + 1);
        answered.checked_sub(uptime).map(|bound| Self { bound, at: now })
    }

    /// The bound as of `now`.
    fn aged(self, now: Instant) -> Self {
        let drift = now.saturating_duration_since(self.at) / Self::DRIFT_DIVISOR;
        Self { bound: self.bound.checked_sub(drift).unwrap_or(self.bound), at: now }
    }

    /// The higher of two bounds, both as of `now`.
    fn best(old: Option<Self>, new: Option<Self>, now: Instant) -> Option<Self> {
        let old = old.map(|old| old.aged(now));
        old.into_iter().chain(new).max_by_key(|start| start.bound)
    }
}

/// Everything this daemon knows about the daemons of its cell.
#[derive(Debug)]
pub struct Table {
    me: Process,
    alive: Duration,
    lease: Duration,
    guard: Duration,
    started: Instant,
    list: List,
    stamp: Stamp,
    listed_since: Option<Instant>,
    last_listed: Map<name::Host, Instant>,
    entitled: bool,
    seeds: Vec<SocketAddr>,
    peers: Map<name::Host, Peer>,
}

impl Table {
    /// A table that knows no peer yet.
    pub fn new(me: Process, seeds: Vec<SocketAddr>, timing: &Timing, now: Instant) -> Self {
        Self {
            me,
            alive: timing.alive,
            lease: timing.lease,
            guard: timing.guard,
            started: now,
            list: List::default(),
            stamp: Stamp::NONE,
            listed_since: None,
            last_listed: Map::default(),
            entitled: false,
            seeds,
            peers: Map::default(),
        }
    }

    /// The list of hosts in use.
    pub fn list(&self) -> &List {
        &self.list
    }

    /// The revision and the digest of the list in use.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Takes a list of hosts if it is newer. Returns whether it was.
    pub fn set_list(&mut self, list: List, now: Instant) -> bool {
        let stamp = list.stamp();
        if stamp <= self.stamp {
            return false;
        }
        for entry in self.list.hosts.iter().chain(&list.hosts) {
            self.last_listed.insert(entry.host.clone(), now);
        }
        self.listed_since = match list.contains(&self.me.host) {
            true => self.listed_since.or(Some(now)),
            false => None,
        };
        self.entitled &= self.listed_since.is_some();
        self.list = list;
        self.stamp = stamp;
        true
    }

    /// The hosts whose votes count: all that were listed within the guard window.
    pub fn electorate(&self, now: Instant) -> Electorate {
        let recent = self
            .last_listed
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) <= self.guard)
            .map(|(host, _)| host.clone());
        self.list.hosts.iter().map(|entry| entry.host.clone()).chain(recent).collect()
    }

    /// Whether this daemon may vote.
    ///
    /// It may once it has been listed for the guard window, so that every scheduler counts it among
    /// the hosts, and has itself run as long, so that no vote of its predecessor is counted any
    /// more. It may earlier once every listed host has answered it and says that it lists it.
    pub fn entitled(&mut self, now: Instant) -> bool {
        if self.entitled {
            return true;
        }
        let Some(since) = self.listed_since else { return false };
        let waited = now.saturating_duration_since(since.max(self.started)) >= self.guard;
        self.entitled = waited || self.confirmed_by_all();
        self.entitled
    }

    fn confirmed_by_all(&self) -> bool {
        self.list.hosts.iter().filter(|entry| entry.host != self.me.host).all(|entry| {
            self.peers.get(&entry.host).is_some_and(|peer| {
                // Another list may have had this host on it before it was removed and came back.
                let lists_me = peer.lists_me && peer.list >= self.stamp;
                lists_me && peer.answered.is_some_and(|at| at >= self.started)
            })
        })
    }

    /// Has the right to vote earned anew, as if the process had started now.
    pub fn restart_guard(&mut self, now: Instant) {
        self.entitled = false;
        self.started = now;
    }

    /// Whether a datagram from `address` may come from a daemon of the cell.
    pub fn knows_address(&self, address: IpAddr) -> bool {
        self.list.hosts.iter().any(|entry| entry.peer_address.ip() == address)
            || self.seeds.iter().any(|seed| seed.ip() == address)
            || self.peers.values().any(|peer| peer.identity.peer_address.ip() == address)
    }

    /// Whether this process has run long enough to know every host that was listed lately.
    pub fn is_seasoned(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= self.guard
    }

    /// The number of hosts among which votes count, or `None` while it is not known.
    ///
    /// A process that has just started does not know which hosts were listed before. It learns
    /// their number from a peer that does. Without such a peer it waits, unless every listed host
    /// answers and none knows more, as when the whole fleet starts.
    pub fn voters(&self, electorate: &Electorate, now: Instant) -> Option<u32> {
        let own = electorate.len() as u32;
        let told = self.recent(now).map(|peer| peer.voters).max().unwrap_or(0);
        let known = told > 0 || self.is_seasoned(now) || self.confirmed_by_all();
        known.then_some(own.max(told))
    }

    /// Whether a peer uses a newer list of hosts.
    pub fn is_list_stale(&self, now: Instant) -> bool {
        let own = self.stamp;
        self.recent(now).any(|peer| peer.list > own)
    }

    /// The peers whose votes may still count.
    fn recent(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let lease = self.lease;
        self.peers.values().filter(move |peer| now.saturating_duration_since(peer.heard) <= lease)
    }

    /// Adds a daemon that has introduced itself over TCP. Returns whether there was room.
    pub fn introduce(&mut self, identity: &Identity, now: Instant) -> bool {
        let known = self.peers.get(&identity.host);
        if known.is_some_and(|peer| peer.identity.incarnation >= identity.incarnation) {
            return true;
        }
        if identity.host == self.me.host || !self.make_room(&identity.host, now) {
            return false;
        }
        self.peers.insert(identity.host.clone(), Peer::introduced(identity.clone(), now));
        true
    }

    /// Takes a heartbeat in. Returns whether it was new, so that its votes may be counted.
    ///
    /// A process of which nothing is known yet must tell its news.
    pub fn heard(&mut self, heartbeat: &Heartbeat, answer: Option<Answer>, now: Instant) -> bool {
        if heartbeat.host == self.me.host || !self.make_room(&heartbeat.host, now) {
            return false;
        }
        let incarnation = heartbeat.incarnation;
        let known = self.peers.get(&heartbeat.host);
        let stale = known.is_some_and(|peer| {
            (incarnation, heartbeat.sequence) <= (peer.identity.incarnation, peer.sequence)
        });
        if stale {
            return false;
        }
        let known = known.filter(|p| p.identity.incarnation == incarnation && p.is_heard());
        let mut peer = match (known, &heartbeat.news) {
            (Some(known), None) => known.clone(),
            (known, Some(news)) => Peer::told(heartbeat, news, known, now),
            (None, None) => return false,
        };
        let start = answer.and_then(|answer| Start::new(answer.sent, heartbeat.uptime_ms, now));
        peer.start = Start::best(peer.start, start, now);
        peer.echoed = peer.echoed.max(answer.map(|answer| answer.sequence));
        peer.answered = peer.answered.max(answer.map(|answer| answer.sent));
        peer.heard = now;
        peer.sequence = heartbeat.sequence;
        peer.lists_me = heartbeat.lists_recipient;
        // Only an answer to what was sent later shows that the process has not ended after all.
        let sent = answer.map(|answer| answer.sent);
        peer.ended = peer.ended.filter(|ended| sent.is_none_or(|sent| sent <= *ended));
        self.peers.insert(heartbeat.host.clone(), peer);
        true
    }

    /// Makes room for one more peer, by forgetting one that is long gone and not listed.
    fn make_room(&mut self, host: &name::Host, now: Instant) -> bool {
        if self.peers.contains_key(host) || self.peers.len() < 2 * MAX_CELL_HOSTS {
            return true;
        }
        let gone = self
            .peers
            .values()
            .filter(|peer| !self.list.contains(&peer.identity.host))
            .filter(|peer| now.saturating_duration_since(peer.heard) > self.guard)
            .min_by_key(|peer| peer.heard)
            .map(|peer| peer.identity.host.clone());
        gone.is_some_and(|gone| self.peers.remove(&gone).is_some())
    }

    /// Notes that a process has ended. Returns whether that was news.
    pub fn ended(&mut self, process: &Process, now: Instant) -> bool {
        match self.peers.get_mut(&process.host) {
            Some(peer)
                if peer.identity.incarnation == process.incarnation && peer.ended.is_none() =>
            {
                peer.ended = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Whether the peer was heard of lately.
    pub fn is_alive(&self, peer: &Peer, now: Instant) -> bool {
        peer.ended.is_none()
            && peer.is_heard()
            && now.saturating_duration_since(peer.heard) <= self.alive
    }

    /// All peers known.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The peers that were heard of lately.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| self.is_alive(peer, now))
    }

    /// The peer on a host.
    pub fn peer(&self, host: &name::Host) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// The address to reach a host's daemon at: the list's, else its own word.
    pub fn address(&self, host: &name::Host) -> Option<SocketAddr> {
        let listed = self.list.hosts.iter().find(|entry| entry.host == *host);
        let own = || self.peers.get(host).map(|peer| peer.identity.peer_address);
        listed.map(|entry| entry.peer_address).or_else(own)
    }

    /// Every address to send heartbeats to, with the peer behind it if that is known.
    pub fn recipients(&self, now: Instant) -> Vec<(SocketAddr, Option<&Peer>)> {
        let listed = self.list.hosts.iter().filter(|entry| entry.host != self.me.host);
        let mut recipients: Vec<_> =
            listed.map(|entry| (entry.peer_address, self.peers.get(&entry.host))).collect();
        let unlisted = self.peers.values().filter(|peer| !self.list.contains(&peer.identity.host));
        let recent = unlisted.filter(|peer| {
            now.saturating_duration_since(peer.heard) <= self.guard && peer.ended.is_none()
        });
        recipients.extend(recent.map(|peer| (peer.identity.peer_address, Some(peer))));
        recipients
    }

    /// The seeds: addresses to ask before anything is known.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// The number of hosts of the electorate whose last known process has ended.
    pub fn ended_among(&self, electorate: &Electorate) -> u32 {
        let ended = |host| self.peers.get(host).is_some_and(|peer| peer.ended.is_some());
        electorate.iter().filter(|host| ended(*host)).count() as u32
    }

    /// Whether daemons outside the electorate were heard of lately.
    pub fn has_strangers(&self, electorate: &Electorate, now: Instant) -> bool {
        self.alive(now).any(|peer| !electorate.contains(&peer.identity.host))
    }
}

impl Peer {
    fn is_heard(&self) -> bool {
        self.sequence > Sequence(0)
    }

    /// A peer by what it tells. What was measured of its process before is kept.
    fn told(heartbeat: &Heartbeat, news: &News, known: Option<&Self>, now: Instant) -> Self {
        let identity = Identity {
            host: heartbeat.host.clone(),
            zone: news.zone.clone(),
            incarnation: heartbeat.incarnation,
            caller_address: news.caller_address,
            peer_address: news.peer_address,
        };
        let blank = Self::introduced(identity.clone(), now);
        Self {
            identity,
            leaving: news.leaving,
            platform: news.platform,
            document: news.document,
            orders: news.orders,
            list: news.list,
            notices: news.notices,
            voters: news.voters,
            ..known.cloned().unwrap_or(blank)
        }
    }

    fn introduced(identity: Identity, now: Instant) -> Self {
        Self {
            identity,
            heard: now,
            sequence: Sequence(0),
            echoed: None,
            answered: None,
            lists_me: false,
            leaving: false,
            platform: false,
            ended: None,
            document: Stamp::NONE,
            orders: Stamp::NONE,
            list: Stamp::NONE,
            notices: 0,
            voters: 0,
            start: None,
        }
    }

    /// What to answer to its heartbeats.
    pub fn echo(&self) -> Option<Echo> {
        let incarnation = self.identity.incarnation;
        self.is_heard().then_some(Echo { incarnation, sequence: self.sequence })
    }

    /// The time on the own clock before which its process had not started.
    pub fn start(&self, now: Instant) -> Option<Instant> {
        self.start.map(|start| start.aged(now).bound)
    }
}
