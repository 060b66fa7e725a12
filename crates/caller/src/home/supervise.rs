//! Supervision of a run: its end is always recorded, and it is cancelled when abandoned.

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

/// The progress of a run, shared with its supervision.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether bytes may have been sent to a backend server.
    pub(super) dispatched: AtomicBool,
    /// The tokens received in the current attempt.
    pub(super) tokens: AtomicU64,
}

/// Records the end of a run, also if its task is dropped.
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

/// Runs a request until it ends or is abandoned by its callers.
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

/// Decides when a run is cancelled because its callers have left.
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

    /// Waits until all callers have left and the run is to be cancelled.
    async fn wait_until_abandoned(&self, record: &Record) {
        loop {
            record.wait_until_unread().await;
            if !self.has_key {
                return;
            }
            // A caller may reconnect with the same key.
            if timeout(self.abandon_grace, record.wait_for_reader()).await.is_ok() {
                continue;
            }
            if !self.keeps_running() {
                return;
            }
            record.wait_for_reader().await;
        }
    }

    /// Whether the run continues although no caller has reconnected.
    ///
    /// A dispatched non-idempotent request is not cancelled, as later copies get its response. An
    /// idempotent request continues if at least half of its maximum output has been received,
    /// since cancelling it would waste more work than completing it costs.
    fn keeps_running(&self) -> bool {
        if !self.idempotent {
            return self.progress.dispatched.load(Ordering::Acquire);
        }
        let tokens = self.progress.tokens.load(Ordering::Relaxed);
        self.max_output.is_some_and(|max| tokens.saturating_mul(2) >= max)
    }
}
