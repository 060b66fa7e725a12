//! The connections that are open, bounded in number.

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
/// When there are too many, the oldest one that has not presented a key gives way. So connections
/// that send nothing or garbage cannot keep operators out.
pub(super) struct Connections {
    max: usize,
    open: Mutex<Open>,
}

#[derive(Default)]
struct Open {
    next: u64,
    states: BTreeMap<u64, Arc<State>>,
}

struct State {
    trusted: AtomicBool,
    cut: CancellationToken,
}

impl Connections {
    /// No connections yet, of which `max` may be open at once.
    pub(super) fn new(max: usize) -> Arc<Self> {
        Arc::new(Self { max, open: Mutex::default() })
    }

    /// Makes room for a connection, or returns nothing if all others have presented a key.
    pub(super) fn admit(self: &Arc<Self>) -> Option<Slot> {
        let mut open = self.lock();
        if open.states.len() >= self.max {
            open.evict()?;
        }
        let number = open.next;
        open.next += 1;
        let state =
            Arc::new(State { trusted: AtomicBool::new(false), cut: CancellationToken::new() });
        open.states.insert(number, state.clone());
        drop(open);
        Some(Slot { connections: self.clone(), number, state })
    }

    /// Cuts off every connection.
    pub(super) fn cut_all(&self) {
        for state in self.lock().states.values() {
            state.cut.cancel();
        }
    }

    /// The number of open connections.
    pub(super) fn count(&self) -> usize {
        self.lock().states.len()
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        // The map is whole even if a thread panicked: each change of it is a single call.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Open {
    fn evict(&mut self) -> Option<()> {
        let untrusted = |state: &State| !state.trusted.load(Ordering::Relaxed);
        let mut states = self.states.iter();
        let number = *states.find(|(_, state)| untrusted(state))?.0;
        let state = self.states.remove(&number)?;
        state.cut.cancel();
        Some(())
    }
}

/// The place of one open connection. Dropping it makes room.
pub(super) struct Slot {
    connections: Arc<Connections>,
    number: u64,
    state: Arc<State>,
}

impl Slot {
    /// Remembers that a key was presented on the connection.
    pub(super) fn trust(&self) {
        self.state.trusted.store(true, Ordering::Relaxed);
    }

    /// Waits until the connection has to give way.
    pub(super) async fn cut(&self) {
        self.state.cut.cancelled().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connections.lock().states.remove(&self.number);
    }
}
