//! The registry of idempotency keys.
//!
//! A key is kept for the retention after its time of issue. From then on it is refused as expired,
//! by the same clock, so that it is never mistaken for a new key. The number of keys and of bytes is
//! bounded. To make room, only ended idempotent requests are removed early. If that is not enough,
//! new keys are refused, and idempotent requests run unregistered.

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
    record::{Record, Stored},
};

/// The limits of a registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The time for which a key is kept after its issue.
    pub retention: Duration,
    /// The maximum time by which a key may be issued in the future.
    pub max_skew: Duration,
    /// The maximum number of keys.
    pub max_keys: usize,
    /// The maximum number of keys of one workspace.
    pub max_keys_per_workspace: usize,
    /// The maximum size of all stored responses. Each running request reserves the maximum for one
    /// key.
    pub max_response_bytes: usize,
    /// The maximum size of one stored response.
    pub max_response_bytes_per_key: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(15 * 60),
            max_skew: Duration::from_secs(30),
            max_keys: 50_000,
            max_keys_per_workspace: 25_000,
            max_response_bytes: 64 << 20,
            max_response_bytes_per_key: 64 << 10,
        }
    }
}

/// A key in the scope of its workspace. Workspaces may use equal keys independently.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ScopedKey {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The key.
    pub key: Key,
}

/// The decision on a request with a key.
#[derive(Debug)]
pub enum Admission {
    /// Run the request and write the record.
    Run(NewRun),
    /// Run the request without recording its key. Only for idempotent requests.
    Unregistered(NewRun),
    /// Read the record of the key's run.
    Join(Arc<Record>),
    /// Refuse the request with this outcome. No run was recorded for it.
    Refuse(Outcome),
}

/// A run to be started.
#[derive(Debug)]
pub struct NewRun {
    /// The record for the run to write.
    pub record: Arc<Record>,
    /// Whether an earlier copy of the request may have run. Never set for a non-idempotent request.
    pub ran_before: bool,
}

#[derive(Debug)]
struct Entry {
    /// The digest of the request, absent if the key was refused before the request was parsed.
    digest: Option<Digest>,
    state: State,
    idempotent: bool,
    /// The bytes counted against the limit: reserved while the request runs, used afterwards.
    bytes: usize,
    issue_order: IssueOrder,
}

impl Entry {
    /// Whether a copy of the request runs again instead of receiving the recorded outcome.
    fn may_run_again(&self) -> bool {
        matches!(&self.state, State::Ended(stored) if self.idempotent && !stored.is_complete())
    }
}

/// The state of a key's run.
#[derive(Debug)]
enum State {
    /// The run has not ended.
    Running(Arc<Record>),
    /// The run has ended or was refused.
    Ended(Box<Stored>),
}

impl State {
    fn record(&self) -> Arc<Record> {
        match self {
            Self::Running(record) => Arc::clone(record),
            Self::Ended(stored) => Arc::new(stored.to_record()),
        }
    }

    fn has_ended(&self) -> bool {
        matches!(self, Self::Ended(_))
    }
}

/// The sort key for the order of issue: the time of issue in ms and a unique sequence number.
type IssueOrder = (u64, u64);

#[derive(Debug, Default)]
struct Inner {
    entries: Map<Arc<ScopedKey>, Entry>,
    by_issue: BTreeMap<IssueOrder, Arc<ScopedKey>>,
    /// The ended idempotent requests, which may be removed early.
    evictable: BTreeSet<IssueOrder>,
    sequence: u64,
    per_workspace: Map<name::Workspace, usize>,
    bytes: usize,
    /// By workspace, the latest time of issue of a key that was refused because the registry was
    /// full.
    refused_until_ms: Map<name::Workspace, u64>,
    /// By workspace, the latest time of issue of an idempotent key that was removed early or not
    /// recorded.
    evicted_until_ms: Map<name::Workspace, u64>,
}

/// The registry of the idempotency keys of one daemon.
#[derive(Debug)]
pub struct Registry {
    inner: Mutex<Inner>,
    limits: Limits,
    started_at: Instant,
    started_wall_ms: u64,
}

