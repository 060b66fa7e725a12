//! Records of requests that were running at a backend server when it crashed.
//!
//! Every such request is a suspect, and a suspect runs at a backend server without other suspects.
//! A request is quarantined after two crashes at which it was the only suspect. The module does no
//! I/O and takes the time as an argument, and the registry stays bounded whatever callers send.

use std::time::{Duration, Instant};

use hyssop_document::collections::Map;

/// The number of crashes after which a fingerprint is quarantined.
///
/// The first crash may have had several suspects; in the other two this was the only one.
pub const QUARANTINE_CRASHES: u32 = 3;
/// The maximum number of fingerprints in a registry.
pub const MAX_ENTRIES: usize = 10_000;

/// Identifies requests that are expected to crash a backend server alike: a hash of their content.
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

/// Whether and where requests with a fingerprint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Status {
    /// No crash is recorded.
    #[display("clear")]
    Clear,
    /// A request was running at a backend server that crashed. Requests with the fingerprint must
    /// not run beside other suspects.
    #[display("suspect")]
    Suspect,
    /// Requests with the fingerprint must not run.
    #[display("quarantined")]
    Quarantined,
}

/// The crashes recorded for one fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// The number of crashes attributed to the fingerprint.
    pub crashes: u32,
    /// When the record expires.
    pub expires: Instant,
}

impl Record {
    /// The status that follows from the number of crashes.
    pub fn status(&self) -> Status {
        match self.crashes {
            0 => Status::Clear,
            1..QUARANTINE_CRASHES => Status::Suspect,
            _ => Status::Quarantined,
        }
    }
}

/// The crash records of one daemon, merged with those of its peers.
#[derive(Debug)]
pub struct Registry {
    records: Map<Fingerprint, Record>,
    record_ttl: Duration,
}

impl Registry {
    /// Creates an empty registry. A record expires `record_ttl` after the last crash.
    pub fn new(record_ttl: Duration) -> Self {
        Self { records: Map::default(), record_ttl }
    }

    /// The record of a fingerprint, unless it has expired.
    pub fn get(&self, fingerprint: Fingerprint, now: Instant) -> Option<Record> {
        self.records.get(&fingerprint).filter(|record| record.expires > now).copied()
    }

    /// The status of a fingerprint, [`Status::Clear`] if it has no record.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> Status {
        self.get(fingerprint, now).map_or(Status::Clear, |record| record.status())
    }

    /// Attributes one crash to a fingerprint and returns the record to publish.
    ///
    /// `solo` states that no other suspect was running at the backend server. Other crashes only
    /// make the fingerprint a suspect, however many copies of the request were running: a request
    /// that is sent often must not be quarantined for crashes that other requests caused.
    pub fn blame(&mut self, fingerprint: Fingerprint, solo: bool, now: Instant) -> Record {
        let earlier = self.get(fingerprint, now).map_or(0, |record| record.crashes);
        let crashes = if solo { earlier.max(1) + 1 } else { earlier.max(1) };
        let record = Record { crashes, expires: now + self.record_ttl };
        self.insert(fingerprint, record, now);
        record
    }

    /// Merges a peer's record. The record with more crashes is kept.
    pub fn merge(&mut self, fingerprint: Fingerprint, record: Record, now: Instant) {
        let expires = record.expires.min(now + self.record_ttl);
        if expires <= now {
            return;
        }
        let own = self.get(fingerprint, now);
        if own.is_none_or(|own| own.crashes < record.crashes) {
            self.insert(fingerprint, Record { crashes: record.crashes, expires }, now);
        }
    }

    /// Removes the record of a suspect that ran to completion with no other suspect beside it.
    ///
    /// Returns whether a record was removed. The record of a crash with no other suspect is kept
    /// until it expires, since a request may crash a backend server in only some of its runs.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint) -> bool {
        let removable = self.records.get(&fingerprint).is_some_and(|record| record.crashes <= 1);
        removable && self.records.remove(&fingerprint).is_some()
    }

    /// Removes the record of a fingerprint that an operator released.
    pub fn release(&mut self, fingerprint: Fingerprint) -> Option<Record> {
        self.records.remove(&fingerprint)
    }

    /// All records that have not expired, those with the most crashes first.
    pub fn list(&self, now: Instant) -> Vec<(Fingerprint, Record)> {
        let live = self.records.iter().filter(|(_, record)| record.expires > now);
        let mut list: Vec<_> = live.map(|(fingerprint, record)| (*fingerprint, *record)).collect();
        list.sort_by_key(|(fingerprint, record)| (std::cmp::Reverse(record.crashes), *fingerprint));
        list
    }

    fn insert(&mut self, fingerprint: Fingerprint, record: Record, now: Instant) {
        let full = self.records.len() >= MAX_ENTRIES && !self.records.contains_key(&fingerprint);
        if full {
            self.evict(now);
        }
        self.records.insert(fingerprint, record);
    }

    /// Removes expired records, or else the record with the fewest crashes. On a tie, removes the
    /// record that expires first.
    fn evict(&mut self, now: Instant) {
        self.records.retain(|_, record| record.expires > now);
        if self.records.len() < MAX_ENTRIES {
            return;
        }
        let fewest = self.records.iter().min_by_key(|(_, record)| (record.crashes, record.expires));
        if let Some(fingerprint) = fewest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
