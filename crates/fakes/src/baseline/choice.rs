//! The choice of a backend server by its connections, and the queue for one.

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

/// The time for which a backend server is passed over after it failed.
const PASS_OVER: Duration = Duration::from_secs(1);
const RECHECK: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Backend {
    address: SocketAddr,
    zone: name::Zone,
    pool: name::Pool,
    limit: u32,
    connections: u32,
    passed_over_until: Instant,
}

#[derive(Debug)]
struct State {
    backends: Vec<Backend>,
    out: Set<name::Zone>,
    queue: VecDeque<(name::Pool, oneshot::Sender<()>)>,
    random: SmallRng,
}

#[derive(Debug)]
pub(super) struct Choice {
    strategy: Strategy,
    state: Mutex<State>,
}

/// A connection to a backend server, counted until it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    choice: Arc<Choice>,
    index: usize,
    pub(super) address: SocketAddr,
}

impl Choice {
    pub(super) fn new(settings: &Settings, document: &Document) -> Self {
        let backend = |backend: &model::Backend| {
            let pool = document.pools.iter().find(|pool| pool.name == backend.pool);
            Backend {
                address: backend.address,
                zone: backend.zone.clone(),
                pool: backend.pool.clone(),
                limit: pool.map_or(1, |pool| pool.warm_limit),
                connections: 0,
                passed_over_until: Instant::now(),
            }
        };
        let state = State {
            backends: document.backends.iter().map(backend).collect(),
            out: Set::default(),
            queue: VecDeque::new(),
            random: SmallRng::seed_from_u64(settings.seed),
        };
        Self { strategy: settings.strategy, state: Mutex::new(state) }
    }

    pub(super) fn set_out(&self, zones: Set<name::Zone>) {
        self.state.lock().out = zones;
    }

    /// Waits for a backend server of the pool.
    pub(super) async fn take(self: &Arc<Self>, pool: &name::Pool) -> Connection {
        if let Some(connection) = self.try_take(pool, true) {
            return connection;
        }
        loop {
            let (sender, turn) = oneshot::channel();
            self.state.lock().queue.push_back((pool.clone(), sender));
            // A backend server may also come back without a connection being given back.
            _ = tokio::time::timeout(RECHECK, turn).await;
            if let Some(connection) = self.try_take(pool, false) {
                return connection;
            }
        }
    }

    fn try_take(self: &Arc<Self>, pool: &name::Pool, newcomer: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let State { backends, out, queue, random } = &mut *state;
        queue.retain(|(_, waiting)| !waiting.is_closed());
        if newcomer && queue.iter().any(|(waiting, _)| waiting == pool) {
            return None;
        }
        let usable = backends.iter().enumerate().filter(|(_, backend)| {
            backend.pool == *pool
                && !out.contains(&backend.zone)
                && backend.passed_over_until <= now
        });
        let (index, _) = match self.strategy {
            Strategy::Random => usable.choose(random)?,
            Strategy::LeastConnections => {
                let free = usable.filter(|(_, backend)| backend.connections < backend.limit);
                let mut free: Vec<_> = free.collect();
                let least = free.iter().map(|(_, backend)| backend.connections).min()?;
                free.retain(|(_, backend)| backend.connections == least);
                free.into_iter().choose(random)?
            }
        };
        let backend = &mut backends[index];
        backend.connections += 1;
        Some(Connection { choice: self.clone(), index, address: backend.address })
    }
}

impl Connection {
    /// Passes the backend server over for a while.
    pub(super) fn failed(&self) {
        let mut state = self.choice.state.lock();
        state.backends[self.index].passed_over_until = Instant::now() + PASS_OVER;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.choice.state.lock();
        state.backends[self.index].connections -= 1;
        let pool = state.backends[self.index].pool.clone();
        while let Some(position) = state.queue.iter().position(|(waiting, _)| *waiting == pool) {
            let next = state.queue.remove(position);
            if next.is_some_and(|(_, turn)| turn.send(()).is_ok()) {
                return;
            }
        }
    }
}