impl Registry {
    /// Creates an empty registry.
    ///
    /// The system's wall clock is read only here and advances with the monotonic clock from `now`
    /// on, so that a step of the system's clock cannot make an expired key valid again.
    pub fn new(limits: Limits, now: Instant) -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let started_wall_ms = since_epoch.unwrap_or_default().as_millis() as u64;
        Self { inner: Mutex::default(), limits, started_at: now, started_wall_ms }
    }

    /// The registry's wall clock in milliseconds since 1970.
    pub fn wall_ms(&self, now: Instant) -> u64 {
        self.started_wall_ms + now.saturating_duration_since(self.started_at).as_millis() as u64
    }

    /// Decides how to handle a request with a key, and records the key if the request is to run.
    pub fn begin(
        &self,
        key: &ScopedKey,
        digest: Digest,
        idempotent: bool,
        now: Instant,
    ) -> Admission {
        let wall_ms = self.wall_ms(now);
        let mut inner = self.inner.lock();
        inner.expire(self.oldest_ms(wall_ms));
        let mut ran_before = false;
        if let Some(entry) = inner.entries.get(key) {
            if entry.digest.is_some_and(|recorded| recorded != digest) {
                return Admission::Refuse(key_reused());
            }
            if !entry.may_run_again() {
                return Admission::Join(entry.state.record());
            }
            ran_before = true;
            inner.remove(key);
        }
        if let Err(outcome) = self.check_issue_time(key, wall_ms) {
            return Admission::Refuse(outcome);
        }
        if !idempotent && is_issued_until(&inner.refused_until_ms, key) {
            return Admission::Refuse(keys_full(DEFAULT_RETRY_AFTER));
        }
        ran_before |= idempotent && is_issued_until(&inner.evicted_until_ms, key);
        let record = Arc::new(Record::default());
        let state = State::Running(Arc::clone(&record));
        let new_run = NewRun { record, ran_before };
        if self.insert(&mut inner, key, Some(digest), state, idempotent) {
            return Admission::Run(new_run);
        }
        if idempotent {
            extend_until(&mut inner.evicted_until_ms, key);
            return Admission::Unregistered(new_run);
        }
        extend_until(&mut inner.refused_until_ms, key);
        Admission::Refuse(keys_full(self.limits.retention))
    }

    /// Records that a key is refused, so that no later copy runs.
    ///
    /// Returns false if that cannot be guaranteed: a request with the key was recorded before, or
    /// the key is outside the valid time range.
    pub fn record_refusal(&self, key: &ScopedKey, outcome: &Outcome, now: Instant) -> bool {
        let wall_ms = self.wall_ms(now);
        let mut inner = self.inner.lock();
        inner.expire(self.oldest_ms(wall_ms));
        if inner.entries.contains_key(key) {
            return false;
        }
        if self.check_issue_time(key, wall_ms).is_err() {
            return false;
        }
        let state = State::Ended(Box::new(Stored::outcome(outcome.clone())));
        if !self.insert(&mut inner, key, None, state, false) {
            extend_until(&mut inner.refused_until_ms, key);
        }
        true
    }

    /// Stores the outcome or response of a key's run from its record.
    pub fn finish(&self, key: &ScopedKey) {
        let mut inner = self.inner.lock();
        let inner = &mut *inner;
        let Some(entry) = inner.entries.get_mut(key) else { return };
        let State::Running(record) = &entry.state else { return };
        let bytes = record.bytes();
        let fits = bytes <= self.limits.max_response_bytes_per_key;
        let stored =
            if fits { Stored::from_record(record) } else { Stored::outcome(response_not_stored()) };
        inner.bytes -= entry.bytes;
        entry.bytes = if fits && stored.is_complete() { bytes } else { 0 };
        inner.bytes += entry.bytes;
        let may_have_run = stored.may_have_run();
        entry.state = State::Ended(Box::new(stored));
        if !entry.idempotent {
            return;
        }
        let issue_order = entry.issue_order;
        if may_have_run {
            inner.evictable.insert(issue_order);
        } else {
            // A request that did not run may run later under the same key.
            inner.remove(key);
        }
    }

    /// The number of recorded keys and the bytes counted for their responses.
    pub fn size(&self) -> (usize, usize) {
        let inner = self.inner.lock();
        (inner.entries.len(), inner.bytes)
    }

    fn oldest_ms(&self, wall_ms: u64) -> u64 {
        wall_ms.saturating_sub(self.limits.retention.as_millis() as u64)
    }

    fn check_issue_time(&self, key: &ScopedKey, wall_ms: u64) -> Result<(), Outcome> {
        let issued_ms = key.key.issued_ms;
        if issued_ms < self.oldest_ms(wall_ms) {
            // The request may have run and its key may have been removed.
            let message = "the key is older than keys are remembered";
            return Err(Outcome::unknown(Reason::KeyExpired, message));
        }
        if issued_ms > wall_ms + self.limits.max_skew.as_millis() as u64 {
            // A late copy may run once the key has become valid, so the outcome is unknown.
            let message = "the key was issued in the future; nothing was done with it yet";
            return Err(Outcome::unknown(Reason::KeyInFuture, message));
        }
        Ok(())
    }

    fn insert(
        &self,
        inner: &mut Inner,
        key: &ScopedKey,
        digest: Option<Digest>,
        state: State,
        idempotent: bool,
    ) -> bool {
        let bytes = if state.has_ended() { 0 } else { self.limits.max_response_bytes_per_key };
        while !self.has_room(inner, key, bytes) {
            if !inner.evict_idempotent() {
                return false;
            }
        }
        inner.sequence += 1;
        let issue_order = (key.key.issued_ms, inner.sequence);
        let key = Arc::new(key.clone());
        inner.by_issue.insert(issue_order, Arc::clone(&key));
        *inner.per_workspace.entry(key.workspace.clone()).or_default() += 1;
        inner.bytes += bytes;
        let entry = Entry { digest, state, idempotent, bytes, issue_order };
        inner.entries.insert(key, entry);
        true
    }

    fn has_room(&self, inner: &Inner, key: &ScopedKey, bytes: usize) -> bool {
        let workspace_keys = inner.per_workspace.get(&key.workspace).copied().unwrap_or(0);
        inner.entries.len() < self.limits.max_keys
            && workspace_keys < self.limits.max_keys_per_workspace
            && inner.bytes + bytes <= self.limits.max_response_bytes
    }
}

