//! The home of requests: the daemon that a caller is connected to, or that its key is bound to.
//!
//! A request that may run gets a [`crate::record::Record`] and a task that writes it. The caller,
//! and any other that sends the same key, reads the record.

mod builder;
mod limits;
mod permit_guard;
mod run;
mod serve;
mod supervise;
mod suspect_lock;
mod totals;

use std::sync::{Arc, atomic::AtomicU64};

pub use builder::Builder;
use hyssop_timer::Clock;
pub use limits::Limits;
use tokio_util::task::TaskTracker;

use crate::{
    backends::Backends, directory::Directory, observer::Observer, permits::Permits,
    quarantine::Quarantine, registry::Registry, relay::Relay, retries::Retries,
};

/// The home of requests. It is made by [`Home::builder`].
#[derive(Clone)]
pub struct Home {
    shared: Arc<Shared>,
}

/// What all requests of a home share.
struct Shared {
    directory: Arc<dyn Directory>,
    permits: Arc<dyn Permits>,
    backends: Arc<dyn Backends>,
    quarantine: Arc<dyn Quarantine>,
    retries: Arc<dyn Retries>,
    relay: Arc<dyn Relay>,
    observer: Arc<dyn Observer>,
    clock: Arc<dyn Clock>,
    registry: Registry,
    limits: Limits,
    suspect_locks: suspect_lock::SuspectLocks,
    /// The number of requests so far, out of which ids are made.
    request_count: AtomicU64,
    runs: TaskTracker,
}

impl Home {
    /// Starts to build a home.
    pub fn builder(
        directory: Arc<dyn Directory>,
        permits: Arc<dyn Permits>,
        backends: Arc<dyn Backends>,
    ) -> Builder {
        Builder::new(directory, permits, backends)
    }

    /// Waits until every run has ended, for a graceful stop.
    pub async fn drain(&self) {
        self.shared.runs.close();
        self.shared.runs.wait().await;
    }

    /// The number of runs.
    pub fn running(&self) -> usize {
        self.shared.runs.len()
    }

    /// The number of keys remembered and the bytes of their answers.
    pub fn keys(&self) -> (usize, usize) {
        self.shared.registry.size()
    }
}
