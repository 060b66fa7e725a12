//! The home of a request: the daemon that the caller is connected to, or that its key is bound to.
//!
//! Each run of a request has a [`crate::record::Record`] and a task that writes it. The caller, and
//! every other caller that sends the same key, reads the record.

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

/// The handler of requests from callers, created by [`Home::builder`].
#[derive(Clone)]
pub struct Home {
    shared: Arc<Shared>,
}

/// State shared by all requests of a home.
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
    /// The counter from which ids are derived.
    request_count: AtomicU64,
    runs: TaskTracker,
}

impl Home {
    /// Creates a builder with default limits.
    pub fn builder(
        directory: Arc<dyn Directory>,
        permits: Arc<dyn Permits>,
        backends: Arc<dyn Backends>,
    ) -> Builder {
        Builder::new(directory, permits, backends)
    }

    /// Waits until all runs have ended, for a graceful stop.
    pub async fn drain(&self) {
        self.shared.runs.close();
        self.shared.runs.wait().await;
    }

    /// The number of runs that have not ended.
    pub fn running(&self) -> usize {
        self.shared.runs.len()
    }

    /// The number of recorded keys and the bytes counted for their responses.
    pub fn keys(&self) -> (usize, usize) {
        self.shared.registry.size()
    }
}
