//! What a daemon believes of the published state, and how long.
//!
//! Records come from the source and from peers, each with its revision; the highest revision of a
//! key wins, whoever tells it, so nothing goes back within a process.

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
use hyssop_view::sync::RecordProvider;
use parking_lot::Mutex;

use crate::{
    environment::Environment,
    record::{Decoder, Fact, Record, Revision, Server, State, Subject},
};

/// How long entries that lapsed while the source was in trouble are kept after its return: backend
/// servers that live have written theirs again by then.
const LAPSED_KEPT: Duration = Duration::from_secs(2);
/// How long a deletion is remembered, so that peers that missed it can learn of it.
const DELETION_KEPT: Duration = Duration::from_secs(120);

/// The longest time that a backend server can say it is cold. Longer ones are a writer's mistake.
const COLD_MOST: Duration = Duration::from_secs(600);

/// Who told a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Origin {
    /// The source, in a full read.
    #[display("read")]
    Read,
    /// The source, as a change.
    #[display("watch")]
    Watch,
    /// A peer.
    #[display("peer")]
    Peer,
}

/// The state that requests are decided on. Never changed, only replaced.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The declared environment, once it is known.
    pub environment: Option<Arc<Environment>>,
    /// The backend servers that may get requests.
    pub servers: Map<Backend, Arc<Server>>,
    /// Until when some of them are cold.
    pub cold: Map<Backend, Instant>,
    /// The zones that are out of service.
    pub zones_out: Set<Zone>,
    /// The highest revision that is in it.
    pub applied: Revision,
}

#[derive(Debug)]
struct Held {
    record: Record,
    since: Instant,
}

#[derive(Debug)]
struct Listed {
    server: Arc<Server>,
    /// Until when it is cold, counted from when its record came.
    cold_until: Option<Instant>,
    /// When it is dropped, if its entry lapsed while the source was in trouble.
    lapsed: Option<Instant>,
}

#[derive(Debug, Default)]
struct Inner {
    records: Map<CompactString, Held>,
    environment: Option<Arc<Environment>>,
    servers: Map<Backend, Listed>,
    zones_out: Set<Zone>,
    applied: Revision,
    trouble_since: Option<Instant>,
    calm_from: Option<Instant>,
    heard: Option<Instant>,
    suspended: bool,
}

/// The beliefs of one daemon.
pub struct Knowledge {
    decoder: Box<dyn Decoder>,
    inner: Mutex<Inner>,
    current: ArcSwap<Snapshot>,
}

impl Knowledge {
    /// Knows nothing.
    pub fn new(decoder: Box<dyn Decoder>) -> Self {
        Self { decoder, inner: Mutex::default(), current: ArcSwap::default() }
    }

    /// The state now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Takes records. Returns whether the state changed.
    pub fn apply(&self, records: Vec<Record>, origin: Origin, now: Instant) -> bool {
        let mut inner = self.inner.lock();
        let mut changed = false;
        for record in records {
            changed |= self.take(&mut inner, record, origin, now);
        }
        if changed {
            self.publish(&inner);
        }
        changed
    }

    /// Takes a full read as of `revision`: what is missing in it was deleted.
    pub fn replace(&self, mut records: Vec<Record>, revision: Revision, now: Instant) -> bool {
        let listed: Set<CompactString> = records.iter().map(|record| record.key.clone()).collect();
        for (key, held) in &self.inner.lock().records {
            let record = &held.record;
            if record.value.is_some() && record.revision <= revision && !listed.contains(key) {
                records.push(Record { key: key.clone(), revision, value: None });
            }
        }
        self.apply(records, Origin::Read, now)
    }

    /// Takes that the source can't be reached or refuses.
    pub fn source_lost(&self, now: Instant) {
        let mut inner = self.inner.lock();
        inner.calm_from = None;
        inner.trouble_since.get_or_insert(now);
    }

    /// How many ms ago the source answered last, if it has.
    pub fn source_age_ms(&self, now: Instant) -> Option<u64> {
        Some(now.duration_since(self.inner.lock().heard?).as_millis() as u64)
    }

    /// Takes that the source answers. Returns how long it did not, if it has just come back.
    pub fn source_back(&self, now: Instant) -> Option<Duration> {
        let mut inner = self.inner.lock();
        inner.heard = Some(now);
        let since = inner.trouble_since.take()?;
        let calm_from = now + LAPSED_KEPT;
        inner.calm_from = Some(calm_from);
        for listed in inner.servers.values_mut() {
            if let Some(until) = &mut listed.lapsed {
                *until = calm_from;
            }
        }
        Some(now.duration_since(since))
    }

    /// Whether the source answers, as far as is known.
    pub fn is_source_up(&self) -> bool {
        self.inner.lock().trouble_since.is_none()
    }

    /// Takes that the process was suspended: nothing is known until the source or a peer tells it.
    pub fn suspend(&self, suspended: bool) {
        self.inner.lock().suspended = suspended;
    }

