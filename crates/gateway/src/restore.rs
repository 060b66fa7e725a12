//! What a daemon keeps when the source comes back from a copy some seconds old.
//!
//! The copy lacks the last changes. Operators and backend servers write them again within seconds.
//! Until then a daemon does not go back on a departure, an order for an availability zone or a
//! configuration that it has seen.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use hyssop_document::{
    collections::{Map, Set},
    name::Backend,
};

use crate::record::{Era, Position, Server, State};

/// The time within which changes are written again, and the leases of backend servers that are gone
/// run out: a few of their heartbeats.
pub const REWRITE_TIME: Duration = Duration::from_secs(6);
/// How long the departure of a backend server is remembered.
const DEPARTURE_TTL: Duration = Duration::from_secs(120);

#[derive(Debug)]
struct Departure {
    started_ms: Option<u64>,
    at: Instant,
}

/// The state of a restore, and what must be known for the next one.
#[derive(Debug, Default)]
pub struct Restore {
    /// Until when changes are written again.
    rewritten_at: Option<Instant>,
    /// The keys whose records take effect only then, unless they are written again.
    held: Set<CompactString>,
    /// The backend servers whose records were deleted, by their names.
    departures: Map<Backend, Departure>,
    count: u64,
}

impl Restore {
    /// Records that the source was restored.
    pub fn begin(&mut self, now: Instant) {
        self.rewritten_at = Some(now + REWRITE_TIME);
        self.count += 1;
    }

    /// How often the source was restored since the daemon started.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether a record is the first of its key since a restore that is still being made up for.
    pub fn is_restored(&self, previous: Position, position: Position, now: Instant) -> bool {
        previous.era < position.era && self.rewritten_at.is_some_and(|at| now < at)
    }

    /// Records that the record of a backend server was deleted.
    pub fn record_departure(&mut self, server: &Server, now: Instant) {
        let departure = Departure { started_ms: server.started_ms, at: now };
        self.departures.insert(server.name.clone(), departure);
    }

    /// Whether the incarnation of a backend server that a restored record lists as ready is known to
    /// leave or to have left. `known` is what the daemon knows of it.
    pub fn is_departed(&self, restored: &Server, known: Option<&Server>) -> bool {
        if restored.state != State::Ready {
            return false;
        }
        match known {
            Some(known) if known.state == State::Ready => known.started_ms > restored.started_ms,
            Some(known) => known.started_ms >= restored.started_ms,
            None => {
                let departure = self.departures.get(&restored.name);
                departure.is_some_and(|departure| departure.started_ms >= restored.started_ms)
            }
        }
    }

    /// Has the record of `key` take effect only when changes have been written again.
    pub fn hold(&mut self, key: CompactString) {
        self.held.insert(key);
    }

    /// Lets a later record of `key` take effect at once.
    pub fn release(&mut self, key: &str) {
        self.held.remove(key);
    }

    /// Forgets old departures. Returns the keys whose records take effect now.
    pub fn expire(&mut self, now: Instant) -> Vec<CompactString> {
        self.departures.retain(|_, departure| now.duration_since(departure.at) < DEPARTURE_TTL);
        if self.rewritten_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.rewritten_at = None;
        self.held.drain().collect()
    }
}

/// Whether a version of the environment is older than the one in force, although its position is
/// later. `applied` is the era of the one in force.
pub fn is_older_version(version: u64, in_force: u64, era: Era, applied: Era) -> bool {
    era > applied && version < in_force
}
