//! The state of a daemon's gateway, shared by all requests.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use hyssop_document::name::{Backend, Host, Zone};
use hyssop_policy::local::{
    decider::{Decider, Settings as DeciderSettings},
    departure::Durations,
    limit::Rate,
    server::Server as Candidate,
};
use hyssop_view::{
    heartbeat::{Phase, name_hash},
    member::{Role, Table},
    origin::Origins,
};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    cache::{Cache, Snapshot},
    departure::Departure,
    dialect::Dialect,
    environment::Route,
    http::{connection::Activity, pool::Pool as Connections},
    metrics::Metrics,
    record::{Decoder, Server},
    source::Outage,
    suspects::Suspects,
};

/// The slots of a backend server of a plain service that declares none.
const DEFAULT_SLOTS: u32 = 4;

/// The daemon's identity, resources and bounds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's host.
    pub host: Host,
    /// The host's availability zone.
    pub zone: Zone,
    /// Where the daemon accepts callers.
    pub caller_address: SocketAddr,
    /// The port on which daemons accept requests that peers forward.
    pub forwarding_port: u16,
    /// The start of the process: ms since 1970, above 8 random bits that make it unique.
    pub incarnation: u64,
    /// Whether the whole fleet starts for the first time, so that there are no earlier members.
    pub first_start: bool,
    /// The addresses of hosts from which the daemons discover each other.
    pub seeds: Vec<IpAddr>,
    /// The host's capacity, in requests per second.
    pub weight: u16,
    /// The maximum number of bytes of request bodies held at once.
    pub body_memory_bytes: usize,
    /// How long callers may cache a response of the directory.
    pub directory_ttl: Duration,
    /// The settings of [`Gateway::decider`].
    pub decider: DeciderSettings,
}

/// One daemon's gateway.
pub struct Gateway {
    /// The daemon's identity, resources and bounds.
    pub settings: Settings,
    /// The published state.
    pub cache: Arc<Cache>,
    /// Reads and writes the platform's headers.
    pub dialect: Box<dyn Dialect>,
    /// Decides where requests go.
    pub decider: Mutex<Decider>,
    /// Open connections to backend servers.
    pub connections: Connections,
    /// Counts the connections to peers that serve requests for this daemon.
    pub(crate) forwarding: Arc<Activity>,
    /// Requests that may have crashed backend servers.
    pub suspects: Mutex<Suspects>,
    /// The other daemons.
    pub members: Arc<Mutex<Table>>,
    /// The builds that began streams.
    pub origins: Origins,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The bytes of request bodies currently held.
    pub body_bytes: AtomicUsize,
    /// How long responses take, by route.
    pub durations: Mutex<Durations>,
    /// Decides what is still taken once the daemon is about to stop, and when the process ends.
    pub departure: Departure,
    /// Whether this daemon is to watch the source.
    role: Mutex<Role>,
    /// Whether this daemon receives changes from the source itself.
    watches_source: AtomicBool,
    /// Whether the source is to be read in full, as the records differ from those of watchers.
    read_request: AtomicBool,
    /// The failed calls of this daemon while the watchers of the source are silent.
    pub(crate) outage: Mutex<Outage>,
    /// Wakes the task that watches the source.
    pub(crate) role_changed: Notify,
}

impl Gateway {
    /// A gateway with an empty cache of published records.
    pub fn new(settings: Settings, decoder: Box<dyn Decoder>, dialect: Box<dyn Dialect>) -> Self {
        let decider = Decider::new(settings.decider.clone());
        let members = Table::new(Instant::now(), settings.first_start).with_seeds(
            settings.caller_address.ip(),
            &settings.seeds,
            settings.incarnation,
        );
        let members = Arc::new(Mutex::new(members));
        let origins = Origins::new(settings.zone.clone(), Arc::clone(&members));
        Self {
            cache: Arc::new(Cache::new(decoder)),
            dialect,
            decider: Mutex::new(decider),
            connections: Connections::default(),
            forwarding: Arc::default(),
            suspects: Mutex::default(),
            members,
            origins,
            metrics: Metrics::default(),
            body_bytes: AtomicUsize::new(0),
            durations: Mutex::default(),
            departure: Departure::default(),
            role: Mutex::new(Role::Watcher),
            watches_source: AtomicBool::new(false),
            read_request: AtomicBool::new(false),
            outage: Mutex::default(),
            role_changed: Notify::new(),
            settings,
        }
    }

    /// Whether the daemon accepts callers: not before it has an environment, nor after a suspension
    /// until its state is current again.
    pub fn phase(&self) -> Phase {
        if self.departure.has_begun() {
            return Phase::Leaving;
        }
        let has_environment = self.cache.snapshot().environment.is_some();
        if has_environment && !self.cache.is_suspended() { Phase::Ready } else { Phase::Starting }
    }

