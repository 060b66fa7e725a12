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
    wire::{Ack, Advertisement, Heartbeat, Stamp},
};

/// What is known about another daemon.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Who it is.
    pub identity: Identity,
    /// The time of its last sign of life.
    pub last_seen: Instant,
    /// Its newest heartbeat that was processed.
    pub last_sequence: Sequence,
    /// The newest own heartbeat that it has answered.
    pub acked_sequence: Option<Sequence>,
    /// The sending time of the newest own heartbeat that it has answered.
    pub acked_sent_at: Option<Instant>,
    /// Whether its list of hosts has this daemon on it.
    pub lists_this_host: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it reached the platform lately.
    pub platform_reached: bool,
    /// The time at which its process was found to have ended.
    pub ended_at: Option<Instant>,
    /// The document that it has in force.
    pub document: Stamp,
    /// The orders that it has in force.
    pub orders: Stamp,
    /// The list of hosts that it uses.
    pub list: Stamp,
    /// The digest over its notices.
    pub notices: u64,
    /// The number of hosts that were listed within its guard window, 0 if it does not know.
    pub voter_count: u32,
    start_bound: Option<StartBound>,
}

/// An own heartbeat that a peer has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AckedHeartbeat {
    /// Its number.
    pub sequence: Sequence,
    /// The time at which it was sent.
    pub sent_at: Instant,
}

/// A lower bound of the start of a peer's process, on the own clock.
///
/// An answer was sent after the own heartbeat that it answers. So the process had not started
/// before the sending time of that heartbeat less the uptime in the answer.
#[derive(Debug, Clone, Copy)]
struct StartBound {
    earliest: Instant,
    as_of: Instant,
}

impl StartBound {
    /// The part of the time by which an old bound is lowered, for clocks of unequal speed.
    const DRIFT_DIVISOR: u32 = 500;

    fn new(answered: Instant, uptime_ms: u64, now: Instant) -> Option<Self> {
        // One more, since the uptime was rounded down.
        let uptime = Duration::from_millis(uptime_ms + 1);
        answered.checked_sub(uptime).map(|bound| Self { earliest: bound, as_of: now })
    }

    /// The bound as of `now`.
    fn aged(self, now: Instant) -> Self {
        let drift = now.saturating_duration_since(self.as_of) / Self::DRIFT_DIVISOR;
        Self { earliest: self.earliest.checked_sub(drift).unwrap_or(self.earliest), as_of: now }
    }

    /// The higher of two bounds, both as of `now`.
    fn tightest(old: Option<Self>, new: Option<Self>, now: Instant) -> Option<Self> {
        let old = old.map(|old| old.aged(now));
        old.into_iter().chain(new).max_by_key(|start| start.earliest)
    }
}

/// Everything this daemon knows about the daemons of its cell.
#[derive(Debug)]
pub struct Table {
    own_process: Process,
    alive_timeout: Duration,
    lease_duration: Duration,
    guard_window: Duration,
    started_at: Instant,
    list: List,
    list_stamp: Stamp,
    listed_since: Option<Instant>,
    last_listed: Map<name::Host, Instant>,
    may_vote: bool,
    seeds: Vec<SocketAddr>,
    peers: Map<name::Host, Peer>,
}

impl Table {
    /// A table that knows no peer yet.
    pub fn new(me: Process, seeds: Vec<SocketAddr>, timing: &Timing, now: Instant) -> Self {
        Self {
            own_process: me,
            alive_timeout: timing.alive_timeout,
            lease_duration: timing.lease_duration,
            guard_window: timing.guard_window,
            started_at: now,
            list: List::default(),
            list_stamp: Stamp::NONE,
            listed_since: None,
            last_listed: Map::default(),
            may_vote: false,
            seeds,
            peers: Map::default(),
        }
    }

    /// The list of hosts in use.
    pub fn list(&self) -> &List {
        &self.list
    }

    /// The revision and the digest of the list in use.
    pub fn list_stamp(&self) -> Stamp {
        self.list_stamp
    }

    /// Takes a list of hosts if it is newer. Returns whether it was.
    pub fn adopt_list(&mut self, list: List, now: Instant) -> bool {
        let stamp = list.stamp();
        if stamp <= self.list_stamp {
            return false;
        }
        for entry in self.list.hosts.iter().chain(&list.hosts) {
            self.last_listed.insert(entry.host.clone(), now);
        }
        self.listed_since = match list.contains(&self.own_process.host) {
            true => self.listed_since.or(Some(now)),
            false => None,
        };
        self.may_vote &= self.listed_since.is_some();
        self.list = list;
        self.list_stamp = stamp;
        true
    }

