//! The members that a daemon has discovered.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::{collections::Map, name::Zone};
use hyssop_policy::local::holders::{Membership, Reach};

use crate::{
    heartbeat::{Heartbeat, LostPools, MemberEntry, Phase, name_hash, started_ms},
    watch::{Watch, WatcherEntry, Watchers},
};

/// The time between two heartbeats to a member of the own availability zone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// The interval for members of other zones. Longer, as traffic between zones costs money.
const REMOTE_ZONE_INTERVAL: Duration = Duration::from_millis(200);
/// The interval for silent members: detects that a partition has healed.
const SILENT_MEMBER_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of members that get a heartbeat in one interval. Bounds the cost for a host;
/// in larger fleets each member gets heartbeats less often, all in turn.
pub const MAX_FANOUT: usize = 16;
/// The minimum number of daemons that watch the source, over all zones.
const MIN_WATCHERS: usize = 3;
/// How long a daemon stays idle for each daemon that goes before it in place of a silent watcher, and
/// at most. Their heartbeats arrive meanwhile, so that only the first ones call the source.
const STANDBY_STEP: Duration = Duration::from_millis(50);
const MAX_STANDBY_DELAY: Duration = Duration::from_millis(600);
/// The fraction of its interval after which a heartbeat may be sent, as timers are not exact.
const EARLY_SEND_RATIO: f64 = 0.9;
/// How long after its last heartbeat a member counts as alive in small fleets: twelve heartbeat
/// intervals within a zone.
pub const MIN_LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a silent member holds its share of the divided limits. Longer than a partition, during
/// which the member goes on using its share.
pub const SHARE_TTL: Duration = Duration::from_secs(600);
/// How long a member that announced its stop holds its share: it stops within its grace time.
pub const LEAVING_SHARE_TTL: Duration = Duration::from_secs(20);
/// The time to convergence after the first heartbeat of a converged member, or after the start in a
/// fleet that starts for the first time: ten heartbeats, and the difference between the starts of
/// hosts that start together.
pub const CONVERGENCE_DELAY: Duration = Duration::from_millis(1_300);
/// The time after its start from which on a daemon is taken to know all members that it can reach:
/// several turns of heartbeats of a large fleet, and the difference between the starts of hosts. Well
/// below the bound on recovery, 12 s on the users' platform.
pub const PROVISIONAL_DELAY: Duration = Duration::from_secs(4);
/// How long a daemon waits for the heartbeat of a converged member before it relies on the members
/// that it has discovered itself. Longer than a partition in which hosts restart.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// The maximum difference between the starts of two daemons, by their clocks, that were lost together and
/// are started again by the platform.
const MAX_START_DIFFERENCE: Duration = Duration::from_secs(5);

/// One other daemon.
#[derive(Debug, Clone)]
pub struct Member {
    /// The member's last heartbeat.
    pub heartbeat: Heartbeat,
    lost_pools: LostPools,
    /// When that heartbeat arrived.
    pub last_seen: Instant,
    /// When this daemon last sent the member a heartbeat.
    last_sent: Option<Instant>,
}

/// Whether a daemon watches the source for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Role {
    /// Watches the source on behalf of the fleet.
    #[display("observer")]
    Watcher,
    /// Watches the source while a watcher ranked above can't.
    #[display("substitute")]
    StandbyWatcher,
    /// Receives changes from peers.
    #[display("idle")]
    Idle,
}

/// The properties by which daemons are ranked as watchers of the source.
#[derive(Debug, Clone, Copy)]
pub struct WatcherCandidate<'a> {
    /// The [`name_hash`] of the daemon's host.
    pub host_hash: u32,
    /// The daemon's availability zone.
    pub zone: &'a Zone,
    /// The capacity of the daemon's host, in requests per second.
    pub weight: u16,
}

