//! The members that a daemon has heard of.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::{collections::Map, name::Zone};

use crate::beat::{Beat, Named, Phase, name_hash};

/// The time between two beats to a member of the own zone.
pub const PERIOD: Duration = Duration::from_millis(100);
/// The same for members of other zones: bytes between zones cost.
const FAR_PERIOD: Duration = Duration::from_millis(200);
/// The same for members that are silent: finds out when a partition has healed.
const SILENT_PERIOD: Duration = Duration::from_secs(1);
/// The largest number of members that get a beat in one period. Keeps the cost of a host flat; in
/// larger fleets each member gets beats less often, all in turn.
pub const FANOUT: usize = 16;
/// The least number of daemons that follow the source for all, over all zones.
const OBSERVERS: usize = 3;
/// How much earlier than due a member may get its beat, as timers are not exact.
const EARLY: f64 = 0.9;
/// How long after its last beat a member counts as there, at the least: ten beats in its zone.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_200);
/// How long a silent member keeps its part of what is divided among all. Longer than a partition,
/// during which the member goes on to use its part.
pub const PART_KEPT: Duration = Duration::from_secs(600);
/// The same for a member that said that it leaves: it ends within its time to stop.
pub const LEAVING_KEPT: Duration = Duration::from_secs(20);
/// How long a daemon learns the members, counted from the first that knows them all: ten beats, and
/// the starts of hosts that start together.
pub const LEARNING: Duration = Duration::from_millis(1_300);
/// How long a daemon waits for a member that knows all the others before it relies on those that it
/// has heard of itself. Longer than a partition in which hosts restart.
pub const ALONE: Duration = Duration::from_secs(20);

/// One other daemon.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its last beat.
    pub beat: Beat,
    /// When that came.
    pub heard: Instant,
    /// When this daemon sent it a beat last.
    told: Option<Instant>,
}

/// Whether a daemon follows the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Duty {
    /// It does, for others too.
    #[display("observer")]
    Observer,
    /// It does while one that should can't.
    #[display("substitute")]
    Substitute,
    /// Others tell it of changes.
    #[display("idle")]
    Idle,
}

/// What ranks a daemon among those that may follow the source.
#[derive(Debug, Clone, Copy)]
pub struct Observer<'a> {
    /// The hash of its name.
    pub host: u32,
    /// Its availability zone.
    pub zone: &'a Zone,
    /// What it can carry.
    pub weight: u16,
}

/// The table of members. The daemon itself is not in it.
#[derive(Debug)]
pub struct Table {
    members: Map<IpAddr, Member>,
    /// Members that others told of, by the hash of the name, and until when their parts are kept.
    told: Map<u32, Instant>,
    started: Instant,
    /// When all members are known, if one that knows them was heard.
    settles: Option<Instant>,
}

/// What a beat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Change {
    /// The member was not known, or was silent.
    #[display("joined")]
    Joined,
    /// The member started again.
    #[display("restarted")]
    Restarted,
    /// The member's phase is another.
    #[display("phase")]
    Phase,
}

impl Member {
    fn hash(&self) -> u32 {
        name_hash(self.beat.host.as_str())
    }

    /// Until when it keeps its part of what is divided among all.
    fn kept_until(&self) -> Instant {
        match self.beat.phase {
            Phase::Leaving => self.heard + LEAVING_KEPT,
            Phase::Starting | Phase::Ready => self.heard + PART_KEPT,
        }
    }
}

impl Table {
    /// The table of a daemon that starts. On the `first_start` of all there is no earlier member that
    /// could still use its part.
    pub fn new(started: Instant, first_start: bool) -> Self {
        let settles = first_start.then(|| started + LEARNING);
        Self { members: Map::default(), told: Map::default(), started, settles }
    }

