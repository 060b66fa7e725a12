//! Records that daemons send to each other.
//!
//! Large values are fetched one at a time, apart from the other records, which would have to wait
//! for them on a slow link.

use std::time::Instant;

use compact_str::CompactString;
use hyssop_view::{
    record::Reference,
    sync::{MAX_INLINE_BYTES, RecordProvider},
};

use super::{Cache, Inner, Origin};
use crate::record::{Changes, Listing, Position, Record};

impl Cache {
    /// A large record that peers have at a later position than this daemon: its key, that position,
    /// and the position that this daemon has.
    pub fn awaited(&self) -> Option<(CompactString, Position, Position)> {
        let inner = self.inner.lock();
        let (key, &position) = inner.awaited.iter().min_by_key(|(_, position)| **position)?;
        Some((key.clone(), position, inner.position_of(key)))
    }

    /// Applies a large record that a peer sent. Returns whether the state changed.
    pub fn apply_awaited(&self, record: Record, now: Instant) -> bool {
        let mut inner = self.inner.lock();
        // The record may be newer than others that this daemon has not fetched yet, so the daemon's
        // position stays, and a restore is first noticed by the records that are fetched in order.
        let is_awaited = inner.awaited.contains_key(&record.key);
        let is_newer = record.position > inner.position_of(&record.key);
        if !is_awaited || !is_newer || record.position.era > inner.applied.era {
            return false;
        }
        let reached = inner.applied;
        let changed = self.apply_record(&mut inner, record, reached, Origin::Peer, now);
        self.publish(&inner);
        changed
    }
}

impl Inner {
    fn position_of(&self, key: &str) -> Position {
        self.records.get(key).map(|cached| cached.record.position).unwrap_or_default()
    }

    fn exists(&self, key: &str) -> bool {
        self.records.get(key).is_some_and(|cached| cached.record.value.is_some())
    }

    /// The position of this daemon's knowledge about a key: a full read includes all earlier
    /// records, except for large ones that have not arrived yet.
    pub(super) fn known_position(&self, key: &str) -> Position {
        let own = self.position_of(key);
        if self.awaited.contains_key(key) { own } else { own.max(self.complete_at) }
    }

    /// Records that peers have a large record at a position.
    pub(super) fn await_record(&mut self, reference: Reference) {
        let Reference { key, position } = reference;
        if position > self.known_position(&key) {
            let awaited = self.awaited.entry(key).or_default();
            *awaited = position.max(*awaited);
        }
    }

    /// Ends the wait for a record, if this one is at least as new.
    pub(super) fn end_wait(&mut self, key: &str, position: Position) {
        if self.awaited.get(key).is_some_and(|&awaited| awaited <= position) {
            self.awaited.remove(key);
        }
    }
}

impl RecordProvider for Cache {
    fn changes_after(&self, after: Position) -> Option<Changes> {
        let inner = self.inner.lock();
        if inner.suspended {
            return None;
        }
        let all = || inner.records.values().map(|cached| &cached.record);
        let existing = all().filter(|record| record.value.is_some()).map(|record| &record.key);
        // No records of deletions up to this position are left.
        let listed_at = inner.complete_at.max(inner.forgotten_at);
        let listing = (after < listed_at).then(|| {
            let awaited = inner.awaited.keys().filter(|key| !inner.exists(key));
            Listing { position: listed_at, keys: existing.chain(awaited).cloned().collect() }
        });
        // A large record that was fetched by itself may be later than this daemon's position. Its
        // own position would tell peers that they have all records before it.
        let is_reference = |record: &Record| is_large(record) || record.position > inner.applied;
        let (later, records): (Vec<&Record>, Vec<&Record>) = all()
            .filter(|record| record.position > after && !inner.awaited.contains_key(&record.key))
            .partition(|record| is_reference(record));
        let later = later.into_iter().map(|record| (&record.key, record.position));
        let awaited = inner.awaited.iter().map(|(key, &position)| (key, position));
        let references = later.chain(awaited).map(|(key, position)| Reference {
            key: key.clone(),
            position: position.min(inner.applied),
        });
        Some(Changes {
            references: references.filter(|reference| reference.position > after).collect(),
            records: records.into_iter().cloned().collect(),
            listing,
        })
    }

    fn record_after(&self, key: &str, after: Position) -> Option<Record> {
        let inner = self.inner.lock();
        let record = &inner.records.get(key).filter(|_| !inner.suspended)?.record;
        (record.position > after).then(|| record.clone())
    }
}

fn is_large(record: &Record) -> bool {
    record.value.as_ref().is_some_and(|value| value.len() > MAX_INLINE_BYTES)
}