impl Inner {
    /// Removes the keys that were issued before `oldest_ms` and whose runs have ended.
    fn expire(&mut self, oldest_ms: u64) {
        let old = self.by_issue.range(..(oldest_ms, 0)).map(|(_, key)| Arc::clone(key));
        for key in old.collect::<Vec<_>>() {
            if self.entries.get(&*key).is_some_and(|entry| entry.state.has_ended()) {
                self.remove(&key);
            }
        }
    }

    /// Removes the ended idempotent request that was issued first. Returns false if there is none.
    fn evict_idempotent(&mut self) -> bool {
        let first =
            self.evictable.first().and_then(|issue_order| self.by_issue.get(issue_order).cloned());
        first.is_some_and(|key| {
            self.remove(&key);
            extend_until(&mut self.evicted_until_ms, &key);
            true
        })
    }

    fn remove(&mut self, key: &ScopedKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        self.bytes -= entry.bytes;
        self.by_issue.remove(&entry.issue_order);
        self.evictable.remove(&entry.issue_order);
        if let Some(count) = self.per_workspace.get_mut(&key.workspace) {
            *count -= 1;
            if *count == 0 {
                self.per_workspace.remove(&key.workspace);
            }
        }
    }
}

/// Raises the workspace's limit to the time of issue of `key`.
///
/// One number for each workspace covers the late copies of this key without storing it. It also
/// covers all unrecorded keys of the workspace that were issued before.
fn extend_until(until_ms: &mut Map<name::Workspace, u64>, key: &ScopedKey) {
    let until_ms = until_ms.entry(key.workspace.clone()).or_default();
    *until_ms = (*until_ms).max(key.key.issued_ms);
}

fn is_issued_until(until_ms: &Map<name::Workspace, u64>, key: &ScopedKey) -> bool {
    until_ms.get(&key.workspace).is_some_and(|until_ms| key.key.issued_ms <= *until_ms)
}

fn key_reused() -> Outcome {
    let message = "the key was used with another request, whose outcome is not affected";
    Outcome::refused(Reason::KeyReused, message)
}

fn keys_full(retry_after: Duration) -> Outcome {
    let message = "no further key can be remembered now; use a new key later";
    Outcome::refused(Reason::KeysFull, message).retry_after(retry_after)
}

fn response_not_stored() -> Outcome {
    let message = "the request ran once; its answer was too large to be kept";
    Outcome::failed(Execution::Ran, Reason::AnswerNotKept, message)
}