/// The table of members. The daemon itself is not in it.
#[derive(Debug)]
pub struct Table {
    members: Map<IpAddr, Member>,
    /// Members that peers listed, by the hash of the host's name, with the time at which their
    /// shares expire.
    reported: Map<u32, Instant>,
    watchers: Watchers,
    started: Instant,
    /// When this daemon's process started by its host's clock, in ms since 1970.
    started_ms: u64,
    /// The seeds other than this daemon's host.
    seeds: Vec<IpAddr>,
    /// Whether this daemon's host is a seed.
    is_seed: bool,
    /// When the membership converges, once a converged member was seen.
    converges_at: Option<Instant>,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Change {
    /// The member is new, or was silent.
    #[display("joined")]
    Joined,
    /// The member's process restarted.
    #[display("restarted")]
    Restarted,
    /// The member is in another phase.
    #[display("phase")]
    Phase,
}

impl Member {
    /// Whether the member reaches backend servers of the pool with this hash, as far as it knows.
    pub fn reaches(&self, pool_hash: u32) -> bool {
        !self.lost_pools.contains(pool_hash)
    }

    fn host_hash(&self) -> u32 {
        name_hash(self.heartbeat.host.as_str())
    }

    /// When the member's share of the divided limits expires.
    fn share_expires_at(&self) -> Instant {
        match self.heartbeat.phase {
            Phase::Leaving => self.last_seen + LEAVING_SHARE_TTL,
            Phase::Starting | Phase::Ready => self.last_seen + SHARE_TTL,
        }
    }
}

impl Table {
    /// The table of a daemon that starts. On the `first_start` of the whole fleet there are no
    /// earlier members that could still use their shares.
    pub fn new(started: Instant, first_start: bool) -> Self {
        let converges_at = first_start.then(|| started + CONVERGENCE_DELAY);
        Self {
            members: Map::default(),
            reported: Map::default(),
            watchers: Watchers::default(),
            started,
            started_ms: 0,
            seeds: Vec::new(),
            is_seed: false,
            converges_at,
        }
    }

    /// Adds the seeds that the daemon's settings name, its own address and its incarnation. Without them
    /// it can't recognize a restart of the whole fleet.
    pub fn with_seeds(mut self, own: IpAddr, seeds: &[IpAddr], incarnation: u64) -> Self {
        self.seeds = seeds.iter().copied().filter(|&seed| seed != own).collect();
        self.is_seed = seeds.contains(&own);
        self.started_ms = started_ms(incarnation);
        self
    }

    /// Whether the membership has converged: the table has all members that may use a share of the
    /// divided limits. Until then a daemon that started on one side of a partition would use the
    /// shares of the members on the other side.
    pub fn has_converged(&self, now: Instant) -> bool {
        self.converges_at.is_some_and(|at| now >= at) || now >= self.started + CONVERGENCE_TIMEOUT
    }

    /// How completely the table has the members that may use a share of the divided limits. It is
    /// provisional where all members in reach have started as well, or there are none: it can't tell a
    /// restart of all from one of its side of a partition.
    pub fn membership(&self, now: Instant) -> Membership {
        if self.has_converged(now) {
            Membership::Converged
        } else if now >= self.started + PROVISIONAL_DELAY {
            Membership::Provisional(self.reach(now))
        } else {
            Membership::Partial
        }
    }

    /// Which seeds are in reach. All of them count only if all daemons in reach started together: a
    /// partition may leave a few daemons with all seeds, and these may have restarted one by one while
    /// the others run on.
    fn reach(&self, now: Instant) -> Reach {
        let others = self.seeds.iter().filter(|&&seed| self.is_alive(seed, now)).count();
        let started_together = |member: &Member| {
            let difference_ms = member.heartbeat.started_ms().abs_diff(self.started_ms);
            difference_ms <= MAX_START_DIFFERENCE.as_millis() as u64
        };
        if others == 0 {
            let none = !self.is_seed && !self.seeds.is_empty();
            if none { Reach::NoSeeds } else { Reach::SomeSeeds }
        } else if others == self.seeds.len()
            && self.alive(now).all(|(_, member)| started_together(member))
        {
            Reach::AllSeeds
        } else {
            Reach::SomeSeeds
        }
    }

