//! Settings of a home.

use std::sync::{Arc, atomic::AtomicU64};

use hyssop_timer::Clock;
use tokio_util::task::TaskTracker;

use super::{Home, Limits, Shared, solo::Solo};
use crate::{
    backends::Backends,
    directory::Directory,
    observer::{Blind, Observer},
    permits::Permits,
    quarantine::{Open, Quarantine},
    registry::{self, Registry},
    relay::{Http, Relay},
    retries::{Retries, Share},
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
    keys: registry::Limits,
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
            quarantine: Arc::new(Open),
            retries: None,
            relay: Arc::new(Http::default()),
            observer: Arc::new(Blind),
            clock: Arc::new(hyssop_timer::SystemClock),
            limits: Limits::default(),
            keys: registry::Limits::default(),
        }
    }

    /// Sets where requests that crash backend servers are recorded. Nowhere is the default.
    pub fn quarantine(mut self, quarantine: Arc<dyn Quarantine>) -> Self {
        self.quarantine = quarantine;
        self
    }

    /// Sets the budget for retries. A share of the successes of each pool is the default.
    pub fn retries(mut self, retries: Arc<dyn Retries>) -> Self {
        self.retries = Some(retries);
        self
    }

    /// Sets how requests reach other daemons. HTTP is the default.
    pub fn relay(mut self, relay: Arc<dyn Relay>) -> Self {
        self.relay = relay;
        self
    }

    /// Sets what takes measurements.
    pub fn observer(mut self, observer: Arc<dyn Observer>) -> Self {
        self.observer = observer;
        self
    }

    /// Sets the clock.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the limits on runs.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the bounds of the registry of keys.
    pub fn keys(mut self, keys: registry::Limits) -> Self {
        self.keys = keys;
        self
    }

    /// The home.
    pub fn build(self) -> Home {
        let registry = Registry::new(self.keys, self.clock.now());
        let share = || Arc::new(Share::new(Arc::clone(&self.clock))) as Arc<dyn Retries>;
        let shared = Shared {
            directory: self.directory,
            permits: self.permits,
            backends: self.backends,
            quarantine: self.quarantine,
            retries: self.retries.unwrap_or_else(share),
            relay: self.relay,
            observer: self.observer,
            clock: self.clock,
            registry,
            limits: self.limits,
            solo: Solo::default(),
            requests: AtomicU64::new(0),
            runs: TaskTracker::new(),
        };
        Home { shared: Arc::new(shared) }
    }
}
