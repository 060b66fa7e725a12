//! The members that a daemon has heard of.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::{collections::Map, name::Zone};

use crate::beat::{Beat, Phase, name_hash};

/// How long after its last beat a member counts as there: ten beats in its zone.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_200);
/// How long a silent member keeps its part of what is divided among all. Longer than a partition or
/// a pause of some seconds, during which the member goes on to use its part.
pub const PART_KEPT: Duration = Duration::from_secs(20);

/// One other daemon.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its last beat.
    pub beat: Beat,
    /// When that came.
    pub heard: Instant,
}

/// The table of members. The daemon itself is not in it.
#[derive(Debug, Default)]
pub struct Table {
    members: Map<IpAddr, Member>,
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

impl Table {
    /// Takes a beat. Returns what it changed, or `None` for nothing or an old incarnation.
    pub fn hear(&mut self, from: IpAddr, beat: Beat, now: Instant) -> Option<Change> {
        let Some(known) = self.members.get_mut(&from) else {
            self.members.insert(from, Member { beat, heard: now });
            return Some(Change::Joined);
        };
        if beat.incarnation < known.beat.incarnation {
            return None;
        }
        let change = if now.duration_since(known.heard) > SILENT_AFTER {
            Some(Change::Joined)
        } else if beat.incarnation > known.beat.incarnation {
            Some(Change::Restarted)
        } else {
            (beat.phase != known.beat.phase).then_some(Change::Phase)
        };
        *known = Member { beat, heard: now };
        change
    }

    /// The members heard of lately.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = (&IpAddr, &Member)> {
        self.members
            .iter()
            .filter(move |(_, member)| now.duration_since(member.heard) <= SILENT_AFTER)
    }

    /// The members that take callers.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let alive = self.alive(now).map(|(_, member)| member);
        alive.filter(|member| member.beat.phase == Phase::Ready)
    }

    /// The hashes of the names of all members that may still use their part of a divided right.
    pub fn sharers_hashes(&self, now: Instant) -> Vec<u32> {
        let kept = |member: &&Member| now.duration_since(member.heard) <= PART_KEPT;
        let sharers = self.members.values().filter(kept);
        sharers.map(|member| name_hash(member.beat.host.as_str())).collect()
    }

    /// The addresses of all known members.
    pub fn addresses(&self) -> impl Iterator<Item = (IpAddr, &Zone)> {
        self.members.iter().map(|(&address, member)| (address, &member.beat.zone))
    }

    /// Whether a member of this address was heard of lately.
    pub fn hears(&self, address: IpAddr, now: Instant) -> bool {
        self.alive(now).any(|(&known, _)| known == address)
    }

    /// Forgets members whose part has lapsed.
    pub fn expire(&mut self, now: Instant) {
        self.members.retain(|_, member| now.duration_since(member.heard) <= PART_KEPT);
    }
}