    /// Records a heartbeat. Returns `None` if nothing changed or if the sender has restarted since.
    pub fn record_heartbeat(
        &mut self,
        from: IpAddr,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Option<Change> {
        if heartbeat.converged {
            self.converges_at.get_or_insert(now + CONVERGENCE_DELAY);
        }
        for entry in &heartbeat.members {
            let until = now + Duration::from_secs(u64::from(entry.share_left_s)).min(SHARE_TTL);
            let expires_at = self.reported.entry(entry.host_hash).or_insert(until);
            *expires_at = until.max(*expires_at);
        }
        let liveness_timeout = self.liveness_timeout();
        let Some(member) = self.members.get_mut(&from) else {
            self.watchers.record_heartbeat(&heartbeat, now);
            let lost_pools = LostPools::default();
            let member = Member { heartbeat, lost_pools, last_seen: now, last_sent: None };
            self.members.insert(from, member);
            return Some(Change::Joined);
        };
        if heartbeat.incarnation < member.heartbeat.incarnation {
            return None;
        }
        self.watchers.record_heartbeat(&heartbeat, now);
        let change = if now.duration_since(member.last_seen) > liveness_timeout {
            Some(Change::Joined)
        } else if heartbeat.incarnation > member.heartbeat.incarnation {
            Some(Change::Restarted)
        } else {
            (heartbeat.phase != member.heartbeat.phase).then_some(Change::Phase)
        };
        (member.heartbeat, member.last_seen) = (heartbeat, now);
        change
    }

    /// Records the pools that a member can't reach, as it sent them with a heartbeat of this
    /// incarnation. Returns whether others than before are among them.
    pub fn record_lost_pools(
        &mut self,
        from: IpAddr,
        incarnation: u64,
        lost_pools: LostPools,
    ) -> bool {
        match self.members.get_mut(&from) {
            Some(member) if member.heartbeat.incarnation == incarnation => {
                let has_more = !lost_pools.is_empty() && lost_pools != member.lost_pools;
                member.lost_pools = lost_pools;
                has_more
            }
            _ => false,
        }
    }

    /// Records the signs of life of watchers that a peer passed on.
    pub fn record_watchers(&mut self, entries: &[WatcherEntry], now: Instant) {
        self.watchers.record_entries(entries, now);
    }

    /// The last signs of life of watchers, to be passed on.
    pub fn watcher_entries(&self, now: Instant) -> Vec<WatcherEntry> {
        self.watchers.entries(now)
    }

    /// How long the daemon has run.
    pub fn uptime(&self, now: Instant) -> Duration {
        now.duration_since(self.started)
    }

    /// The members with a recent heartbeat.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = (&IpAddr, &Member)> {
        let liveness_timeout = self.liveness_timeout();
        let is_alive =
            move |member: &Member| now.duration_since(member.last_seen) <= liveness_timeout;
        self.members.iter().filter(move |(_, member)| is_alive(member))
    }

    /// How long after its last heartbeat a member counts as alive: four heartbeats, where the fleet
    /// is so large that members get them in turn.
    fn liveness_timeout(&self) -> Duration {
        let turns = self.members.len() as f64 / MAX_FANOUT as f64;
        MIN_LIVENESS_TIMEOUT.max(HEARTBEAT_INTERVAL.mul_f64(4.0 * turns))
    }

    /// The members that are alive and accept callers.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let alive = self.alive(now).map(|(_, member)| member);
        alive.filter(|member| member.heartbeat.phase == Phase::Ready)
    }

    /// The hashes of the host names of all members that may still use their share of a divided
    /// limit. With a provisional membership each side of a partition has a part of the limit of its
    /// own, so the members in reach divide it.
    pub fn share_holders(&self, now: Instant) -> Vec<u32> {
        let mut hashes: Vec<u32> = if matches!(self.membership(now), Membership::Provisional(_)) {
            self.alive(now).map(|(_, member)| member.host_hash()).collect()
        } else {
            let seen = self.members.values().filter(|member| member.share_expires_at() > now);
            let reported = self.reported.iter().filter(|&(_, &until)| until > now);
            seen.map(Member::host_hash).chain(reported.map(|(&hash, _)| hash)).collect()
        };
        hashes.sort_unstable();
        hashes.dedup();
        hashes
    }

    /// The members to list in heartbeats: all that were seen and may still use their share.
    pub fn member_entries(&self, now: Instant) -> Vec<MemberEntry> {
        let holders = self.members.iter().filter(|(_, member)| member.share_expires_at() > now);
        let entries = holders.map(|(&address, member)| MemberEntry {
            address,
            host_hash: member.host_hash(),
            // Rounded down, so that a value that peers report back to each other reaches 0.
            share_left_s: member.share_expires_at().duration_since(now).as_secs() as u16,
        });
        entries.collect()
    }

