//! Supervision of a run: its end is recorded in any case, and it ends when nobody wants it.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use tokio::time::timeout;

use super::{Shared, run::Run};
use crate::{
    record::{End, Record, aborted},
    registry::ScopedKey,
};

/// What supervision sees of a run.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether a byte may have gone out to a backend server.
    pub(super) dispatched: AtomicBool,
    /// The tokens of the attempt that runs.
    pub(super) tokens: AtomicU64,
}

/// Records the end of a run even when its task is dropped.
struct EndGuard {
    shared: Arc<Shared>,
    record: Arc<Record>,
    key: Option<ScopedKey>,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if self.record.end().is_none() {
            self.record.finish(End::Incomplete(aborted()));
        }
        if let Some(key) = &self.key {
            self.shared.registry.finish(key);
        }
    }
}

/// Runs a request until it ends or nobody wants it any more.
pub(super) async fn run(mut run: Run, key: Option<ScopedKey>) {
    let shared = Arc::clone(&run.shared);
    let record = Arc::clone(&run.record);
    let monitor = AbandonMonitor::new(&run, key.is_some());
    let end_guard = EndGuard { shared, record: Arc::clone(&record), key };
    let end = tokio::select! {
        biased;
        end = run.drive() => end,
        () = monitor.wait_until_abandoned(&record) => run.caller_left(),
    };
    if end != End::Complete {
        record.finish(end.clone());
    }
    run.report(&end);
    drop(end_guard);
}

/// Decides when a run is not wanted any more.
struct AbandonMonitor {
    progress: Arc<Progress>,
    idempotent: bool,
    has_key: bool,
    abandon_grace: std::time::Duration,
    max_output: Option<u64>,
}

impl AbandonMonitor {
    fn new(run: &Run, has_key: bool) -> Self {
        let prompt = run.job.request.prompt.as_ref();
        Self {
            progress: Arc::clone(&run.progress),
            idempotent: run.job.terms.class.idempotent,
            has_key,
            abandon_grace: run.shared.limits.abandon_grace,
            max_output: prompt.and_then(|prompt| prompt.max_output).map(|tokens| tokens.0),
        }
    }

    /// Waits until every caller has left for good.
    async fn wait_until_abandoned(&self, record: &Record) {
        loop {
            record.wait_until_unread().await;
            if !self.has_key {
                return;
            }
            // The caller may come back with its key.
            if timeout(self.abandon_grace, record.wait_for_reader()).await.is_ok() {
                continue;
            }
            if !self.keeps_running() {
                return;
            }
            record.wait_for_reader().await;
        }
    }

    /// Whether the run goes on although its caller has not come back.
    ///
    /// A non-idempotent request that was sent is not cancelled: its answer is what a later copy
    /// gets. An idempotent one goes on if at least half of the longest answer is there, since
    /// cancelling wastes more work than finishing costs.
    fn keeps_running(&self) -> bool {
        if !self.idempotent {
            return self.progress.dispatched.load(Ordering::Acquire);
        }
        let tokens = self.progress.tokens.load(Ordering::Relaxed);
        self.max_output.is_some_and(|max| tokens.saturating_mul(2) >= max)
    }
}
