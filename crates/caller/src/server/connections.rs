//! Open connections, limited in number.
//!
//! At the limit, a new connection evicts the oldest connection whose request is not yet being
//! handled, so that connections that are idle or send slowly cannot keep callers out.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

#[derive(Debug)]
struct State {
    requests: AtomicUsize,
    /// Whether a write waits for the caller to read. A request has ended once its whole response is
    /// buffered, before that is sent.
    write_pending: Arc<AtomicBool>,
    evicted: CancellationToken,
}

#[derive(Debug, Default)]
struct Open {
    next_id: u64,
    states: BTreeMap<u64, Arc<State>>,
}

/// The open connections in the order in which they were accepted.
#[derive(Debug)]
pub(super) struct Connections {
    open: Arc<Mutex<Open>>,
    max: usize,
}

impl Connections {
    pub(super) fn new(max: usize) -> Self {
        Self { open: Arc::default(), max }
    }

    /// The number of connections with a request that is being handled or a response that is not sent.
    pub(super) fn busy_count(&self) -> usize {
        let is_busy = |state: &&Arc<State>| {
            state.requests.load(Ordering::Acquire) > 0
                || state.write_pending.load(Ordering::Relaxed)
        };
        self.open.lock().states.values().filter(is_busy).count()
    }

    /// Returns a slot for a new connection, or nothing at the limit if every open connection has a
    /// request that is being handled.
    pub(super) fn admit(&self) -> Option<Slot> {
        let mut open = self.open.lock();
        if open.states.len() >= self.max {
            let idle = |state: &State| state.requests.load(Ordering::Acquire) == 0;
            let oldest = open.states.iter().find(|(_, state)| idle(state)).map(|(id, _)| *id)?;
            if let Some(state) = open.states.remove(&oldest) {
                state.evicted.cancel();
            }
        }
        let id = open.next_id;
        open.next_id += 1;
        let state = Arc::new(State {
            requests: AtomicUsize::new(0),
            write_pending: Arc::default(),
            evicted: CancellationToken::new(),
        });
        open.states.insert(id, Arc::clone(&state));
        Some(Slot { id, state, open: Arc::clone(&self.open) })
    }
}

/// The slot of one open connection, released when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    id: u64,
    state: Arc<State>,
    open: Arc<Mutex<Open>>,
}

impl Slot {
    /// Waits until the connection is evicted in favor of a new connection.
    pub(super) async fn evicted(&self) {
        self.state.evicted.cancelled().await;
    }

    /// Whether a write waits for the caller to read, which the connection's stream updates.
    pub(super) fn write_pending(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.state.write_pending)
    }

    /// Marks a request as being handled until the guard is dropped.
    pub(super) fn start_request(&self) -> RequestGuard {
        self.state.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard { state: Arc::clone(&self.state) }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.open.lock().states.remove(&self.id);
    }
}

/// A request that is being handled, which protects its connection from eviction.
#[derive(Debug)]
pub(super) struct RequestGuard {
    state: Arc<State>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