    /// Whether what is known is too old to act on.
    pub fn is_suspended(&self) -> bool {
        self.inner.lock().suspended
    }

    /// Drops what has lapsed. Returns whether the state changed.
    pub fn tick(&self, now: Instant) -> bool {
        let mut inner = self.inner.lock();
        if inner.trouble_since.is_some() {
            return false;
        }
        let before = inner.servers.len();
        inner.servers.retain(|name, listed| {
            let keep = listed.lapsed.is_none_or(|until| until > now);
            if !keep {
                tracing::info!(event = "server_gone", server = %name, reason = "lapsed");
            }
            keep
        });
        let changed = inner.servers.len() < before;
        if changed {
            self.publish(&inner);
        }
        let kept = |held: &Held| {
            held.record.value.is_some() || now.duration_since(held.since) < DELETION_KEPT
        };
        inner.records.retain(|_, held| kept(held));
        changed
    }

    fn take(&self, inner: &mut Inner, record: Record, origin: Origin, now: Instant) -> bool {
        let Some(subject) = self.decoder.subject(&record.key) else { return false };
        let known = inner.records.get(&record.key);
        if known.is_some_and(|known| known.record.revision >= record.revision) {
            return false;
        }
        inner.applied = inner.applied.max(record.revision);
        let (key, revision) = (record.key.clone(), record.revision);
        let changed = match &record.value {
            None => forget(inner, &subject, revision, origin, now),
            Some(value) => match self.decoder.decode(&subject, value) {
                Ok(fact) => learn(inner, fact, revision, origin, now),
                Err(fault) => {
                    tracing::warn!(event = "record_refused", %key, %revision, %origin, %fault);
                    matches!(subject, Subject::Server(_))
                        && forget(inner, &subject, revision, origin, now)
                }
            },
        };
        inner.records.insert(key, Held { record, since: now });
        changed
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
        let listed = || inner.servers.iter().filter(|(_, listed)| in_service(&listed.server));
        let cold = listed().filter_map(|(name, listed)| Some((name.clone(), listed.cold_until?)));
        let servers = listed().map(|(name, listed)| (name.clone(), Arc::clone(&listed.server)));
        let snapshot = Snapshot {
            servers: servers.collect(),
            cold: cold.collect(),
            zones_out: inner.zones_out.clone(),
            applied: inner.applied,
            environment,
        };
        self.current.store(Arc::new(snapshot));
    }
}

impl RecordProvider for Knowledge {
    fn records_after(&self, after: Revision) -> Option<Vec<Record>> {
        let inner = self.inner.lock();
        if inner.suspended {
            return None;
        }
        let records = inner.records.values().map(|held| &held.record);
        Some(records.filter(|record| record.revision > after).cloned().collect())
    }
}

fn learn(inner: &mut Inner, fact: Fact, revision: Revision, origin: Origin, now: Instant) -> bool {
    match fact {
        Fact::Environment(environment) => {
            tracing::info!(
                event = "environment", version = environment.version, %revision, %origin,
                routes = environment.route_count()
            );
            inner.environment = Some(Arc::new(*environment));
        }
        Fact::Server(server) => {
            tracing::info!(
                event = "server", server = %server.name, pool = %server.pool, zone = %server.zone,
                state = %server.state, address = %server.address, cold_ms = server.cold.as_millis() as u64,
                %revision, %origin
            );
            let name = server.name.clone();
            let cold_until = (!server.cold.is_zero()).then(|| now + server.cold.min(COLD_MOST));
            let listed = Listed { server: Arc::new(server), cold_until, lapsed: None };
            inner.servers.insert(name, listed);
        }
        Fact::ZoneOut(zone) => {
            tracing::info!(event = "zone_out", %zone, %revision, %origin);
            inner.zones_out.insert(zone);
        }
    }
    true
}

fn forget(
    inner: &mut Inner,
    subject: &Subject,
    revision: Revision,
    origin: Origin,
    now: Instant,
) -> bool {
    match subject {
        // Operators replace the environment and never take it away.
        Subject::Environment => false,
        Subject::ZoneOut(zone) => {
            tracing::info!(event = "zone_back", %zone, %revision, %origin);
            inner.zones_out.remove(zone)
        }
        Subject::Server(name) => {
            let trouble = inner.trouble_since.is_some();
            let calm_from = inner.calm_from.filter(|&from| from > now);
            let Some(listed) = inner.servers.get_mut(name) else { return false };
            let leaving = listed.server.state == State::Draining;
            if !leaving && (trouble || calm_from.is_some()) {
                let until = calm_from.unwrap_or(now + LAPSED_KEPT);
                tracing::info!(event = "server_lapsed", server = %name, %revision, %origin, trouble);
                listed.lapsed = Some(until);
                return false;
            }
            tracing::info!(event = "server_gone", server = %name, reason = "deleted", %revision, %origin);
            inner.servers.remove(name).is_some()
        }
    }
}
