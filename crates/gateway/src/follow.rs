//! The task that follows the source of published records.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use hyssop_view::member::Role;
use rand::RngExt as _;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::{
    gateway::Gateway,
    knowledge::Origin,
    record::{Record, Revision},
};

/// How long one watch waits. Short, so that a watch that has gone silent is found soon.
const WATCH: Duration = Duration::from_millis(1_500);
/// How long a daemon that others tell of changes sleeps at most.
const IDLE: Duration = Duration::from_secs(1);
/// The first pause after a failure, and the longest.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
const PAUSE_MOST: Duration = Duration::from_millis(800);
/// The longest pause of a daemon that only stands in for others: while the source is away for all,
/// calls must not grow with the fleet.
const PAUSE_SUBSTITUTE: Duration = Duration::from_secs(3);

/// Records up to a revision.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The records.
    pub records: Vec<Record>,
    /// The revision from which to go on.
    pub until: Revision,
}

/// Why the source gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// The history after the revision is gone: read all.
    #[display("the history is gone")]
    Compacted,
    /// It refuses, for too many calls or otherwise.
    #[display("refused with status {_0}")]
    Refused(#[error(not(source))] u16),
    /// It can't be reached, or answers with something else.
    #[display("{_0}")]
    Unreachable(#[error(not(source))] CompactString),
}

/// What a source's call gives.
pub type Answer<'a> = Pin<Box<dyn Future<Output = Result<Batch, Fault>> + Send + 'a>>;

/// A source of published records.
pub trait Source: Send + Sync {
    /// Reads all records.
    fn read(&self) -> Answer<'_>;

    /// Waits for changes after a revision. Gives an empty batch if there are none for `wait`.
    fn watch(&self, after: Revision, wait: Duration) -> Answer<'_>;
}

/// Follows `source` until `stop` is cancelled.
pub async fn run(gateway: Arc<Gateway>, source: Arc<dyn Source>, stop: CancellationToken) {
    stop.run_until_cancelled(follow(&gateway, &*source)).await;
}

async fn follow(gateway: &Gateway, source: &dyn Source) {
    let mut position = None;
    let mut pause = PAUSE_FIRST;
    loop {
        let suspended = gateway.knowledge.is_suspended();
        if position.is_some() && !suspended && gateway.role() == Role::Idle {
            // Others tell of changes. What they told is read once more when this daemon goes on.
            gateway.set_follows(false);
            timeout(IDLE, gateway.observe.notified()).await.ok();
            continue;
        }
        let (answer, full) = match position {
            // The first answer comes at once, so that others soon know that this daemon follows.
            Some(after) if !suspended => {
                let wait = if gateway.follows() { WATCH } else { Duration::ZERO };
                (source.watch(after, wait).await, false)
            }
            _ => (source.read().await, true),
        };
        let now = Instant::now();
        match answer {
            Ok(batch) => {
                pause = PAUSE_FIRST;
                let gone = gateway.knowledge.source_back(now);
                if !gateway.set_follows(true) {
                    let gone_ms = gone.map(|gone| gone.as_millis() as u64);
                    tracing::info!(event = "source_back", gone_ms);
                }
                position = Some(batch.until);
                // A read that began before the process stood still may be as old as that.
                if suspended {
                    gateway.knowledge.suspend(false);
                }
                let changed = if full {
                    gateway.knowledge.replace(batch.records, batch.until, now)
                } else {
                    gateway.knowledge.apply(batch.records, Origin::Watch, now)
                };
                if changed {
                    gateway.reconfigure();
                }
            }
            Err(Fault::Compacted) => {
                tracing::info!(event = "history_gone", position = ?position);
                position = None;
            }
            Err(fault) => {
                lost(gateway, &fault, position, now);
                let part = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(pause.mul_f64(part)).await;
                let most = match gateway.role() {
                    Role::Watcher => PAUSE_MOST,
                    Role::StandbyWatcher | Role::Idle => PAUSE_SUBSTITUTE,
                };
                pause = (pause * 2).min(most);
            }
        }
    }
}

/// Takes that the source gave nothing. While others follow it, only this daemon can't reach it, and
/// when they don't either the next tick of heartbeats finds out.
fn lost(gateway: &Gateway, fault: &Fault, position: Option<Revision>, now: Instant) {
    let followed = gateway.members.lock().is_source_watched(now);
    if gateway.set_follows(false) || gateway.knowledge.is_source_up() && !followed {
        tracing::warn!(event = "source_lost", %fault, position = ?position, followed);
    }
    if !followed {
        gateway.knowledge.source_lost(now);
    }
}
