//! Choice of a backend server by its connection count, and the queue of requests that wait for one.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use hyssop_document::{
    collections::Set,
    model::{self, Document},
    name,
};
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tokio::{sync::oneshot, time::Instant};

use super::{Settings, Strategy};

/// How long a backend server is excluded after a failure.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(1);
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Backend {
    address: SocketAddr,
    zone: name::Zone,
    pool: name::Pool,
    limit: u32,
    connections: u32,
    excluded_until: Instant,
}

#[derive(Debug)]
struct State {
    backends: Vec<Backend>,
    zones_out: Set<name::Zone>,
    queue: VecDeque<(name::Pool, oneshot::Sender<()>)>,
    random: SmallRng,
}

#[derive(Debug)]
pub(super) struct Balancer {
    strategy: Strategy,
    state: Mutex<State>,
}

/// A connection to a backend server, counted until it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    balancer: Arc<Balancer>,
    index: usize,
    pub(super) address: SocketAddr,
}

impl Balancer {
    pub(super) fn new(settings: &Settings, document: &Document) -> Self {
        let backend = |backend: &model::Backend| {
            let pool = document.pools.iter().find(|pool| pool.name == backend.pool);
            Backend {
                address: backend.address,
                zone: backend.zone.clone(),
                pool: backend.pool.clone(),
                limit: pool.map_or(1, |pool| pool.warm_limit),
                connections: 0,
                excluded_until: Instant::now(),
            }
        };
        let state = State {
            backends: document.backends.iter().map(backend).collect(),
            zones_out: Set::default(),
            queue: VecDeque::new(),
            random: SmallRng::seed_from_u64(settings.seed),
        };
        Self { strategy: settings.strategy, state: Mutex::new(state) }
    }

    pub(super) fn set_zones_out(&self, zones: Set<name::Zone>) {
        self.state.lock().zones_out = zones;
    }

    /// Waits for a backend server of the pool and counts a connection to it.
    pub(super) async fn acquire(self: &Arc<Self>, pool: &name::Pool) -> Connection {
        if let Some(connection) = self.try_acquire(pool, true) {
            return connection;
        }
        loop {
            let (sender, wakeup) = oneshot::channel();
            self.state.lock().queue.push_back((pool.clone(), sender));
            // The end of a cooldown makes a backend server available without waking the queue.
            _ = tokio::time::timeout(RECHECK_INTERVAL, wakeup).await;
            if let Some(connection) = self.try_acquire(pool, false) {
                return connection;
            }
        }
    }

    fn try_acquire(self: &Arc<Self>, pool: &name::Pool, new_request: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let State { backends, zones_out, queue, random } = &mut *state;
        queue.retain(|(_, waiting)| !waiting.is_closed());
        if new_request && queue.iter().any(|(waiting, _)| waiting == pool) {
            return None;
        }
        let usable = backends.iter().enumerate().filter(|(_, backend)| {
            backend.pool == *pool
                && !zones_out.contains(&backend.zone)
                && backend.excluded_until <= now
        });
        let (index, _) = match self.strategy {
            Strategy::Random => usable.choose(random)?,
            Strategy::LeastConnections => {
                let free = usable.filter(|(_, backend)| backend.connections < backend.limit);
                let mut free: Vec<_> = free.collect();
                let fewest = free.iter().map(|(_, backend)| backend.connections).min()?;
                free.retain(|(_, backend)| backend.connections == fewest);
                free.into_iter().choose(random)?
            }
        };
        let backend = &mut backends[index];
        backend.connections += 1;
        Some(Connection { balancer: self.clone(), index, address: backend.address })
    }
}

impl Connection {
    /// Excludes the backend server for [`FAILURE_COOLDOWN`].
    pub(super) fn record_failure(&self) {
        let mut state = self.balancer.state.lock();
        state.backends[self.index].excluded_until = Instant::now() + FAILURE_COOLDOWN;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.balancer.state.lock();
        state.backends[self.index].connections -= 1;
        let pool = state.backends[self.index].pool.clone();
        while let Some(position) = state.queue.iter().position(|(waiting, _)| *waiting == pool) {
            let next = state.queue.remove(position);
            if next.is_some_and(|(_, wakeup)| wakeup.send(()).is_ok()) {
                return;
            }
        }
    }
}
