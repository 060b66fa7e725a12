//! The registry of idempotency keys.
//!
//! A key that was taken in is remembered until its time of issue lies further back than the window.
//! From then on it is refused as expired, by the same clock, so that it is never taken for a new
//! one. Memory is bounded by a number of keys and a number of bytes. A full registry takes in no
//! further key and forgets none early; idempotent requests then run unregistered.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use hyssop_document::{collections::Map, digest::Digest, name};
use parking_lot::Mutex;

use crate::{
    key::Key,
    outcome::{DEFAULT_RETRY_AFTER, Execution, Outcome, Reason},
    record::{Kept, Record},
};

/// The bounds of a registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The time for which a key is remembered after its issue.
    pub window: Duration,
    /// The time by which a key may be issued in the future.
    pub skew: Duration,
    /// The number of keys.
    pub keys: usize,
    /// The number of keys of one workspace.
    pub keys_per_workspace: usize,
    /// The bytes of all remembered answers.
    pub answer_bytes: usize,
    /// The bytes of one remembered answer.
    pub answer_bytes_per_key: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(15 * 60),
            skew: Duration::from_secs(30),
            keys: 50_000,
            keys_per_workspace: 25_000,
            answer_bytes: 64 << 20,
            answer_bytes_per_key: 64 << 10,
        }
    }
}

/// A key with its workspace. The same key of another workspace is another key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Owned {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The key.
    pub key: Key,
}

/// What to do with a request that has a key.
#[derive(Debug)]
pub enum Begin {
    /// Run it and write the record.
    Run(Fresh),
    /// Run it without registration, which is allowed to idempotent requests only.
    Unregistered(Fresh),
    /// Read the record of the run that has this key.
    Join(Arc<Record>),
    /// Answer with this outcome. Nothing was registered.
    Refuse(Outcome),
}

/// A run that begins.
#[derive(Debug)]
pub struct Fresh {
    /// The record to be written.
    pub record: Arc<Record>,
    /// Whether the request may have run before, which an idempotent one may.
    pub ran_before: bool,
}

#[derive(Debug)]
struct Entry {
    /// The digest of the request, absent if the key was refused before the request was known.
    digest: Option<Digest>,
    run: Run,
    idempotent: bool,
    /// The bytes that count against the bound: reserved while it runs, used afterwards.
    bytes: usize,
    place: Place,
}

impl Entry {
    /// Whether a copy runs it again instead of getting its outcome.
    fn may_run_again(&self) -> bool {
        matches!(&self.run, Run::Ended(kept) if self.idempotent && !kept.is_whole())
    }
}

/// The run of a key.
#[derive(Debug)]
enum Run {
    /// It goes on.
    Live(Arc<Record>),
    /// It has ended.
    Ended(Box<Kept>),
}

impl Run {
    fn record(&self) -> Arc<Record> {
        match self {
            Self::Live(record) => Arc::clone(record),
            Self::Ended(kept) => Arc::new(kept.record()),
        }
    }

    fn has_ended(&self) -> bool {
        matches!(self, Self::Ended(_))
    }
}

/// The place of a key in the order of issue: the time of issue and a number that is unique.
type Place = (u64, u64);

#[derive(Debug, Default)]
struct Inner {
    entries: Map<Arc<Owned>, Entry>,
    by_issue: BTreeMap<Place, Arc<Owned>>,
    /// The finished idempotent requests, which may be forgotten early.
    evictable: BTreeSet<Place>,
    sequence: u64,
    per_workspace: Map<name::Workspace, usize>,
    bytes: usize,
    /// For each workspace the latest time of issue of a key that was refused for want of room.
    refused_until: Map<name::Workspace, u64>,
    /// For each workspace the latest time of issue of an idempotent key that was not remembered.
    forgotten_until: Map<name::Workspace, u64>,
}

/// The registry.
#[derive(Debug)]
pub struct Registry {
    inner: Mutex<Inner>,
    limits: Limits,
    started: Instant,
    started_ms: u64,
}

