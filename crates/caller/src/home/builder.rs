//! Builder of a home.

use std::sync::{Arc, atomic::AtomicU64};

use hyssop_timer::Clock;
use tokio_util::task::TaskTracker;

use super::{Home, Limits, Shared, suspect_lock::SuspectLocks};
use crate::{
    backends::Backends,
    directory::Directory,
    observer::{Noop, Observer},
    permits::Permits,
    quarantine::{Disabled, Quarantine},
    registry::{self, Registry},
    relay::{Http, Relay},
    retries::{PoolBudgets, Retries},
};

/// Builds a [`Home`].
pub struct Builder {
    directory: Arc<dyn Directory>,
    permits: Arc<dyn Permits>,
    backends: Arc<dyn Backends>,
    quarantine: Arc<dyn Quarantine>,
    retries: Option<Arc<dyn Retries>>,
    relay: Arc<dyn Relay>,
    observer: Arc<dyn Observer>,
    clock: Arc<dyn Clock>,
    limits: Limits,
    registry_limits: registry::Limits,
}

impl Builder {
    pub(super) fn new(
        directory: Arc<dyn Directory>,
        permits: Arc<dyn Permits>,
        backends: Arc<dyn Backends>,
    ) -> Self {
        Self {
            directory,
            permits,
            backends,
            quarantine: Arc::new(Disabled),
            retries: None,
            relay: Arc::new(Http::default()),
            observer: Arc::new(Noop),
            clock: Arc::new(hyssop_timer::SystemClock),
            limits: Limits::default(),
            registry_limits: registry::Limits::default(),
        }
    }

    /// Sets the quarantine of requests that crash backend servers. [`Disabled`] is the default.
    pub fn quarantine(mut self, quarantine: Arc<dyn Quarantine>) -> Self {
        self.quarantine = quarantine;
        self
    }

    /// Sets the retry budgets. [`PoolBudgets`] is the default.
    pub fn retries(mut self, retries: Arc<dyn Retries>) -> Self {
        self.retries = Some(retries);
        self
    }

    /// Sets the relay to other daemons. [`Http`] is the default.
    pub fn relay(mut self, relay: Arc<dyn Relay>) -> Self {
        self.relay = relay;
        self
    }

    /// Sets the receiver of measurements. [`Noop`] is the default.
    pub fn observer(mut self, observer: Arc<dyn Observer>) -> Self {
        self.observer = observer;
        self
    }

    /// Sets the clock. The system's monotonic clock is the default.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the limits on runs.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the limits of the registry of keys.
    pub fn registry_limits(mut self, limits: registry::Limits) -> Self {
        self.registry_limits = limits;
        self
    }

    /// Builds the home.
    pub fn build(self) -> Home {
        let registry = Registry::new(self.registry_limits, self.clock.now());
        let default_retries =
            || Arc::new(PoolBudgets::new(Arc::clone(&self.clock))) as Arc<dyn Retries>;
        let shared = Shared {
            directory: self.directory,
            permits: self.permits,
            backends: self.backends,
            quarantine: self.quarantine,
            retries: self.retries.unwrap_or_else(default_retries),
            relay: self.relay,
            observer: self.observer,
            clock: self.clock,
            registry,
            limits: self.limits,
            suspect_locks: SuspectLocks::default(),
            request_count: AtomicU64::new(0),
            runs: TaskTracker::new(),
        };
        Home { shared: Arc::new(shared) }
    }
}
