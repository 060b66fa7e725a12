//! Membership of the cell: the platform's list of hosts combined with heartbeats.

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

/// The recorded state of another daemon.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The process with its addresses.
    pub identity: Identity,
    /// The time of the last heartbeat, or of the introduction over TCP before the first one.
    pub last_seen: Instant,
    /// The number of the newest heartbeat processed, 0 before the first one.
    pub last_sequence: Sequence,
    /// The number of the newest heartbeat of this daemon that the peer has acknowledged.
    pub acked_sequence: Option<Sequence>,
    /// The sending time of the newest heartbeat of this daemon that the peer has acknowledged.
    pub acked_sent_at: Option<Instant>,
    /// Whether the peer's list of hosts contains this host.
    pub lists_this_host: bool,
    /// Whether the peer is leaving.
    pub leaving: bool,
    /// Whether the peer's last read of the platform succeeded.
    pub platform_reached: bool,
    /// The time at which the end of the process was detected.
    pub ended_at: Option<Instant>,
    /// The stamp of the document in force on the peer.
    pub document: Stamp,
    /// The stamp of the service orders in force on the peer.
    pub orders: Stamp,
    /// The stamp of the list of hosts in use on the peer.
    pub list: Stamp,
    /// The digest over the peer's notices.
    pub notices: u64,
    /// The number of hosts that were listed within the peer's guard window, 0 if unknown.
    pub voter_count: u32,
    start_bound: Option<StartBound>,
}

/// A heartbeat of this daemon that a peer has acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AckedHeartbeat {
    /// The number of the heartbeat.
    pub sequence: Sequence,
    /// The time at which the heartbeat was sent.
    pub sent_at: Instant,
}

/// A lower bound of the start of a peer's process, on the local clock.
///
/// A peer sends an acknowledgement after the acknowledged heartbeat was sent. So its process did
/// not start earlier than the sending time of that heartbeat minus the uptime in the
/// acknowledgement.
#[derive(Debug, Clone, Copy)]
struct StartBound {
    earliest: Instant,
    as_of: Instant,
}

impl StartBound {
    /// The bound is lowered by this fraction of its age (0.2 %), as the clocks of two hosts may run
    /// at different speeds.
    const DRIFT_DIVISOR: u32 = 500;

    fn new(sent_at: Instant, uptime_ms: u64, now: Instant) -> Option<Self> {
        // One millisecond more, as the uptime was rounded down.
        let uptime = Duration::from_millis(uptime_ms + 1);
        sent_at.checked_sub(uptime).map(|earliest| Self { earliest, as_of: now })
    }

    /// The bound as of `now`, lowered by the possible drift since `as_of`.
    fn aged(self, now: Instant) -> Self {
        let drift = now.saturating_duration_since(self.as_of) / Self::DRIFT_DIVISOR;
        Self { earliest: self.earliest.checked_sub(drift).unwrap_or(self.earliest), as_of: now }
    }

    /// The higher of two bounds, as of `now`.
    fn tightest(old: Option<Self>, new: Option<Self>, now: Instant) -> Option<Self> {
        let old = old.map(|old| old.aged(now));
        old.into_iter().chain(new).max_by_key(|bound| bound.earliest)
    }
}