    /// Whether all members that may use a part of what is divided are known. Until then a daemon
    /// that started in one side of a partition would take the parts of the other side's members.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.settles.is_some_and(|at| now >= at) || now >= self.started + ALONE
    }

    /// Takes a beat. Returns what it changed, or `None` for nothing or an old incarnation.
    pub fn hear(&mut self, from: IpAddr, beat: Beat, now: Instant) -> Option<Change> {
        if beat.settled {
            self.settles.get_or_insert(now + LEARNING);
        }
        for named in &beat.members {
            let until = now + Duration::from_secs(u64::from(named.kept_s)).min(PART_KEPT);
            let told = self.told.entry(named.host).or_insert(until);
            *told = until.max(*told);
        }
        let silent_after = self.silent_after();
        let Some(known) = self.members.get_mut(&from) else {
            self.members.insert(from, Member { beat, heard: now, told: None });
            return Some(Change::Joined);
        };
        if beat.incarnation < known.beat.incarnation {
            return None;
        }
        let change = if now.duration_since(known.heard) > silent_after {
            Some(Change::Joined)
        } else if beat.incarnation > known.beat.incarnation {
            Some(Change::Restarted)
        } else {
            (beat.phase != known.beat.phase).then_some(Change::Phase)
        };
        (known.beat, known.heard) = (beat, now);
        change
    }

    /// The members heard of lately.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = (&IpAddr, &Member)> {
        let silent_after = self.silent_after();
        let is_heard = move |member: &Member| now.duration_since(member.heard) <= silent_after;
        self.members.iter().filter(move |(_, member)| is_heard(member))
    }

    /// How long after its last beat a member counts as there: four beats where all get them in turn.
    fn silent_after(&self) -> Duration {
        let turns = self.members.len() as f64 / FANOUT as f64;
        SILENT_AFTER.max(PERIOD.mul_f64(4.0 * turns))
    }

    /// The members that take callers.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let alive = self.alive(now).map(|(_, member)| member);
        alive.filter(|member| member.beat.phase == Phase::Ready)
    }

    /// The hashes of the names of all members that may still use their part of a divided right.
    pub fn sharers(&self, now: Instant) -> Vec<u32> {
        let kept = self.members.values().filter(|member| member.kept_until() > now);
        let told = self.told.iter().filter(|&(_, &until)| until > now);
        let hashes = kept.map(Member::hash).chain(told.map(|(&hash, _)| hash));
        let mut hashes: Vec<u32> = hashes.collect();
        hashes.sort_unstable();
        hashes.dedup();
        hashes
    }

    /// The members to name to peers: all that may still use their part.
    pub fn named(&self, now: Instant) -> Vec<Named> {
        let kept = self.members.iter().filter(|(_, member)| member.kept_until() > now);
        let named = kept.map(|(&address, member)| Named {
            address,
            host: member.hash(),
            // Rounded down, so that what is told in a circle ends.
            kept_s: member.kept_until().duration_since(now).as_secs() as u16,
        });
        named.collect()
    }

    /// The members that are due for a beat of a daemon in `zone`, those that wait longest first. They
    /// count as told.
    pub fn due(&mut self, zone: &Zone, now: Instant) -> Vec<IpAddr> {
        let silent_after = self.silent_after();
        let overdue = |member: &Member| {
            let period = if now.duration_since(member.heard) > silent_after {
                SILENT_PERIOD
            } else if member.beat.zone == *zone {
                PERIOD
            } else {
                FAR_PERIOD
            };
            let waited = member.told.map(|told| now.duration_since(told));
            waited.map_or(f64::INFINITY, |waited| waited.as_secs_f64() / period.as_secs_f64())
        };
        let members = self.members.iter().map(|(&address, member)| (overdue(member), address));
        let mut due: Vec<(f64, IpAddr)> =
            members.filter(|&(overdue, _)| overdue >= EARLY).collect();
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        due.truncate(FANOUT);
        for (_, address) in &due {
            if let Some(member) = self.members.get_mut(address) {
                member.told = Some(now);
            }
        }
        due.into_iter().map(|(_, address)| address).collect()
    }

    /// Whether another member follows the source.
    pub fn is_followed(&self, now: Instant) -> bool {
        self.alive(now).any(|(_, member)| member.beat.follows)
    }

    /// Whether this daemon is one of those that follow the source for all: the strongest of each zone,
    /// and the next ones for those that can't. Calls to the source cost, and they would grow with the
    /// fleet; the others learn of changes by beats and fetch them from a peer.
    pub fn duty(&self, own: &Observer<'_>, now: Instant) -> Duty {
        let others = || self.alive(now).map(|(_, member)| member);
        let mut zones: Vec<&Zone> = others().map(|member| &member.beat.zone).collect();
        zones.push(own.zone);
        zones.sort_unstable();
        zones.dedup();
        let observers = OBSERVERS.div_ceil(zones.len());
        let rank = (own.weight, own.host);
        let near = others().filter(|member| member.beat.zone == *own.zone);
        let ahead = near.filter(|member| (member.beat.weight, member.hash()) > rank);
        let (mut all, mut following) = (0, 0);
        for member in ahead {
            all += 1;
            following += usize::from(member.beat.follows);
        }
        if all < observers {
            Duty::Observer
        } else if following < observers {
            Duty::Substitute
        } else {
            Duty::Idle
        }
    }

    /// The number of known members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether a member of this address was heard of lately.
    pub fn hears(&self, address: IpAddr, now: Instant) -> bool {
        self.alive(now).any(|(&known, _)| known == address)
    }

    /// Forgets members whose part has lapsed.
    pub fn expire(&mut self, now: Instant) {
        self.members.retain(|_, member| member.kept_until() > now);
        self.told.retain(|_, until| *until > now);
    }
}
