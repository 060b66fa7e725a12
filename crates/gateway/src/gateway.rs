//! The parts that all requests of a daemon share.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use hyssop_document::name::{Backend, Host, Zone};
use hyssop_policy::local::{
    decider::{Decider, Settings as DeciderSettings},
    standing::Server as Candidate,
};
use hyssop_view::{
    heartbeat::{Phase, name_hash},
    member::{Role, Table},
};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    dialect::Dialect,
    http::pool::{Fault, Pool as Connections},
    knowledge::{Knowledge, Snapshot},
    metrics::Metrics,
    record::{Decoder, Server},
    suspects::Suspects,
};

/// Slots of a plain service whose size is not declared.
const SLOTS_UNKNOWN: u32 = 4;

/// Who the daemon is and what it may use.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers reach the daemon.
    pub caller_address: SocketAddr,
    /// The start of the process.
    pub incarnation: u64,
    /// Whether all daemons start for the first time, so that there are no earlier members.
    pub first_start: bool,
    /// What the host can carry, in requests a second.
    pub weight: u16,
    /// Bytes of request bodies held at once.
    pub body_memory: usize,
    /// How long callers keep an answer of the directory.
    pub directory_time: Duration,
    /// The bounds of decisions.
    pub decider: DeciderSettings,
}

/// One daemon's router.
pub struct Gateway {
    /// Who it is.
    pub settings: Settings,
    /// What it believes of the published state.
    pub knowledge: Arc<Knowledge>,
    /// How headers are written.
    pub dialect: Box<dyn Dialect>,
    /// Where requests go.
    pub decider: Mutex<Decider>,
    /// Connections to backend servers.
    pub connections: Connections,
    /// Requests that break backend servers.
    pub suspects: Mutex<Suspects>,
    /// The other daemons.
    pub members: Arc<Mutex<Table>>,
    /// Counters.
    pub metrics: Metrics,
    /// Bytes of request bodies held now.
    pub body_bytes: AtomicUsize,
    /// Cancelled when idle connections of callers are closed.
    pub closing: CancellationToken,
    leaving: AtomicBool,
    /// Whether this daemon is to follow the source.
    role: Mutex<Role>,
    /// Whether the source tells this daemon of changes.
    follows: AtomicBool,
    /// Wakes the task that follows the source.
    pub(crate) observe: Notify,
}

impl Gateway {
    /// A router that knows nothing of the published state.
    pub fn new(settings: Settings, decoder: Box<dyn Decoder>, dialect: Box<dyn Dialect>) -> Self {
        let decider = Decider::new(settings.decider.clone());
        Self {
            knowledge: Arc::new(Knowledge::new(decoder)),
            dialect,
            decider: Mutex::new(decider),
            connections: Connections::default(),
            suspects: Mutex::default(),
            members: Arc::new(Mutex::new(Table::new(Instant::now(), settings.first_start))),
            metrics: Metrics::default(),
            body_bytes: AtomicUsize::new(0),
            closing: CancellationToken::new(),
            leaving: AtomicBool::new(false),
            role: Mutex::new(Role::Watcher),
            follows: AtomicBool::new(false),
            observe: Notify::new(),
            settings,
        }
    }

    /// Whether the daemon takes callers.
    pub fn phase(&self) -> Phase {
        if self.is_leaving() {
            return Phase::Leaving;
        }
        let known = self.knowledge.snapshot().environment.is_some();
        if known && !self.knowledge.is_suspended() { Phase::Ready } else { Phase::Starting }
    }

    /// Whether the daemon is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Begins to leave: not ready any more, out of the directory, connections close after answers.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this daemon is to follow the source.
    pub fn role(&self) -> Role {
        *self.role.lock()
    }

    /// Takes whether it is.
    pub(crate) fn set_role(&self, role: Role) {
        if std::mem::replace(&mut *self.role.lock(), role) != role {
            tracing::info!(event = "duty", duty = %role);
            self.observe.notify_one();
        }
    }

    /// Whether the source tells this daemon of changes.
    pub fn follows(&self) -> bool {
        self.follows.load(Ordering::Relaxed)
    }

    /// Takes whether it does. Returns what it was before.
    pub(crate) fn set_follows(&self, follows: bool) -> bool {
        self.follows.swap(follows, Ordering::Relaxed)
    }

    /// Hands the backend servers in service to the decider, after the published state changed.
    pub fn reconfigure(&self) {
        let snapshot = self.knowledge.snapshot();
        let mut decider = self.decider.lock();
        let candidates =
            snapshot.servers.values().filter_map(|server| candidate(&snapshot, server));
        decider.configure(candidates.collect());
        for (server, &until) in &snapshot.cold {
            decider.cold(server, until);
        }
        drop(decider);
        self.connections.expire(|server| snapshot.servers.contains_key(server));
    }

    /// Takes that exchanges broke at a backend server, and finds out whether it died.
    pub async fn examine(&self, server: &Backend, address: SocketAddr) {
        /// The pause before the attempt to connect: a process that dies closes its port last.
        const PAUSE: Duration = Duration::from_millis(40);
        tokio::time::sleep(PAUSE).await;
        let most = self.decider.lock().connections(server);
        self.connections.close_idle(server);
        match self.connections.take(server, address, most, false).await {
            Ok(connection) => self.connections.put(server, connection),
            // Other exchanges hold connections to it, and end them if it died.
            Err(fault @ Fault::Share) => {
                tracing::info!(event = "not_examined", %server, %fault);
            }
            Err(fault) => {
                let blamed = self.suspects.lock().died(server, Instant::now());
                for (fingerprint, standing) in blamed {
                    tracing::warn!(event = "blamed", %server, %fingerprint, %standing, %fault);
                }
            }
        }
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
        slots: if slots == 0 { SLOTS_UNKNOWN } else { slots },
        cache_tokens: pool.engine.map(|engine| engine.cache_tokens),
        cold_rate: pool.cold_rate,
        max_connections: pool.max_connections,
        incarnation: server.born_ms.unwrap_or(0),
    })
}
