//! Small values that every daemon should have for a while, such as quarantined fingerprints.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use hyssop_document::{collections::Map, digest::Digest};
use serde::{Deserialize, Serialize};

/// The largest number of notices that a daemon keeps.
pub const MAX_NOTICES: usize = 4096;

/// The identity of a notice.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{kind}/{key:016x}")]
pub struct Name {
    /// What the notice is about.
    pub kind: CompactString,
    /// Which one, such as a fingerprint.
    pub key: u64,
}

/// A notice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The identity.
    pub name: Name,
    /// The version. A higher one replaces a lower one.
    pub version: u64,
    /// Whether the notice holds (`true`) or was taken back (`false`).
    pub active: bool,
    /// The time until it is forgotten, in milliseconds.
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
    /// The time at which the first notice is forgotten.
    next_expiry: Option<Instant>,
}

impl Table {
    /// Puts a notice up. Returns it with its version, to be spread.
    pub fn publish(
        &mut self,
        name: Name,
        text: CompactString,
        expires: Duration,
        now: Instant,
    ) -> Notice {
        self.write(name, text, true, expires, now)
    }

    /// Takes a notice back. Returns what is to be spread, or `None` if there was none.
    pub fn withdraw(&mut self, name: &Name, now: Instant) -> Option<Notice> {
        let kept =
            self.entries.get(name).filter(|kept| kept.notice.active && now < kept.expires_at)?;
        let left = kept.expires_at.saturating_duration_since(now);
        let text = kept.notice.text.clone();
        Some(self.write(name.clone(), text, false, left, now))
    }

    fn write(
        &mut self,
        name: Name,
        text: CompactString,
        holds: bool,
        expires: Duration,
        now: Instant,
    ) -> Notice {
        let version = self.entries.get(&name).map_or(0, |kept| kept.notice.version) + 1;
        let expires_ms = expires.as_millis() as u64;
        let notice = Notice { name, version, active: holds, ttl_ms: expires_ms, text };
        self.apply(notice.clone(), now);
        notice
    }

    /// Takes a notice of a peer in. Returns whether it was news.
    pub fn apply(&mut self, notice: Notice, now: Instant) -> bool {
        self.expire(now);
        let rank = |notice: &Notice| (notice.version, !notice.active);
        let known = self.entries.get(&notice.name);
        let full = known.is_none() && self.entries.len() >= MAX_NOTICES;
        if full || known.is_some_and(|known| rank(&known.notice) >= rank(&notice)) {
            return false;
        }
        let until = now + Duration::from_millis(notice.ttl_ms);
        self.entries.insert(notice.name.clone(), Entry { notice, expires_at: until });
        self.update_digest();
        true
    }

    /// A notice, also one that was taken back, with the time that it has left.
    pub fn get(&self, name: &Name, now: Instant) -> Option<Notice> {
        let kept = self.entries.get(name).filter(|kept| now < kept.expires_at)?;
        Some(kept.with_remaining_ttl(now))
    }

    /// Whether a notice holds.
    pub fn is_active(&self, name: &Name, now: Instant) -> bool {
        self.entries.get(name).is_some_and(|kept| kept.notice.active && now < kept.expires_at)
    }

    /// All notices with the time that they have left, those taken back as well.
    pub fn all(&self, now: Instant) -> Vec<Notice> {
        let alive = self.entries.values().filter(|kept| now < kept.expires_at);
        alive.map(|kept| kept.with_remaining_ttl(now)).collect()
    }

    /// A digest over names and versions: different boards differ in it.
    pub fn digest(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.digest
    }

    fn expire(&mut self, now: Instant) {
        if self.next_expiry.is_some_and(|end| end <= now) {
            self.entries.retain(|_, kept| now < kept.expires_at);
            self.update_digest();
        }
    }

    fn update_digest(&mut self) {
        self.digest = self.entries.values().fold(0, |sum, kept| sum ^ kept.digest());
        self.next_expiry = self.entries.values().map(|kept| kept.expires_at).min();
    }
}

impl Entry {
    fn with_remaining_ttl(&self, now: Instant) -> Notice {
        let left = self.expires_at.saturating_duration_since(now);
        Notice { ttl_ms: left.as_millis() as u64, ..self.notice.clone() }
    }

    fn digest(&self) -> u64 {
        let Notice { name, version, active: holds, .. } = &self.notice;
        Digest::of(format!("{name} {version} {holds}").as_bytes()).short()
    }
}