/// The membership state of one daemon: the list of hosts in use and the peers.
#[derive(Debug)]
pub struct Table {
    own_process: Process,
    alive_timeout: Duration,
    lease_duration: Duration,
    guard_window: Duration,
    /// The start of the guard window: the start of the process, or the end of a long pause.
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
    /// Creates a table without list and peers. `seeds` are addresses of peers to query first.
    pub fn new(
        own_process: Process,
        seeds: Vec<SocketAddr>,
        timing: &Timing,
        now: Instant,
    ) -> Self {
        Self {
            own_process,
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

    /// The stamp of the list in use.
    pub fn list_stamp(&self) -> Stamp {
        self.list_stamp
    }

    /// Adopts a list of hosts if it is newer than the one in use. Returns whether it was.
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

    /// The hosts whose votes count: all hosts that were listed within the guard window.
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
    /// A daemon may vote once its host has been listed for the guard window, so that every scheduler
    /// counts the host in the electorate, and its process has run for the guard window, so that the
    /// votes of the former process have expired. It may vote earlier once every listed peer has
    /// acknowledged a heartbeat and reports that it lists this host.
    pub fn may_vote(&mut self, now: Instant) -> bool {
        if self.may_vote {
            return true;
        }
        let Some(listed_since) = self.listed_since else { return false };
        let waited =
            now.saturating_duration_since(listed_since.max(self.started_at)) >= self.guard_window;
        self.may_vote = waited || self.is_listed_by_all();
        self.may_vote
    }

    fn is_listed_by_all(&self) -> bool {
        self.list.hosts.iter().filter(|entry| entry.host != self.own_process.host).all(|entry| {
            self.peers.get(&entry.host).is_some_and(|peer| {
                // An older list may contain this host from before it was removed and listed again.
                let lists_this_host = peer.lists_this_host && peer.list >= self.list_stamp;
                lists_this_host && peer.acked_sent_at.is_some_and(|at| at >= self.started_at)
            })
        })
    }

    /// Revokes the right to vote and starts the guard window again, as if the process started now.
    pub fn restart_guard_window(&mut self, now: Instant) {
        self.may_vote = false;
        self.started_at = now;
    }

    /// Whether `address` belongs to a listed host, a seed or a peer. Datagrams from other addresses
    /// are dropped.
    pub fn accepts_address(&self, address: IpAddr) -> bool {
        self.list.hosts.iter().any(|entry| entry.peer_address.ip() == address)
            || self.seeds.iter().any(|seed| seed.ip() == address)
            || self.peers.values().any(|peer| peer.identity.peer_address.ip() == address)
    }

    /// Whether this process has run for the guard window, and so has recorded every host that was
    /// listed within it.
    pub fn has_run_guard_window(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= self.guard_window
    }

    /// The number of hosts whose votes count, or `None` while it is unknown.
    ///
    /// A process that has just started has no record of the hosts that were listed before. It uses
    /// the number that a peer reports. If no peer reports one, it waits for the guard window,
    /// unless every listed peer acknowledges its heartbeats and lists this host, as when the whole
    /// cell starts at once.
    pub fn voter_count(&self, electorate: &Electorate, now: Instant) -> Option<u32> {
        let own = electorate.len() as u32;
        let reported = self.peers_within_lease(now).map(|peer| peer.voter_count).max().unwrap_or(0);
        let known = reported > 0 || self.has_run_guard_window(now) || self.is_listed_by_all();
        known.then_some(own.max(reported))
    }

    /// Whether a peer uses a newer list of hosts.
    pub fn is_list_stale(&self, now: Instant) -> bool {
        let own = self.list_stamp;
        self.peers_within_lease(now).any(|peer| peer.list > own)
    }

    /// The peers whose last heartbeat is no older than a lease, so that their votes may count.
    fn peers_within_lease(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let lease_duration = self.lease_duration;
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.last_seen) <= lease_duration)
    }

    /// Adds a peer that has introduced itself over TCP. Returns whether the table contains the host.
    pub fn introduce(&mut self, identity: &Identity, now: Instant) -> bool {
        let recorded = self.peers.get(&identity.host);
        if recorded.is_some_and(|peer| peer.identity.incarnation >= identity.incarnation) {
            return true;
        }
        if identity.host == self.own_process.host || !self.make_room(&identity.host, now) {
            return false;
        }
        self.peers.insert(identity.host.clone(), Peer::introduced(identity.clone(), now));
        true
    }

