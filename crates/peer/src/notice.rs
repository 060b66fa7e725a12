//! Notices: small values with a limited lifetime, replicated to all daemons. Quarantined
//! fingerprints are an example.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use hyssop_document::{collections::Map, digest::Digest};
use serde::{Deserialize, Serialize};

/// The limit of notices on a daemon. Further notices are dropped.
pub const MAX_NOTICES: usize = 4096;

/// The identity of a notice.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{kind}/{key:016x}")]
pub struct Name {
    /// The namespace of `key`.
    pub kind: CompactString,
    /// The key within the namespace, such as a fingerprint.
    pub key: u64,
}

/// A notice as it is replicated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Identifies the notice over all its versions.
    pub name: Name,
    /// The version. A higher one replaces a lower one; of equal ones, a withdrawal wins.
    pub version: u64,
    /// Whether the notice is in effect (`true`) or was withdrawn (`false`).
    pub active: bool,
    /// The remaining lifetime, in milliseconds.
    pub ttl_ms: u64,
    /// A short text for operators.
    pub text: CompactString,
}

#[derive(Debug, Clone)]
struct Entry {
    notice: Notice,
    expires_at: Instant,
}

/// The notices of one daemon.
#[derive(Debug, Default)]
pub struct Table {
    entries: Map<Name, Entry>,
    digest: u64,
    /// The earliest expiry of all entries.
    next_expiry: Option<Instant>,
}

impl Table {
    /// Publishes a notice. Returns it with its new version, to be sent to all peers.
    pub fn publish(
        &mut self,
        name: Name,
        text: CompactString,
        ttl: Duration,
        now: Instant,
    ) -> Notice {
        self.write(name, text, true, ttl, now)
    }

    /// Withdraws a notice. Returns the withdrawal to be sent to all peers, or `None` if the notice
    /// is not in effect.
    pub fn withdraw(&mut self, name: &Name, now: Instant) -> Option<Notice> {
        let entry =
            self.entries.get(name).filter(|entry| entry.notice.active && now < entry.expires_at)?;
        let ttl = entry.expires_at.saturating_duration_since(now);
        let text = entry.notice.text.clone();
        Some(self.write(name.clone(), text, false, ttl, now))
    }

    fn write(
        &mut self,
        name: Name,
        text: CompactString,
        active: bool,
        ttl: Duration,
        now: Instant,
    ) -> Notice {
        let version = self.entries.get(&name).map_or(0, |entry| entry.notice.version) + 1;
        let ttl_ms = ttl.as_millis() as u64;
        let notice = Notice { name, version, active, ttl_ms, text };
        self.apply(notice.clone(), now);
        notice
    }

    /// Applies a notice if it is newer than the stored one. Returns whether the table changed.
    pub fn apply(&mut self, notice: Notice, now: Instant) -> bool {
        self.expire(now);
        let rank = |notice: &Notice| (notice.version, !notice.active);
        let stored = self.entries.get(&notice.name);
        let full = stored.is_none() && self.entries.len() >= MAX_NOTICES;
        if full || stored.is_some_and(|stored| rank(&stored.notice) >= rank(&notice)) {
            return false;
        }
        let expires_at = now + Duration::from_millis(notice.ttl_ms);
        self.entries.insert(notice.name.clone(), Entry { notice, expires_at });
        self.update_digest();
        true
    }

    /// Returns a notice, withdrawn or not, with its remaining lifetime.
    pub fn get(&self, name: &Name, now: Instant) -> Option<Notice> {
        let entry = self.entries.get(name).filter(|entry| now < entry.expires_at)?;
        Some(entry.with_remaining_ttl(now))
    }

    /// Whether a notice is in effect.
    pub fn is_active(&self, name: &Name, now: Instant) -> bool {
        self.entries.get(name).is_some_and(|entry| entry.notice.active && now < entry.expires_at)
    }

    /// Returns all notices with their remaining lifetimes, withdrawn ones included.
    pub fn all(&self, now: Instant) -> Vec<Notice> {
        let unexpired = self.entries.values().filter(|entry| now < entry.expires_at);
        unexpired.map(|entry| entry.with_remaining_ttl(now)).collect()
    }

    /// Returns a digest over the names, versions and states of all notices. Peers compare it to
    /// find differences.
    pub fn digest(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.digest
    }

    fn expire(&mut self, now: Instant) {
        if self.next_expiry.is_some_and(|expiry| expiry <= now) {
            self.entries.retain(|_, entry| now < entry.expires_at);
            self.update_digest();
        }
    }

    fn update_digest(&mut self) {
        self.digest = self.entries.values().fold(0, |digest, entry| digest ^ entry.digest());
        self.next_expiry = self.entries.values().map(|entry| entry.expires_at).min();
    }
}

impl Entry {
    fn with_remaining_ttl(&self, now: Instant) -> Notice {
        let ttl = self.expires_at.saturating_duration_since(now);
        Notice { ttl_ms: ttl.as_millis() as u64, ..self.notice.clone() }
    }

    fn digest(&self) -> u64 {
        let Notice { name, version, active, .. } = &self.notice;
        Digest::of(format!("{name} {version} {active}").as_bytes()).short()
    }
}
