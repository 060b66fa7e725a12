//! Locks that serialize suspects: one request of each fingerprint runs at a time.

use std::sync::Arc;

use hyssop_document::collections::Map;
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::quarantine::Fingerprint;

/// The locks of all suspects of a daemon.
#[derive(Debug, Default)]
pub(super) struct SuspectLocks {
    semaphores: Mutex<Map<Fingerprint, Arc<Semaphore>>>,
}

/// A lock on a fingerprint, released on drop.
#[derive(Debug)]
pub(super) struct SuspectGuard {
    _permit: OwnedSemaphorePermit,
}

impl SuspectLocks {
    /// Waits for the lock on a fingerprint.
    pub(super) async fn acquire(&self, fingerprint: Fingerprint) -> SuspectGuard {
        let semaphore = {
            let mut semaphores = self.semaphores.lock();
            // A semaphore that only the map refers to is unused.
            semaphores.retain(|_, semaphore| Arc::strong_count(semaphore) > 1);
            let new = || Arc::new(Semaphore::new(1));
            Arc::clone(semaphores.entry(fingerprint).or_insert_with(new))
        };
        let permit = semaphore.acquire_owned().await.expect("the semaphore is never closed");
        SuspectGuard { _permit: permit }
    }
}
