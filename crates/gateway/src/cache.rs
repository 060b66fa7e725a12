//! The cache of published records, and the state that is derived from them.
//!
//! Records arrive from the source and from peers, each with its position. The last position of a key
//! wins, whatever its origin, so the state never goes back to an older one within a process.

mod digest;
mod knowledge;
mod lifetime;
mod outage;
mod past;
mod transfer;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use hyssop_document::{
    collections::{Map, Set},
    name::{Backend, Zone},
};
use hyssop_view::record::Reference;
use parking_lot::Mutex;

use self::{knowledge::Knowledge, lifetime::Lifetimes};
pub use self::{lifetime::MAX_LIFETIME, past::Past};
use crate::{
    builds::DepartedBuilds,
    environment::Environment,
    record::{Changes, Decoder, Era, Key, Listing, Position, Record, Server, State, Value},
    restore::{self, Restore},
};

/// How long backend servers whose records were deleted while the source was unreachable are kept
/// after its return: servers that are alive have published their records again by then.
const LAPSED_SERVER_GRACE: Duration = Duration::from_secs(2);
/// How long a deletion is kept, so that peers that missed it can fetch it.
const DELETION_TTL: Duration = Duration::from_secs(120);

/// The maximum time for which a record can declare a backend server cold. A longer time is treated
/// as a mistake of the writer and reduced to the maximum.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// Where a record comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Origin {
    /// A full read of the source.
    #[display("read")]
    Read,
    /// A change that the source reported.
    #[display("watch")]
    Watch,
    /// A peer.
    #[display("peer")]
    Peer,
}

/// The published state by which requests are placed. Immutable: a change replaces the snapshot.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The declared environment, once its record has arrived.
    pub environment: Option<Arc<Environment>>,
    /// The backend servers in service.
    pub servers: Map<Backend, Arc<Server>>,
    /// When the backend servers that are cold become warm.
    pub cold: Map<Backend, Instant>,
    /// The availability zones that are out of service.
    pub zones_out: Set<Zone>,
    /// The last position applied.
    pub applied: Position,
    /// The digest of the records at that position. `None` while a large record is awaited.
    pub digest: Option<u64>,
}

#[derive(Debug)]
struct CachedRecord {
    record: Record,
    received: Instant,
}

#[derive(Debug)]
struct CachedServer {
    server: Arc<Server>,
    /// When the server becomes warm, counted from the arrival of its record.
    cold_until: Option<Instant>,
    /// When the server is removed, if its record was deleted while the source was unreachable.
    expires_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Inner {
    records: Map<CompactString, CachedRecord>,
    /// Large records that peers have and this daemon lacks, with their positions there.
    awaited: Map<CompactString, Position>,
    environment: Option<Arc<Environment>>,
    servers: Map<Backend, CachedServer>,
    departed_builds: DepartedBuilds,
    knowledge: Knowledge,
    lifetimes: Lifetimes,
    zones_out: Set<Zone>,
    applied: Position,
    /// The position applied before the records that are being applied.
    applied_before: Position,
    /// The position of the last full read. It contains the effect of all earlier records.
    complete_at: Position,
    /// The last position of the deletions that were dropped.
    forgotten_at: Position,
    /// The era of the record of the environment in force.
    environment_era: Era,
    restore: Restore,
    source_lost_at: Option<Instant>,
    /// The end of the grace time of servers after the last return of the source.
    grace_until: Option<Instant>,
    last_response: Option<Instant>,
    suspended: bool,
}

/// One daemon's cache of published records.
pub struct Cache {
    decoder: Box<dyn Decoder>,
    inner: Mutex<Inner>,
    current: ArcSwap<Snapshot>,
}

impl Cache {
    /// An empty cache of records that `decoder` decodes.
    pub fn new(decoder: Box<dyn Decoder>) -> Self {
        Self { decoder, inner: Mutex::default(), current: ArcSwap::default() }
    }

    /// The current state.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Applies records. Returns whether the state changed.
    pub fn apply(&self, records: Vec<Record>, origin: Origin, now: Instant) -> bool {
        self.apply_all(records, Vec::new(), None, origin, now)
    }