impl Registry {
    /// An empty registry whose wall clock is read once, at `now`, and moves with the monotonic
    /// clock from then on. A step of the system's clock can so not bring an expired key back.
    pub fn new(limits: Limits, now: Instant) -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let started_ms = since_epoch.unwrap_or_default().as_millis() as u64;
        Self { inner: Mutex::default(), limits, started: now, started_ms }
    }

    /// The registry's wall clock in milliseconds since 1970.
    pub fn wall_ms(&self, now: Instant) -> u64 {
        self.started_ms + now.saturating_duration_since(self.started).as_millis() as u64
    }

    /// Begins a request.
    pub fn begin(&self, owned: &Owned, digest: Digest, idempotent: bool, now: Instant) -> Begin {
        let wall_ms = self.wall_ms(now);
        let mut inner = self.inner.lock();
        inner.expire(self.oldest_ms(wall_ms));
        let mut ran_before = false;
        if let Some(entry) = inner.entries.get(owned) {
            if entry.digest.is_some_and(|known| known != digest) {
                return Begin::Refuse(reused());
            }
            if !entry.may_run_again() {
                return Begin::Join(entry.run.record());
            }
            ran_before = true;
            inner.remove(owned);
        }
        if let Err(outcome) = self.check_time(owned, wall_ms) {
            return Begin::Refuse(outcome);
        }
        if !idempotent && is_until(&inner.refused_until, owned) {
            return Begin::Refuse(full(DEFAULT_RETRY_AFTER));
        }
        ran_before |= idempotent && is_until(&inner.forgotten_until, owned);
        let record = Arc::new(Record::default());
        let run = Run::Live(Arc::clone(&record));
        let fresh = Fresh { record, ran_before };
        if self.insert(&mut inner, owned, Some(digest), run, idempotent) {
            return Begin::Run(fresh);
        }
        if idempotent {
            raise(&mut inner.forgotten_until, owned);
            return Begin::Unregistered(fresh);
        }
        raise(&mut inner.refused_until, owned);
        Begin::Refuse(full(self.limits.window))
    }

    /// Makes sure that a key which is refused before it began will not run later either.
    ///
    /// Returns whether that holds. It does not if the key has begun already.
    pub fn seal(&self, owned: &Owned, outcome: &Outcome, now: Instant) -> bool {
        let wall_ms = self.wall_ms(now);
        let mut inner = self.inner.lock();
        inner.expire(self.oldest_ms(wall_ms));
        if inner.entries.contains_key(owned) {
            return false;
        }
        if self.check_time(owned, wall_ms).is_err() {
            return false;
        }
        let run = Run::Ended(Box::new(Kept::outcome(outcome.clone())));
        if !self.insert(&mut inner, owned, None, run, false) {
            raise(&mut inner.refused_until, owned);
        }
        true
    }

    /// Notes that the run of a key has ended, as its record says.
    pub fn finish(&self, owned: &Owned) {
        let mut inner = self.inner.lock();
        let inner = &mut *inner;
        let Some(entry) = inner.entries.get_mut(owned) else { return };
        let Run::Live(record) = &entry.run else { return };
        let bytes = record.bytes();
        let fits = bytes <= self.limits.answer_bytes_per_key;
        let kept = if fits { Kept::of(record) } else { Kept::outcome(not_kept()) };
        inner.bytes -= entry.bytes;
        entry.bytes = if fits && kept.is_whole() { bytes } else { 0 };
        inner.bytes += entry.bytes;
        let has_run = kept.has_run();
        entry.run = Run::Ended(Box::new(kept));
        if !entry.idempotent {
            return;
        }
        let place = entry.place;
        if has_run {
            inner.evictable.insert(place);
        } else {
            // It may be sent again, and has left no trace.
            inner.remove(owned);
        }
    }

    /// The number of keys remembered and the bytes of their answers.
    pub fn size(&self) -> (usize, usize) {
        let inner = self.inner.lock();
        (inner.entries.len(), inner.bytes)
    }

    fn oldest_ms(&self, wall_ms: u64) -> u64 {
        wall_ms.saturating_sub(self.limits.window.as_millis() as u64)
    }

    fn check_time(&self, owned: &Owned, wall_ms: u64) -> Result<(), Outcome> {
        let issued_ms = owned.key.issued_ms;
        if issued_ms < self.oldest_ms(wall_ms) {
            // A key of that age may have run and been forgotten.
            let message = "the key is older than keys are remembered";
            return Err(Outcome::unknown(Reason::KeyExpired, message));
        }
        if issued_ms > wall_ms + self.limits.skew.as_millis() as u64 {
            // Its time may come, and then a late copy runs, so this is no "not run".
            let message = "the key was issued in the future; nothing was done with it yet";
            return Err(Outcome::unknown(Reason::KeyInFuture, message));
        }
        Ok(())
    }

    fn insert(
        &self,
        inner: &mut Inner,
        owned: &Owned,
        digest: Option<Digest>,
        run: Run,
        idempotent: bool,
    ) -> bool {
        let bytes = if run.has_ended() { 0 } else { self.limits.answer_bytes_per_key };
        while !self.has_room(inner, owned, bytes) {
            if !inner.evict_idempotent() {
                return false;
            }
        }
        inner.sequence += 1;
        let place = (owned.key.issued_ms, inner.sequence);
        let owned = Arc::new(owned.clone());
        inner.by_issue.insert(place, Arc::clone(&owned));
        *inner.per_workspace.entry(owned.workspace.clone()).or_default() += 1;
        inner.bytes += bytes;
        let entry = Entry { digest, run, idempotent, bytes, place };
        inner.entries.insert(owned, entry);
        true
    }

    fn has_room(&self, inner: &Inner, owned: &Owned, bytes: usize) -> bool {
        let own = inner.per_workspace.get(&owned.workspace).copied().unwrap_or(0);
        inner.entries.len() < self.limits.keys
            && own < self.limits.keys_per_workspace
            && inner.bytes + bytes <= self.limits.answer_bytes
    }
}

