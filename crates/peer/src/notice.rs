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
    pub holds: bool,
    /// The time until it is forgotten, in milliseconds.
    pub expires_ms: u64,
    /// A short text for operators.
    pub text: CompactString,
}

#[derive(Debug, Clone)]
struct Kept {
    notice: Notice,
    until: Instant,
}

/// The notices of one daemon.
#[derive(Debug, Default)]
pub struct Table {
    kept: Map<Name, Kept>,
    digest: u64,
    /// The time at which the first notice is forgotten.
    next_end: Option<Instant>,
}

impl Table {
    /// Puts a notice up. Returns it with its version, to be spread.
    pub fn put(
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
        let kept = self.kept.get(name).filter(|kept| kept.notice.holds && now < kept.until)?;
        let left = kept.until.saturating_duration_since(now);
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
        let version = self.kept.get(&name).map_or(0, |kept| kept.notice.version) + 1;
        let expires_ms = expires.as_millis() as u64;
        let notice = Notice { name, version, holds, expires_ms, text };
        self.take(notice.clone(), now);
        notice
    }

    /// Takes a notice of a peer in. Returns whether it was news.
    pub fn take(&mut self, notice: Notice, now: Instant) -> bool {
        self.expire(now);
        let rank = |notice: &Notice| (notice.version, !notice.holds);
        let known = self.kept.get(&notice.name);
        let full = known.is_none() && self.kept.len() >= MAX_NOTICES;
        if full || known.is_some_and(|known| rank(&known.notice) >= rank(&notice)) {
            return false;
        }
        let until = now + Duration::from_millis(notice.expires_ms);
        self.kept.insert(notice.name.clone(), Kept { notice, until });
        self.summarize();
        true
    }

    /// A notice, also one that was taken back, with the time that it has left.
    pub fn get(&self, name: &Name, now: Instant) -> Option<Notice> {
        let kept = self.kept.get(name).filter(|kept| now < kept.until)?;
        Some(kept.left(now))
    }

    /// Whether a notice holds.
    pub fn holds(&self, name: &Name, now: Instant) -> bool {
        self.kept.get(name).is_some_and(|kept| kept.notice.holds && now < kept.until)
    }

    /// All notices with the time that they have left, those taken back as well.
    pub fn all(&self, now: Instant) -> Vec<Notice> {
        let alive = self.kept.values().filter(|kept| now < kept.until);
        alive.map(|kept| kept.left(now)).collect()
    }

    /// A digest over names and versions: different boards differ in it.
    pub fn digest(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.digest
    }

    fn expire(&mut self, now: Instant) {
        if self.next_end.is_some_and(|end| end <= now) {
            self.kept.retain(|_, kept| now < kept.until);
            self.summarize();
        }
    }

    fn summarize(&mut self) {
        self.digest = self.kept.values().fold(0, |sum, kept| sum ^ kept.digest());
        self.next_end = self.kept.values().map(|kept| kept.until).min();
    }
}

impl Kept {
    fn left(&self, now: Instant) -> Notice {
        let left = self.until.saturating_duration_since(now);
        Notice { expires_ms: left.as_millis() as u64, ..self.notice.clone() }
    }

    fn digest(&self) -> u64 {
        let Notice { name, version, holds, .. } = &self.notice;
        Digest::of(format!("{name} {version} {holds}").as_bytes()).short()
    }
}