    /// The members that are due for a heartbeat of a daemon in `zone`, the most overdue first.
    /// Marks them as sent.
    pub fn next_targets(&mut self, zone: &Zone, now: Instant) -> Vec<IpAddr> {
        let liveness_timeout = self.liveness_timeout();
        let interval = |member: &Member| {
            if now.duration_since(member.last_seen) > liveness_timeout {
                SILENT_MEMBER_INTERVAL
            } else if member.heartbeat.zone == *zone {
                HEARTBEAT_INTERVAL
            } else {
                REMOTE_ZONE_INTERVAL
            }
        };
        let members = self.members.iter().map(|(&address, member)| {
            let interval = interval(member);
            let waited = member.last_sent.map(|sent| now.duration_since(sent));
            let overdue = waited.map_or(f64::INFINITY, |waited| waited.div_duration_f64(interval));
            (overdue, interval, address)
        });
        let mut due: Vec<(f64, Duration, IpAddr)> =
            members.filter(|&(overdue, ..)| overdue >= EARLY_SEND_RATIO).collect();
        // Of members that are equally overdue those with the shorter interval go first. The order of the
        // map would otherwise decide how often members of the own zone get heartbeats.
        due.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        due.truncate(MAX_FANOUT);
        for (.., address) in &due {
            if let Some(member) = self.members.get_mut(address) {
                member.last_sent = Some(now);
            }
        }
        due.into_iter().map(|(.., address)| address).collect()
    }

    /// Whether another member watches the source.
    pub fn is_source_watched(&self, now: Instant) -> bool {
        self.watch(now) == Watch::Active
    }

    /// Whether other members watch the source.
    pub fn watch(&self, now: Instant) -> Watch {
        self.watchers.watch(self.liveness_timeout(), now)
    }

    fn is_watching(&self, member: &Member, now: Instant) -> bool {
        let hash = member.host_hash();
        member.heartbeat.watches_source
            && self.watchers.is_watching(hash, self.liveness_timeout(), now)
    }

    /// The members of the own zone that go before a daemon as watchers.
    fn ahead(&self, own: &WatcherCandidate<'_>, now: Instant) -> impl Iterator<Item = &Member> {
        let rank = (own.weight, own.host_hash);
        let near = move |member: &&Member| member.heartbeat.zone == *own.zone;
        let is_ahead = move |member: &&Member| (member.heartbeat.weight, member.host_hash()) > rank;
        self.alive(now).map(|(_, member)| member).filter(near).filter(is_ahead)
    }

    /// How long a daemon that becomes a standby watcher stays idle, as others go before it.
    pub fn standby_delay(&self, own: &WatcherCandidate<'_>, now: Instant) -> Duration {
        let before = self.ahead(own, now).filter(|member| !member.heartbeat.watches_source).count();
        (STANDBY_STEP * before as u32).min(MAX_STANDBY_DELAY)
    }

    /// Whether this daemon watches the source on behalf of the fleet: the daemons of the largest
    /// capacity in each zone do, and the next ones in place of daemons that can't. The load on the
    /// source would otherwise grow with the fleet; the others see the new position in heartbeats
    /// and fetch the changes from a peer.
    pub fn role(&self, own: &WatcherCandidate<'_>, now: Instant) -> Role {
        let others = || self.alive(now).map(|(_, member)| member);
        let mut zones: Vec<&Zone> = others().map(|member| &member.heartbeat.zone).collect();
        zones.push(own.zone);
        zones.sort_unstable();
        zones.dedup();
        let watchers_per_zone = MIN_WATCHERS.div_ceil(zones.len());
        let (mut all, mut watching) = (0, 0);
        for member in self.ahead(own, now) {
            all += 1;
            watching += usize::from(self.is_watching(member, now));
        }
        if all < watchers_per_zone {
            Role::Watcher
        } else if watching < watchers_per_zone {
            Role::StandbyWatcher
        } else {
            Role::Idle
        }
    }

    /// The number of members, silent ones included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the table has no members, not even silent ones.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether the member at `address` has a recent heartbeat.
    pub fn is_alive(&self, address: IpAddr, now: Instant) -> bool {
        self.alive(now).any(|(&other, _)| other == address)
    }

    /// Removes members whose share has expired.
    pub fn expire(&mut self, now: Instant) {
        self.members.retain(|_, member| member.share_expires_at() > now);
        self.reported.retain(|_, until| *until > now);
        self.watchers.expire(now);
    }
}