    /// Records a heartbeat, with the heartbeat of this daemon that it acknowledges. Returns whether
    /// it was accepted, so that its votes may be counted.
    ///
    /// The first heartbeat accepted from a process must carry an advertisement.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        acked: Option<AckedHeartbeat>,
        now: Instant,
    ) -> bool {
        if heartbeat.host == self.own_process.host || !self.make_room(&heartbeat.host, now) {
            return false;
        }
        let incarnation = heartbeat.incarnation;
        let recorded = self.peers.get(&heartbeat.host);
        let stale = recorded.is_some_and(|peer| {
            (incarnation, heartbeat.sequence) <= (peer.identity.incarnation, peer.last_sequence)
        });
        if stale {
            return false;
        }
        let recorded =
            recorded.filter(|p| p.identity.incarnation == incarnation && p.has_heartbeat());
        let mut peer = match (recorded, &heartbeat.advertisement) {
            (Some(recorded), None) => recorded.clone(),
            (recorded, Some(advertisement)) => {
                Peer::advertised(heartbeat, advertisement, recorded, now)
            }
            (None, None) => return false,
        };
        let bound =
            acked.and_then(|acked| StartBound::new(acked.sent_at, heartbeat.uptime_ms, now));
        peer.start_bound = StartBound::tightest(peer.start_bound, bound, now);
        peer.acked_sequence = peer.acked_sequence.max(acked.map(|acked| acked.sequence));
        peer.acked_sent_at = peer.acked_sent_at.max(acked.map(|acked| acked.sent_at));
        peer.last_seen = now;
        peer.last_sequence = heartbeat.sequence;
        peer.lists_this_host = heartbeat.lists_recipient;
        // A datagram sent before the process ended may arrive late. Only an acknowledgement of a
        // heartbeat sent after the presumed end shows that the process is still running.
        let sent_at = acked.map(|acked| acked.sent_at);
        peer.ended_at =
            peer.ended_at.filter(|ended_at| sent_at.is_none_or(|sent_at| sent_at <= *ended_at));
        self.peers.insert(heartbeat.host.clone(), peer);
        true
    }

    /// Makes room for one more peer by removing an unlisted one that was last seen before the guard
    /// window. Returns whether there is room.
    fn make_room(&mut self, host: &name::Host, now: Instant) -> bool {
        if self.peers.contains_key(host) || self.peers.len() < 2 * MAX_CELL_HOSTS {
            return true;
        }
        let removable = self
            .peers
            .values()
            .filter(|peer| !self.list.contains(&peer.identity.host))
            .filter(|peer| now.saturating_duration_since(peer.last_seen) > self.guard_window)
            .min_by_key(|peer| peer.last_seen)
            .map(|peer| peer.identity.host.clone());
        removable.is_some_and(|host| self.peers.remove(&host).is_some())
    }

    /// Records that a process has ended. Returns whether it was recorded as running.
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

    /// Whether a heartbeat of the peer arrived within the alive timeout.
    pub fn is_alive(&self, peer: &Peer, now: Instant) -> bool {
        peer.ended_at.is_none()
            && peer.has_heartbeat()
            && now.saturating_duration_since(peer.last_seen) <= self.alive_timeout
    }

    /// All recorded peers, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The peers that are alive; see [`Table::is_alive`].
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| self.is_alive(peer, now))
    }

    /// The recorded peer on a host, alive or not.
    pub fn peer(&self, host: &name::Host) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// The address of a host's daemon for peers: as listed, or else as advertised by the daemon.
    pub fn address(&self, host: &name::Host) -> Option<SocketAddr> {
        let listed = self.list.hosts.iter().find(|entry| entry.host == *host);
        let advertised = || self.peers.get(host).map(|peer| peer.identity.peer_address);
        listed.map(|entry| entry.peer_address).or_else(advertised)
    }

    /// All addresses to send heartbeats to, with the recorded peer at each. Unlisted peers are
    /// included until their process ends or no heartbeat has arrived for the guard window.
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

    /// The addresses of peers to query before a list of hosts is available.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// The number of hosts in the electorate whose last recorded process has ended.
    pub fn count_ended(&self, electorate: &Electorate) -> u32 {
        let ended = |host| self.peers.get(host).is_some_and(|peer| peer.ended_at.is_some());
        electorate.iter().filter(|host| ended(*host)).count() as u32
    }

    /// Whether any daemon outside the electorate is alive.
    pub fn has_alive_nonvoters(&self, electorate: &Electorate, now: Instant) -> bool {
        self.alive(now).any(|peer| !electorate.contains(&peer.identity.host))
    }
}

impl Peer {
    fn has_heartbeat(&self) -> bool {
        self.last_sequence > Sequence(0)
    }

    /// Builds a peer from its advertisement. Measurements of the same process are kept.
    fn advertised(
        heartbeat: &Heartbeat,
        advertisement: &Advertisement,
        recorded: Option<&Self>,
        now: Instant,
    ) -> Self {
        let identity = Identity {
            host: heartbeat.host.clone(),
            zone: advertisement.zone.clone(),
            incarnation: heartbeat.incarnation,
            caller_address: advertisement.caller_address,
            peer_address: advertisement.peer_address,
        };
        let blank = Self::introduced(identity.clone(), now);
        Self {
            identity,
            leaving: advertisement.leaving,
            platform_reached: advertisement.platform_reached,
            document: advertisement.document,
            orders: advertisement.orders,
            list: advertisement.list,
            notices: advertisement.notices,
            voter_count: advertisement.voter_count,
            ..recorded.cloned().unwrap_or(blank)
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

    /// The acknowledgement to send to the peer.
    pub fn ack(&self) -> Option<Ack> {
        let incarnation = self.identity.incarnation;
        self.has_heartbeat().then_some(Ack { incarnation, sequence: self.last_sequence })
    }

    /// A lower bound of the start of the peer's process, on the local clock.
    pub fn earliest_start(&self, now: Instant) -> Option<Instant> {
        self.start_bound.map(|bound| bound.aged(now).earliest)
    }
}