    /// Applies records. `read_at` is the position of the full read that they are from: it may have
    /// later ones, but not all changes before these.
    fn apply_all(
        &self,
        records: Vec<Record>,
        references: Vec<Reference>,
        read_at: Option<Position>,
        origin: Origin,
        now: Instant,
    ) -> bool {
        let mut inner = self.inner.lock();
        let before = inner.applied;
        inner.applied_before = before;
        let mut changed = false;
        let is_empty = records.is_empty() && references.is_empty();
        for record in records {
            let reached = read_at.unwrap_or(record.position);
            changed |= self.apply_record(&mut inner, record, reached, origin, now);
        }
        for reference in references {
            inner.advance(reference.position, origin, now);
            inner.await_record(reference);
        }
        if let Some(position) = read_at {
            inner.advance(position, origin, now);
        }
        if !is_empty || inner.applied > before {
            self.publish(&inner);
        }
        if origin == Origin::Watch {
            inner.confirm(now);
        }
        changed
    }

    /// Applies a full read that began at `position`: records that existed then and are missing in it
    /// were deleted. Returns whether the state changed.
    pub fn replace_all(&self, records: Vec<Record>, position: Position, now: Instant) -> bool {
        let keys = records.iter().map(|record| record.key.clone()).collect();
        self.apply_listing(records, Vec::new(), &keys, position, Origin::Read, now)
    }

    /// Applies what a peer sent. Returns whether the state changed.
    pub fn apply_changes(&self, changes: Changes, now: Instant) -> bool {
        let Changes { records, references, listing } = changes;
        let Some(Listing { position, keys }) = listing else {
            return self.apply_all(records, references, None, Origin::Peer, now);
        };
        let keys = keys.into_iter().collect();
        self.apply_listing(records, references, &keys, position, Origin::Peer, now)
    }

    /// Applies records, and deletes what is missing in `keys`, which existed at `position`.
    fn apply_listing(
        &self,
        mut records: Vec<Record>,
        references: Vec<Reference>,
        keys: &Set<CompactString>,
        position: Position,
        origin: Origin,
        now: Instant,
    ) -> bool {
        for (key, cached) in &self.inner.lock().records {
            let record = &cached.record;
            if record.value.is_some() && record.position <= position && !keys.contains(key) {
                records.push(Record { key: key.clone(), position, value: None });
            }
        }
        let read_at = (origin == Origin::Read).then_some(position);
        let changed = self.apply_all(records, references, read_at, origin, now);
        let mut inner = self.inner.lock();
        inner.awaited.retain(|key, awaited| *awaited > position || keys.contains(key));
        inner.complete_at = inner.complete_at.max(position);
        self.publish(&inner);
        // The history before this read is missing. What peers have read may be old, so their
        // positions confirm it.
        inner.knowledge.end();
        if origin == Origin::Read {
            inner.confirm(now);
        }
        changed
    }

    /// Whether a backend server is published, whatever its state.
    pub fn has_server(&self, server: &Backend) -> bool {
        self.inner.lock().servers.contains_key(server)
    }

    /// How often the source was restored from an older copy since the daemon started.
    pub fn restore_count(&self) -> u64 {
        self.inner.lock().restore.count()
    }

    /// Removes servers whose grace time is over, and old deletions, unless the source is lost.
    /// Returns whether the state changed.
    pub fn expire(&self, now: Instant) -> bool {
        let mut inner = self.inner.lock();
        if inner.source_lost_at.is_some() {
            return false;
        }
        let Inner { servers, departed_builds, .. } = &mut *inner;
        let before = servers.len();
        servers.retain(|name, CachedServer { server, expires_at, .. }| {
            let keep = expires_at.is_none_or(|until| until > now);
            if !keep {
                tracing::info!(event = "server_gone", server = %name, reason = "lapsed");
                departed_builds.record(&server.pool, &server.build, now);
            }
            keep
        });
        departed_builds.expire(now);
        let changed = servers.len() < before;
        if changed {
            self.publish(&inner);
        }
        let Inner { records, forgotten_at, .. } = &mut *inner;
        records.retain(|_, CachedRecord { record, received }| {
            let keep = record.value.is_some() || now.duration_since(*received) < DELETION_TTL;
            if !keep {
                *forgotten_at = record.position.max(*forgotten_at);
            }
            keep
        });
        let mut rewritten = false;
        for key in inner.restore.expire(now) {
            let Some(record) = inner.records.get(&key).map(|cached| cached.record.clone()) else {
                continue;
            };
            let Some(parsed_key) = self.decoder.parse_key(&key) else { continue };
            rewritten |= self.apply_value(&mut inner, &parsed_key, &record, Origin::Read, now);
        }
        if rewritten {
            self.publish(&inner);
        }
        changed || rewritten
    }