impl Inner {
    /// Forgets what was issued before `oldest_ms` and has ended.
    fn expire(&mut self, oldest_ms: u64) {
        let old = self.by_issue.range(..(oldest_ms, 0)).map(|(_, owned)| Arc::clone(owned));
        for owned in old.collect::<Vec<_>>() {
            if self.entries.get(&*owned).is_some_and(|entry| entry.run.has_ended()) {
                self.remove(&owned);
            }
        }
    }

    /// Forgets the finished idempotent request that was issued first.
    fn evict_idempotent(&mut self) -> bool {
        let first = self.evictable.first().and_then(|place| self.by_issue.get(place).cloned());
        first.is_some_and(|owned| {
            self.remove(&owned);
            raise(&mut self.forgotten_until, &owned);
            true
        })
    }

    fn remove(&mut self, owned: &Owned) {
        let Some(entry) = self.entries.remove(owned) else { return };
        self.bytes -= entry.bytes;
        self.by_issue.remove(&entry.place);
        self.evictable.remove(&entry.place);
        if let Some(count) = self.per_workspace.get_mut(&owned.workspace) {
            *count -= 1;
            if *count == 0 {
                self.per_workspace.remove(&owned.workspace);
            }
        }
    }
}

/// Remembers with one number what holds for a key: it then holds for every unknown key of the
/// workspace that was issued up to then, late copies of this one among them.
fn raise(until: &mut Map<name::Workspace, u64>, owned: &Owned) {
    let until = until.entry(owned.workspace.clone()).or_default();
    *until = (*until).max(owned.key.issued_ms);
}

fn is_until(until: &Map<name::Workspace, u64>, owned: &Owned) -> bool {
    until.get(&owned.workspace).is_some_and(|until| owned.key.issued_ms <= *until)
}

fn reused() -> Outcome {
    let message = "the key was used with another request, whose outcome is not affected";
    Outcome::refused(Reason::KeyReused, message)
}

fn full(retry_after: Duration) -> Outcome {
    let message = "no further key can be remembered now; use a new key later";
    Outcome::refused(Reason::KeysFull, message).retry_after(retry_after)
}

fn not_kept() -> Outcome {
    let message = "the request ran once; its answer was too large to be kept";
    Outcome::failed(Execution::Ran, Reason::AnswerNotKept, message)
}