    /// The hosts whose votes count: all that were listed within the guard window.
    pub fn electorate(&self, now: Instant) -> Electorate {
        let recent = self
            .last_listed
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) <= self.guard_window)
            .map(|(host, _)| host.clone());
        self.list.hosts.iter().map(|entry| entry.host.clone()).chain(recent).collect()
    }

    /// Whether this daemon may vote.
    ///
    /// It may once it has been listed for the guard window, so that every scheduler counts it among
    /// the hosts, and has itself run as long, so that no vote of its predecessor is counted any
    /// more. It may earlier once every listed host has answered it and says that it lists it.
    pub fn may_vote(&mut self, now: Instant) -> bool {
        if self.may_vote {
            return true;
        }
        let Some(since) = self.listed_since else { return false };
        let waited = now.saturating_duration_since(since.max(self.started_at)) >= self.guard_window;
        self.may_vote = waited || self.is_listed_by_all();
        self.may_vote
    }

    fn is_listed_by_all(&self) -> bool {
        self.list.hosts.iter().filter(|entry| entry.host != self.own_process.host).all(|entry| {
            self.peers.get(&entry.host).is_some_and(|peer| {
                // Another list may have had this host on it before it was removed and came back.
                let lists_me = peer.lists_this_host && peer.list >= self.list_stamp;
                lists_me && peer.acked_sent_at.is_some_and(|at| at >= self.started_at)
            })
        })
    }

    /// Has the right to vote earned anew, as if the process had started now.
    pub fn restart_guard_window(&mut self, now: Instant) {
        self.may_vote = false;
        self.started_at = now;
    }

    /// Whether a datagram from `address` may come from a daemon of the cell.
    pub fn accepts_address(&self, address: IpAddr) -> bool {
        self.list.hosts.iter().any(|entry| entry.peer_address.ip() == address)
            || self.seeds.iter().any(|seed| seed.ip() == address)
            || self.peers.values().any(|peer| peer.identity.peer_address.ip() == address)
    }

    /// Whether this process has run long enough to know every host that was listed lately.
    pub fn has_run_guard_window(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= self.guard_window
    }

    /// The number of hosts among which votes count, or `None` while it is not known.
    ///
    /// A process that has just started does not know which hosts were listed before. It learns
    /// their number from a peer that does. Without such a peer it waits, unless every listed host
    /// answers and none knows more, as when the whole fleet starts.
    pub fn voter_count(&self, electorate: &Electorate, now: Instant) -> Option<u32> {
        let own = electorate.len() as u32;
        let told = self.peers_within_lease(now).map(|peer| peer.voter_count).max().unwrap_or(0);
        let known = told > 0 || self.has_run_guard_window(now) || self.is_listed_by_all();
        known.then_some(own.max(told))
    }

    /// Whether a peer uses a newer list of hosts.
    pub fn is_list_stale(&self, now: Instant) -> bool {
        let own = self.list_stamp;
        self.peers_within_lease(now).any(|peer| peer.list > own)
    }

    /// The peers whose votes may still count.
    fn peers_within_lease(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let lease = self.lease_duration;
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.last_seen) <= lease)
    }

    /// Adds a daemon that has introduced itself over TCP. Returns whether there was room.
    pub fn introduce(&mut self, identity: &Identity, now: Instant) -> bool {
        let known = self.peers.get(&identity.host);
        if known.is_some_and(|peer| peer.identity.incarnation >= identity.incarnation) {
            return true;
        }
        if identity.host == self.own_process.host || !self.make_room(&identity.host, now) {
            return false;
        }
        self.peers.insert(identity.host.clone(), Peer::introduced(identity.clone(), now));
        true
    }

    /// Takes a heartbeat in. Returns whether it was new, so that its votes may be counted.
    ///
    /// A process of which nothing is known yet must tell its news.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        answer: Option<AckedHeartbeat>,
        now: Instant,
    ) -> bool {
        if heartbeat.host == self.own_process.host || !self.make_room(&heartbeat.host, now) {
            return false;
        }
        let incarnation = heartbeat.incarnation;
        let known = self.peers.get(&heartbeat.host);
        let stale = known.is_some_and(|peer| {
            (incarnation, heartbeat.sequence) <= (peer.identity.incarnation, peer.last_sequence)
        });
        if stale {
            return false;
        }
        let known = known.filter(|p| p.identity.incarnation == incarnation && p.has_heartbeat());
        let mut peer = match (known, &heartbeat.advertisement) {
            (Some(known), None) => known.clone(),
            (known, Some(news)) => Peer::advertised(heartbeat, news, known, now),
            (None, None) => return false,
        };
        let start =
            answer.and_then(|answer| StartBound::new(answer.sent_at, heartbeat.uptime_ms, now));
        peer.start_bound = StartBound::tightest(peer.start_bound, start, now);
        peer.acked_sequence = peer.acked_sequence.max(answer.map(|answer| answer.sequence));
        peer.acked_sent_at = peer.acked_sent_at.max(answer.map(|answer| answer.sent_at));
        peer.last_seen = now;
        peer.last_sequence = heartbeat.sequence;
        peer.lists_this_host = heartbeat.lists_recipient;
        // Only an answer to what was sent later shows that the process has not ended after all.
        let sent = answer.map(|answer| answer.sent_at);
        peer.ended_at = peer.ended_at.filter(|ended| sent.is_none_or(|sent| sent <= *ended));
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
            .filter(|peer| now.saturating_duration_since(peer.last_seen) > self.guard_window)
            .min_by_key(|peer| peer.last_seen)
            .map(|peer| peer.identity.host.clone());
        gone.is_some_and(|gone| self.peers.remove(&gone).is_some())
    }

    /// Notes that a process has ended. Returns whether that was news.
    pub fn record_end(&mut self, process: &Process, now: Instant) -> bool {
        match self.peers.get_mut(&process.host) {
            Some(peer)
                if peer.identity.incarnation == process.incarnation && peer.ended_at.is_none() =>
            {
                peer.ended_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Whether the peer was heard of lately.
    pub fn is_alive(&self, peer: &Peer, now: Instant) -> bool {
        peer.ended_at.is_none()
            && peer.has_heartbeat()
            && now.saturating_duration_since(peer.last_seen) <= self.alive_timeout
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
        let listed = self.list.hosts.iter().filter(|entry| entry.host != self.own_process.host);
        let mut recipients: Vec<_> =
            listed.map(|entry| (entry.peer_address, self.peers.get(&entry.host))).collect();
        let unlisted = self.peers.values().filter(|peer| !self.list.contains(&peer.identity.host));
        let recent = unlisted.filter(|peer| {
            now.saturating_duration_since(peer.last_seen) <= self.guard_window
                && peer.ended_at.is_none()
        });
        recipients.extend(recent.map(|peer| (peer.identity.peer_address, Some(peer))));
        recipients
    }

    /// The seeds: addresses to ask before anything is known.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// The number of hosts of the electorate whose last known process has ended.
    pub fn count_ended(&self, electorate: &Electorate) -> u32 {
        let ended = |host| self.peers.get(host).is_some_and(|peer| peer.ended_at.is_some());
        electorate.iter().filter(|host| ended(*host)).count() as u32
    }

    /// Whether daemons outside the electorate were heard of lately.
    pub fn has_alive_nonvoters(&self, electorate: &Electorate, now: Instant) -> bool {
        self.alive(now).any(|peer| !electorate.contains(&peer.identity.host))
    }
}

impl Peer {
    fn has_heartbeat(&self) -> bool {
        self.last_sequence > Sequence(0)
    }

    /// A peer by what it tells. What was measured of its process before is kept.
    fn advertised(
        heartbeat: &Heartbeat,
        news: &Advertisement,
        known: Option<&Self>,
        now: Instant,
    ) -> Self {
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
            platform_reached: news.platform_reached,
            document: news.document,
            orders: news.orders,
            list: news.list,
            notices: news.notices,
            voter_count: news.voter_count,
            ..known.cloned().unwrap_or(blank)
        }
    }

    fn introduced(identity: Identity, now: Instant) -> Self {
        Self {
            identity,
            last_seen: now,
            last_sequence: Sequence(0),
            acked_sequence: None,
            acked_sent_at: None,
            lists_this_host: false,
            leaving: false,
            platform_reached: false,
            ended_at: None,
            document: Stamp::NONE,
            orders: Stamp::NONE,
            list: Stamp::NONE,
            notices: 0,
            voter_count: 0,
            start_bound: None,
        }
    }

    /// What to answer to its heartbeats.
    pub fn ack(&self) -> Option<Ack> {
        let incarnation = self.identity.incarnation;
        self.has_heartbeat().then_some(Ack { incarnation, sequence: self.last_sequence })
    }

    /// The time on the own clock before which its process had not started.
    pub fn earliest_start(&self, now: Instant) -> Option<Instant> {
        self.start_bound.map(|start| start.aged(now).earliest)
    }
}