    /// Applies a record, with which this daemon has all changes up to `reached`.
    fn apply_record(
        &self,
        inner: &mut Inner,
        record: Record,
        reached: Position,
        origin: Origin,
        now: Instant,
    ) -> bool {
        let Some(parsed_key) = self.decoder.parse_key(&record.key) else { return false };
        let previous = inner.records.get(&record.key).map(|cached| cached.record.position);
        let mut known = inner.known_position(&record.key);
        // A read is right about all that happened before it, whatever was known.
        if origin == Origin::Read && known <= reached && previous != Some(record.position) {
            known = Position::default();
        }
        inner.advance(reached, origin, now);
        if known >= record.position && known != Position::default() {
            return false;
        }
        inner.end_wait(&record.key, record.position);
        let is_restored = previous
            .is_some_and(|previous| inner.restore.is_restored(previous, record.position, now));
        let changed = if is_restored && self.goes_back(inner, &parsed_key, &record) {
            tracing::info!(event = "record_held", key = %record.key, position = %record.position);
            inner.restore.hold(record.key.clone());
            false
        } else {
            inner.restore.release(&record.key);
            self.apply_value(inner, &parsed_key, &record, origin, now)
        };
        inner.records.insert(record.key.clone(), CachedRecord { record, received: now });
        changed
    }

    /// Whether a restored record goes back on what this daemon knows.
    fn goes_back(&self, inner: &Inner, key: &Key, record: &Record) -> bool {
        let restored = match (key, &record.value) {
            (Key::Environment, _) => return false,
            (Key::ZoneOut(zone), value) => {
                return inner.zones_out.contains(zone) != value.is_some();
            }
            (Key::Server(_), None) => return false,
            (Key::Server(_), Some(value)) => self.decoder.decode(key, value),
        };
        let Ok(Value::Server(restored)) = restored else { return false };
        let known = inner.servers.get(&restored.name).map(|cached| &*cached.server);
        inner.restore.is_departed(&restored, known)
    }

    fn apply_value(
        &self,
        inner: &mut Inner,
        parsed_key: &Key,
        record: &Record,
        origin: Origin,
        now: Instant,
    ) -> bool {
        let Record { key, position, value } = record;
        let Some(value) = value else { return remove(inner, parsed_key, *position, origin, now) };
        match self.decoder.decode(parsed_key, value) {
            Ok(decoded) => insert(inner, decoded, *position, origin, now),
            Err(error) => {
                tracing::warn!(
                    event = "record_refused", %key, revision = %position, %origin, fault = %error
                );
                matches!(parsed_key, Key::Server(_))
                    && remove(inner, parsed_key, *position, origin, now)
            }
        }
    }

    fn publish(&self, inner: &Inner) {
        let environment = inner.environment.clone();
        let has_pool = |server: &Server| {
            environment.as_ref().is_some_and(|environment| environment.pool(&server.pool).is_some())
        };
        let in_service = |server: &Server| {
            server.state == State::Ready
                && !inner.zones_out.contains(&server.zone)
                && has_pool(server)
        };
        let usable = || inner.servers.iter().filter(|(_, cached)| in_service(&cached.server));
        let cold = usable().filter_map(|(name, cached)| Some((name.clone(), cached.cold_until?)));
        let servers = usable().map(|(name, cached)| (name.clone(), Arc::clone(&cached.server)));
        let snapshot = Snapshot {
            servers: servers.collect(),
            cold: cold.collect(),
            zones_out: inner.zones_out.clone(),
            applied: inner.applied,
            digest: inner.awaited.is_empty().then(|| inner.digest()),
            environment,
        };
        self.current.store(Arc::new(snapshot));
    }
}

impl Inner {
    /// Whether a position shows that the source was restored, for a daemon that has records.
    fn is_restored_by(&self, position: Position) -> bool {
        position.era > self.applied.era && self.applied != Position::default()
    }

