//! Supervision of a run: its end is recorded in any case, and it ends when nobody wants it.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use tokio::time::timeout;

use super::{Shared, run::Run};
use crate::{
    record::{End, Record, broken_off},
    registry::Owned,
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
struct Ending {
    shared: Arc<Shared>,
    record: Arc<Record>,
    owned: Option<Owned>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        if self.record.end().is_none() {
            self.record.finish(End::Other(broken_off()));
        }
        if let Some(owned) = &self.owned {
            self.shared.registry.finish(owned);
        }
    }
}

/// Runs a request until it ends or nobody wants it any more.
pub(super) async fn run(mut run: Run, owned: Option<Owned>) {
    let shared = Arc::clone(&run.shared);
    let record = Arc::clone(&run.record);
    let watch = Watch::new(&run, owned.is_some());
    let ending = Ending { shared, record: Arc::clone(&record), owned };
    let end = tokio::select! {
        biased;
        end = run.drive() => end,
        () = watch.unwanted(&record) => run.left(),
    };
    if end != End::Whole {
        record.finish(end.clone());
    }
    run.observe(&end);
    drop(ending);
}

/// Decides when a run is not wanted any more.
struct Watch {
    progress: Arc<Progress>,
    idempotent: bool,
    has_key: bool,
    patience: std::time::Duration,
    max_output: Option<u64>,
}

impl Watch {
    fn new(run: &Run, has_key: bool) -> Self {
        let prompt = run.order.request.prompt.as_ref();
        Self {
            progress: Arc::clone(&run.progress),
            idempotent: run.order.terms.class.idempotent,
            has_key,
            patience: run.shared.limits.patience,
            max_output: prompt.and_then(|prompt| prompt.max_output).map(|tokens| tokens.0),
        }
    }

    /// Waits until every caller has left for good.
    async fn unwanted(&self, record: &Record) {
        loop {
            record.abandoned().await;
            if !self.has_key {
                return;
            }
            // The caller may come back with its key.
            if timeout(self.patience, record.wanted()).await.is_ok() {
                continue;
            }
            if !self.runs_on() {
                return;
            }
            record.wanted().await;
        }
    }

    /// Whether the run goes on although its caller has not come back.
    ///
    /// A non-idempotent request that was sent is not cancelled: its answer is what a later copy
    /// gets. An idempotent one goes on if at least half of the longest answer is there, since
    /// cancelling wastes more work than finishing costs.
    fn runs_on(&self) -> bool {
        if !self.idempotent {
            return self.progress.dispatched.load(Ordering::Acquire);
        }
        let tokens = self.progress.tokens.load(Ordering::Relaxed);
        self.max_output.is_some_and(|max| tokens.saturating_mul(2) >= max)
    }
}
