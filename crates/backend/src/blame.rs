//! Blame for requests that ran at a backend server when it died.
//!
//! Every such request is a suspect, and a suspect runs where no other suspect runs. One that is
//! there alone when a backend server dies for the second time is quarantined. The module is pure:
//! time is passed in, and the registry's bounds hold whatever callers send.

use std::time::{Duration, Instant};

use hyssop_document::collections::Map;

/// The number of crashes after which a fingerprint is quarantined.
///
/// The first crash may have had several suspects, the other two had this one alone.
pub const QUARANTINE_CRASHES: u32 = 3;
/// The largest number of fingerprints remembered.
pub const MAX_ENTRIES: usize = 10_000;

/// The fingerprint of a request: what makes it crash a backend server again.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    derive_more::LowerHex,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl std::str::FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// How a fingerprint stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Standing {
    /// Nothing is known against it.
    #[display("clear")]
    Clear,
    /// It ran where a backend server died, and runs alone from now on.
    #[display("suspect")]
    Suspect,
    /// It is not run any more.
    #[display("quarantined")]
    Quarantined,
}

/// What is known about one fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// The crashes that it was blamed for.
    pub crashes: u32,
    /// The time at which the record is forgotten.
    pub expires: Instant,
}

impl Record {
    /// The standing that follows.
    pub fn standing(&self) -> Standing {
        match self.crashes {
            0 => Standing::Clear,
            1..QUARANTINE_CRASHES => Standing::Suspect,
            _ => Standing::Quarantined,
        }
    }
}

/// The records of one daemon, which are merged with those of its peers.
#[derive(Debug)]
pub struct Registry {
    records: Map<Fingerprint, Record>,
    lifetime: Duration,
}

impl Registry {
    /// An empty registry, whose records last for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self { records: Map::default(), lifetime }
    }

    /// What is known about a fingerprint.
    pub fn get(&self, fingerprint: Fingerprint, now: Instant) -> Option<Record> {
        self.records.get(&fingerprint).filter(|record| record.expires > now).copied()
    }

    /// How a fingerprint stands.
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        self.get(fingerprint, now).map_or(Standing::Clear, |record| record.standing())
    }

    /// Blames a fingerprint for one crash and returns the record to spread.
    ///
    /// Crashes where other suspects ran too only make it a suspect, however many of its copies
    /// ran there: a request that is sent often must not be quarantined for what others did.
    pub fn blame(&mut self, fingerprint: Fingerprint, solo: bool, now: Instant) -> Record {
        let known = self.get(fingerprint, now).map_or(0, |record| record.crashes);
        let crashes = if solo { known.max(1) + 1 } else { known.max(1) };
        let record = Record { crashes, expires: now + self.lifetime };
        self.insert(fingerprint, record, now);
        record
    }

    /// Takes in what a peer knows. The larger number of crashes counts.
    pub fn merge(&mut self, fingerprint: Fingerprint, record: Record, now: Instant) {
        let expires = record.expires.min(now + self.lifetime);
        if expires <= now {
            return;
        }
        let known = self.get(fingerprint, now);
        if known.is_none_or(|known| known.crashes < record.crashes) {
            self.insert(fingerprint, Record { crashes: record.crashes, expires }, now);
        }
    }

    /// Forgets a suspect that ran alone to its end, unless it was blamed for a crash alone.
    ///
    /// Returns whether it was forgotten. A request that crashes a backend server in some of its
    /// runs only so keeps its record until that expires.
    pub fn acquit(&mut self, fingerprint: Fingerprint) -> bool {
        let shared = self.records.get(&fingerprint).is_some_and(|record| record.crashes <= 1);
        shared && self.records.remove(&fingerprint).is_some()
    }

    /// Forgets a fingerprint that an operator released.
    pub fn release(&mut self, fingerprint: Fingerprint) -> Option<Record> {
        self.records.remove(&fingerprint)
    }

    /// All records, those with the most crashes first.
    pub fn list(&self, now: Instant) -> Vec<(Fingerprint, Record)> {
        let live = self.records.iter().filter(|(_, record)| record.expires > now);
        let mut list: Vec<_> = live.map(|(fingerprint, record)| (*fingerprint, *record)).collect();
        list.sort_by_key(|(fingerprint, record)| (std::cmp::Reverse(record.crashes), *fingerprint));
        list
    }

    fn insert(&mut self, fingerprint: Fingerprint, record: Record, now: Instant) {
        let full = self.records.len() >= MAX_ENTRIES && !self.records.contains_key(&fingerprint);
        if full {
            self.make_room(now);
        }
        self.records.insert(fingerprint, record);
    }

    /// Drops what has expired, else the record with the fewest crashes that expires first.
    fn make_room(&mut self, now: Instant) {
        self.records.retain(|_, record| record.expires > now);
        if self.records.len() < MAX_ENTRIES {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, record)| (record.crashes, record.expires));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
