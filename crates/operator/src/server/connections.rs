//! Open connections, limited in number.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio_util::sync::CancellationToken;

/// The open connections in the order in which they were accepted.
///
/// At the limit, a new connection evicts the oldest connection without a valid key, so that
/// connections that send nothing or garbage cannot keep operators out.
pub(super) struct Connections {
    max: usize,
    open: Mutex<Open>,
}

#[derive(Default)]
struct Open {
    next_id: u64,
    states: BTreeMap<u64, Arc<State>>,
}

struct State {
    authenticated: AtomicBool,
    closed: CancellationToken,
}

impl Connections {
    /// An empty set that admits up to `max` connections at once.
    pub(super) fn new(max: usize) -> Arc<Self> {
        Arc::new(Self { max, open: Mutex::default() })
    }

    /// Returns a slot for a new connection, or nothing at the limit if all open connections are
    /// authenticated.
    pub(super) fn admit(self: &Arc<Self>) -> Option<Slot> {
        let mut open = self.lock();
        if open.states.len() >= self.max {
            open.evict()?;
        }
        let id = open.next_id;
        open.next_id += 1;
        let state = Arc::new(State {
            authenticated: AtomicBool::new(false),
            closed: CancellationToken::new(),
        });
        open.states.insert(id, state.clone());
        drop(open);
        Some(Slot { connections: self.clone(), id, state })
    }

    /// Closes all connections without waiting for requests in progress.
    pub(super) fn close_all(&self) {
        for state in self.lock().states.values() {
            state.closed.cancel();
        }
    }

    /// The number of open connections.
    pub(super) fn count(&self) -> usize {
        self.lock().states.len()
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        // A panic cannot leave the map inconsistent, because each change is a single call.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Open {
    /// Closes the oldest unauthenticated connection, if there is one.
    fn evict(&mut self) -> Option<()> {
        let unauthenticated = |state: &State| !state.authenticated.load(Ordering::Relaxed);
        let mut states = self.states.iter();
        let id = *states.find(|(_, state)| unauthenticated(state))?.0;
        let state = self.states.remove(&id)?;
        state.closed.cancel();
        Some(())
    }
}

/// The slot of one open connection, released when dropped.
pub(super) struct Slot {
    connections: Arc<Connections>,
    id: u64,
    state: Arc<State>,
}

impl Slot {
    /// Marks the connection as authenticated, which protects it from eviction.
    pub(super) fn set_authenticated(&self) {
        self.state.authenticated.store(true, Ordering::Relaxed);
    }

    /// Waits until the connection is evicted or closed by [`Connections::close_all`].
    pub(super) async fn closed(&self) {
        self.state.closed.cancelled().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connections.lock().states.remove(&self.id);
    }
}