    /// Records that this daemon knows of a change at a position.
    fn advance(&mut self, position: Position, origin: Origin, now: Instant) {
        if self.is_restored_by(position) {
            tracing::warn!(
                event = "source_restored", applied = %self.applied, %position, %origin
            );
            self.restore.begin(now);
            self.knowledge.end();
            self.grace_until = self.grace_until.max(Some(now + LAPSED_SERVER_GRACE));
        }
        self.applied = self.applied.max(position);
    }
}

fn insert(
    inner: &mut Inner,
    value: Value,
    position: Position,
    origin: Origin,
    now: Instant,
) -> bool {
    match value {
        Value::Environment(environment) => {
            let in_force = inner.environment.as_ref().map_or(0, |environment| environment.version);
            let (version, applied) = (environment.version, inner.environment_era);
            if restore::is_older_version(version, in_force, position.era, applied) {
                tracing::warn!(event = "environment_kept", version, in_force, revision = %position, %origin);
                return false;
            }
            inner.environment_era = position.era;
            tracing::info!(
                event = "environment", version = environment.version, revision = %position, %origin,
                routes = environment.route_count()
            );
            inner.update_limits(&environment, now);
            inner.environment = Some(Arc::new(*environment));
        }
        Value::Server(server) => {
            tracing::info!(
                event = "server", server = %server.name, pool = %server.pool, zone = %server.zone,
                build = %server.build,
                state = %server.state, address = %server.address,
                cold_ms = server.cold_for.as_millis() as u64, revision = %position, %origin
            );
            let name = server.name.clone();
            let cold_until =
                (!server.cold_for.is_zero()).then(|| now + server.cold_for.min(MAX_COLD_TIME));
            let cached = CachedServer { server: Arc::new(server), cold_until, expires_at: None };
            if let Some(CachedServer { server, .. }) = inner.servers.insert(name, cached) {
                inner.departed_builds.record(&server.pool, &server.build, now);
            }
        }
        Value::ZoneOut(zone) => {
            tracing::info!(event = "zone_out", %zone, revision = %position, %origin);
            inner.zones_out.insert(zone);
        }
    }
    true
}

fn remove(inner: &mut Inner, key: &Key, position: Position, origin: Origin, now: Instant) -> bool {
    match key {
        // Operators replace the environment and never delete it, so a deletion leaves it in force.
        Key::Environment => false,
        Key::ZoneOut(zone) => {
            tracing::info!(event = "zone_back", %zone, revision = %position, %origin);
            inner.zones_out.remove(zone)
        }
        Key::Server(name) => {
            let source_lost = inner.source_lost_at.is_some();
            let grace_until = inner.grace_until.filter(|&until| until > now);
            let Some(cached) = inner.servers.get_mut(name) else {
                // The server came and went between two fetches of records, and its build with it.
                if position > inner.applied_before {
                    inner.knowledge.restart(now);
                }
                return false;
            };
            let leaving = cached.server.state == State::Draining;
            if !leaving && (source_lost || grace_until.is_some()) {
                let until = grace_until.unwrap_or(now + LAPSED_SERVER_GRACE);
                tracing::info!(
                    event = "server_lapsed", server = %name, revision = %position, %origin,
                    trouble = source_lost
                );
                cached.expires_at = Some(until);
                return false;
            }
            tracing::info!(
                event = "server_gone", server = %name, reason = "deleted", revision = %position, %origin
            );
            let removed = inner.servers.remove(name);
            if let Some(CachedServer { server, .. }) = &removed {
                inner.departed_builds.record(&server.pool, &server.build, now);
                inner.restore.record_departure(server, now);
            }
            removed.is_some()
        }
    }
}
