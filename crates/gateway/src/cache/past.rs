//! Which builds pools had before this daemon read the source.
//!
//! The source numbers all changes. If each change since the first environment, before which no
//! stream began, is one that this daemon has read, no other build can have come and gone. This needs
//! neither clocks nor a length of the history: a change that is hidden leaves its number unaccounted
//! for.

use std::{
    collections::BTreeSet,
    ops::Bound::{Excluded, Included},
    time::Instant,
};

use bytes::Bytes;
use compact_str::CompactString;
use hyssop_document::{build::Build, collections::Map, name::Pool};

use super::Cache;
use crate::{
    record::{Decoder, Era, Key, Position, Record, Revision, Value},
    restore::REWRITE_TIME,
    source::Batch,
};

/// The last era in which the source may not have been restored yet. The platform doesn't state
/// whether it counts from 0 or 1.
const MAX_FIRST_ERA: Era = Era(1);
/// The maximum number of changes to fetch from the history.
const MAX_HISTORY_CHANGES: u64 = 2_000;
/// The maximum size of an environment of which the history may hold many versions.
const MAX_HISTORY_ENVIRONMENT_BYTES: usize = 64 << 10;

/// The changes that a full read accounts for.
#[derive(Debug)]
pub struct Past {
    /// The position of the read.
    position: Position,
    /// When the first environment was written.
    began: u64,
    environment_changed: bool,
    is_snapshot: bool,
    /// The revisions of the changes that are known.
    accounted: BTreeSet<u64>,
    /// The backend servers that were read, with the revision of their only change, if there was only
    /// one since their creation.
    servers: Map<CompactString, Option<u64>>,
    builds: Vec<(Pool, Build)>,
    /// The gaps in the daemon's knowledge before the read.
    gaps: u64,
}

impl Past {
    /// Accounts for the changes that a full read shows. Returns `None` if some stay hidden whatever
    /// the history shows, or the source was restored.
    fn of(read: &Batch, decoder: &dyn Decoder, gaps: u64) -> Option<Self> {
        if read.position.era > MAX_FIRST_ERA || read.created.len() != read.records.len() {
            return None;
        }
        let items = || read.records.iter().zip(&read.created);
        let (environment, &Revision(began)) =
            items().find(|(record, _)| decoder.parse_key(&record.key) == Some(Key::Environment))?;
        let environment_changed = began != environment.position.revision.0;
        let environment_bytes = environment.value.as_ref().map_or(0, Bytes::len);
        if environment_changed && environment_bytes > MAX_HISTORY_ENVIRONMENT_BYTES {
            return None;
        }
        let mut past = Self {
            position: read.position,
            began,
            environment_changed,
            is_snapshot: read.is_snapshot,
            accounted: BTreeSet::new(),
            servers: Map::default(),
            builds: Vec::new(),
            gaps,
        };
        for (record, &Revision(created)) in items() {
            let revision = record.position.revision.0;
            past.accounted.insert(revision);
            if is_server(decoder, record) {
                let only_change = (created == revision).then_some(revision);
                // The values before the first environment are in no history from then on.
                if only_change.is_none() && created <= began {
                    return None;
                }
                past.servers.insert(record.key.clone(), only_change);
                past.builds.extend(build(decoder, record));
            } else {
                past.accounted.insert(created);
            }
        }
        Some(past)
    }

    /// The last revision up to which the read shows all changes.
    fn known_until(&self) -> u64 {
        let known = (self.began..).take_while(|revision| self.accounted.contains(revision));
        known.last().unwrap_or(self.began)
    }

    /// Whether the read shows all changes.
    pub fn is_whole(&self) -> bool {
        self.is_snapshot && self.known_until() >= self.position.revision.0
    }

    /// The position after which the history shows the other changes, unless they are too many.
    pub fn history_start(&self) -> Option<Position> {
        let Position { era, revision } = self.position;
        let known = self.known_until();
        let is_short = revision.0.saturating_sub(known) <= MAX_HISTORY_CHANGES;
        is_short.then_some(Position { era, revision: Revision(known) })
    }

    /// Adds the history. Returns whether all changes are accounted for.
    fn add(&mut self, history: &Batch, decoder: &dyn Decoder) -> bool {
        if history.position.era != self.position.era
            || history.created.len() != history.records.len()
        {
            return false;
        }
        let mut changes: Vec<(&Record, u64)> = history
            .records
            .iter()
            .zip(&history.created)
            .map(|(record, created)| (record, created.0))
            .collect();
        changes.sort_by_key(|(record, _)| record.position);
        // Whether each server that changed has a record, as far as the changes show.
        let mut present: Map<&str, bool> = Map::default();
        for (record, created) in changes {
            let revision = record.position.revision.0;
            self.accounted.insert(revision);
            if decoder.parse_key(&record.key) == Some(Key::Environment) {
                self.environment_changed |= created != revision;
            }
            if !is_server(decoder, record) {
                continue;
            }
            let before = present.get(&*record.key).copied().unwrap_or_else(|| {
                let only_change = self.servers.get(&record.key).copied().flatten();
                only_change.is_some_and(|only_change| only_change < revision)
            });
            let is_creation = record.value.is_some() && created == revision;
            if before == is_creation {
                return false;
            }
            present.insert(&record.key, record.value.is_some());
            self.builds.extend(build(decoder, record));
        }
        let (began, end) = (self.began, history.position.revision.0);
        let accounted = || self.accounted.range((Excluded(began), Included(end))).count() as u64;
        end >= self.position.revision.0 && began <= end && accounted() == end - began
    }

    /// Whether a route's pools can have changed without a doubt about the builds of its streams.
    fn has_one_build(&self) -> bool {
        self.builds.windows(2).all(|pair| pair[0].1 == pair[1].1)
    }
}

fn is_server(decoder: &dyn Decoder, record: &Record) -> bool {
    matches!(decoder.parse_key(&record.key), Some(Key::Server(_)))
}

fn build(decoder: &dyn Decoder, record: &Record) -> Option<(Pool, Build)> {
    let key = decoder.parse_key(&record.key)?;
    match decoder.decode(&key, record.value.as_ref()?) {
        Ok(Value::Server(server)) => Some((server.pool, server.build)),
        _ => None,
    }
}

impl Cache {
    /// What a full read that was just applied shows of the time before.
    pub fn past(&self, read: &Batch) -> Option<Past> {
        let gaps = self.inner.lock().knowledge.gaps();
        Past::of(read, &*self.decoder, gaps)
    }

    /// Extends the knowledge to the time before the full read, if `past` and the history, where it is
    /// needed, account for all changes.
    pub fn extend_knowledge(&self, mut past: Past, history: Option<&Batch>, now: Instant) {
        let is_whole = match history {
            Some(history) => past.add(history, &*self.decoder),
            None => past.is_whole(),
        };
        let is_known = is_whole && (!past.environment_changed || past.has_one_build());
        tracing::info!(event = "past", known = is_known, changes = past.accounted.len());
        let settled_at = (past.position.era > Era(0)).then(|| now + REWRITE_TIME);
        let mut inner = self.inner.lock();
        if !is_known || !inner.knowledge.extend(past.gaps, settled_at) {
            return;
        }
        for (pool, build) in past.builds {
            inner.departed_builds.record(&pool, &build, now);
        }
    }
}