    /// Whether the daemon takes request `id` of `route` with this deadline, although it may be about
    /// to stop.
    pub fn takes(&self, id: &str, route: &Route, deadline: Instant, now: Instant) -> bool {
        let Some((stage, daemon_left)) = self.departure.stage(now) else { return true };
        let request_left = deadline.saturating_duration_since(now);
        let allows_rerun = route.retry_policy.allows_rerun();
        let (takes, longest) = {
            let durations = self.durations.lock();
            let name = &route.name;
            let takes = durations.takes(name, stage, allows_rerun, request_left, daemon_left);
            (takes, durations.longest(name))
        };
        tracing::info!(
            event = "taken_leaving", %id, route = %route.name, takes, %stage,
            request_left_ms = request_left.as_millis() as u64,
            daemon_left_ms = daemon_left.as_millis() as u64,
            longest_ms = longest.map(|longest| longest.as_millis() as u64)
        );
        takes
    }

    /// Whether this daemon is to watch the source.
    pub fn role(&self) -> Role {
        *self.role.lock()
    }

    /// Sets the role, and wakes the task that watches the source if it changed.
    pub(crate) fn set_role(&self, role: Role) {
        if std::mem::replace(&mut *self.role.lock(), role) != role {
            tracing::info!(event = "duty", duty = %role);
            self.role_changed.notify_one();
        }
    }

    /// Whether this daemon receives changes from the source itself.
    pub fn watches_source(&self) -> bool {
        self.watches_source.load(Ordering::Relaxed)
    }

    /// Sets whether this daemon receives changes from the source, and returns the previous value.
    pub(crate) fn set_watches_source(&self, watches_source: bool) -> bool {
        self.watches_source.swap(watches_source, Ordering::Relaxed)
    }

    /// Has the task that watches the source read it in full.
    pub(crate) fn request_read(&self) {
        self.read_request.store(true, Ordering::Relaxed);
        self.role_changed.notify_one();
    }

    /// Whether the source is to be read in full. Takes the request back.
    pub(crate) fn take_read_request(&self) -> bool {
        self.read_request.swap(false, Ordering::Relaxed)
    }

    /// Configures the decider with the backend servers in service, after the published state
    /// changed.
    pub fn reconfigure(&self) {
        let snapshot = self.cache.snapshot();
        let mut decider = self.decider.lock();
        let candidates =
            snapshot.servers.values().filter_map(|server| candidate(&snapshot, server));
        decider.set_servers(candidates.collect());
        for (server, &until) in &snapshot.cold {
            decider.record_cold(server, until);
        }
        drop(decider);
        self.connections.expire(|server| snapshot.servers.contains_key(server));
    }

    /// Logs and counts that a backend server leaves. `origin` is what reported it.
    pub(crate) fn report_leaving(
        &self,
        server: &Backend,
        incarnation: u64,
        origin: &dyn std::fmt::Display,
    ) {
        tracing::info!(event = "server_leaving", %server, incarnation, %origin);
        self.metrics.count_notice("leaving");
    }

    /// Logs and counts that a backend server names another limit, or none any more. `origin` is what
    /// reported it.
    pub(crate) fn report_limit(
        &self,
        server: &Backend,
        incarnation: u64,
        limit: Option<Rate>,
        origin: &dyn std::fmt::Display,
    ) {
        let limit = limit.map(tracing::field::display);
        tracing::info!(event = "server_limited", %server, incarnation, limit, %origin);
        self.metrics.count_notice("limit");
    }

    /// Logs and counts that a backend server says that it falls over if it rejects more requests in a
    /// second, or does not say so any more.
    pub(crate) fn report_brittle(
        &self,
        server: &Backend,
        incarnation: u64,
        tolerance: Option<Rate>,
    ) {
        let tolerance = tolerance.map(tracing::field::display);
        tracing::info!(event = "server_brittle", %server, incarnation, tolerance);
        self.metrics.count_notice("brittle");
    }
}

fn candidate(snapshot: &Snapshot, server: &Server) -> Option<Candidate> {
    let pool = snapshot.environment.as_ref()?.pool(&server.pool)?;
    let slots = pool.engine.map_or(server.slots, |engine| engine.slots);
    Some(Candidate {
        name: server.name.clone(),
        hash: name_hash(server.name.as_str()),
        pool: server.pool.clone(),
        zone: server.zone.clone(),
        build: server.build.clone(),
        slots: if slots == 0 { DEFAULT_SLOTS } else { slots },
        cache_tokens: pool.engine.map(|engine| engine.cache_tokens),
        fetch_tokens_per_ms: pool.engine.and_then(|engine| engine.fetch_tokens_per_ms),
        cold_rate: pool.cold_rate,
        max_connections: pool.max_connections,
        incarnation: server.started_ms.unwrap_or(0),
    })
}
