//! The task that watches the source of published records.

mod outage;

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use hyssop_view::{member::Role, watch::Watch};
use rand::RngExt as _;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

pub(crate) use self::outage::Outage;
use crate::{
    cache::Origin,
    gateway::Gateway,
    record::{Position, Record, Revision},
};

/// The maximum wait of one watch. Short, so that a connection that has gone silent is detected
/// soon.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a daemon checks that the source responds while a watch waits. With the time limit of a call,
/// and the time in which another daemon takes over and its peers fetch the changes, it must stay below
/// the time in which departures of backend servers must be known, two seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often an idle daemon checks whether it must read the source, unless its role changes before.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The delay after the first failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum delay of a watcher.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// The maximum delay of a standby watcher: while no daemon reaches the source, all but the watchers
/// are standby watchers, and the load of their calls must not grow with the fleet.
const MAX_STANDBY_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The records of one read or watch.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The records, in any order. Those of a read may be later than its position.
    pub records: Vec<Record>,
    /// The revisions at which the keys of the records were written for the first time since they were
    /// deleted, in the order of the records. Without meaning for deletions.
    pub created: Vec<Revision>,
    /// Whether the records were read at one moment.
    pub is_snapshot: bool,
    /// The position from which the next watch continues: all changes up to it are included.
    pub position: Position,
}

/// Why a call of the source failed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The source has no history from the position on, so a full read is needed.
    #[display("the source has no history from the position on")]
    Compacted,
    /// The source was restored from an older copy, so a full read is needed.
    #[display("the source was restored from an older copy")]
    Restored,
    /// The source refused the call with this HTTP status.
    #[display("refused with status {_0}")]
    Refused(#[error(not(source))] u16),
    /// The source can't be reached, or its response is malformed.
    #[display("{_0}")]
    Unreachable(#[error(not(source))] CompactString),
}

/// The result of a call of the source, as a boxed future.
pub type BatchFuture<'a> = Pin<Box<dyn Future<Output = Result<Batch, Error>> + Send + 'a>>;

/// The result of a check of the source, as a boxed future.
pub type CheckFuture<'a> = Pin<Box<dyn Future<Output = Result<(), Error>> + Send + 'a>>;

/// A source of published records.
pub trait Source: Send + Sync {
    /// Reads all records.
    fn read(&self) -> BatchFuture<'_>;

    /// Waits for changes after a position of the present era. Returns an empty batch if there are
    /// none within `wait`.
    fn watch(&self, after: Position, wait: Duration) -> BatchFuture<'_>;

    /// Checks with a cheap call that the source responds, whatever it says. May run beside a watch.
    fn check(&self) -> CheckFuture<'_>;
}

/// Reads and watches `source` until `stop` is cancelled, as the daemon's role requires.
pub async fn run(gateway: Arc<Gateway>, source: Arc<dyn Source>, stop: CancellationToken) {
    stop.run_until_cancelled(watch_source(&gateway, &*source)).await;
}

async fn watch_source(gateway: &Gateway, source: &dyn Source) {
    let mut position = None;
    let mut is_first_read = true;
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let suspended = gateway.cache.is_suspended();
        if gateway.take_read_request() {
            position = None;
        }
        if position.is_some() && !suspended && gateway.role() == Role::Idle {
            // Peers provide the changes. The position stays, so a later watch reads them once more.
            gateway.set_watches_source(false);
            timeout(IDLE_CHECK_INTERVAL, gateway.role_changed.notified()).await.ok();
            continue;
        }
        let (result, full) = match position {
            // The first watch does not wait, so that the next heartbeat states that this daemon
            // watches the source.
            Some(after) if !suspended => {
                let wait = if gateway.watches_source() { WATCH_TIMEOUT } else { Duration::ZERO };
                (watch_with_checks(source, after, wait).await, false)
            }
            _ => (source.read().await, true),
        };
        let now = Instant::now();
        match result {
            Ok(batch) => {
                delay = MIN_RETRY_DELAY;
                if gateway.outage.lock().end(now) {
                    gateway.cache.on_source_lost(now);
                }
                let outage = gateway.cache.on_source_response(now);
                if !gateway.set_watches_source(true) {
                    let gone_ms = outage.map(|outage| outage.as_millis() as u64);
                    tracing::info!(event = "source_back", gone_ms);
                }
                position = Some(batch.position);
                // Only a read that began after the suspension is current.
                if suspended {
                    gateway.cache.set_suspended(false);
                }
                let first_read =
                    (full && std::mem::take(&mut is_first_read)).then(|| batch.clone());
                let changed = if full {
                    gateway.cache.replace_all(batch.records, batch.position, now)
                } else {
                    gateway.cache.apply(batch.records, Origin::Watch, now)
                };
                if changed {
                    gateway.reconfigure();
                }
                if let Some(read) = first_read {
                    learn_past(gateway, source, &read).await;
                }
            }
            Err(error @ (Error::Compacted | Error::Restored)) => {
                let position = position.take().map(tracing::field::display);
                tracing::info!(event = "history_gone", position, fault = %error);
            }
            Err(error) => {
                on_failure(gateway, &error, position, now);
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(delay.mul_f64(jitter)).await;
                let max_delay = match gateway.role() {
                    Role::Watcher => MAX_RETRY_DELAY,
                    Role::StandbyWatcher | Role::Idle => MAX_STANDBY_RETRY_DELAY,
                };
                delay = (delay * 2).min(max_delay);
            }
        }
    }
}

/// Watches the source, and gives the watch up once the source does not respond to a check. A source that
/// can't be reached looks like one without changes until the end of the watch.
async fn watch_with_checks(
    source: &dyn Source,
    after: Position,
    wait: Duration,
) -> Result<Batch, Error> {
    let failed_check = async {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if let Err(error) = source.check().await {
                return error;
            }
        }
    };
    tokio::select! {
        biased;
        result = source.watch(after, wait) => result,
        error = failed_check => Err(error),
    }
}

/// Learns which builds pools had before the first read, if the source still shows it.
async fn learn_past(gateway: &Gateway, source: &dyn Source, read: &Batch) {
    let Some(past) = gateway.cache.past(read) else { return };
    if past.is_whole() {
        gateway.cache.extend_knowledge(past, None, Instant::now());
    } else if let Some(after) = past.history_start() {
        match source.watch(after, Duration::ZERO).await {
            Ok(history) => gateway.cache.extend_knowledge(past, Some(&history), Instant::now()),
            Err(error) => tracing::info!(event = "past_hidden", position = %after, fault = %error),
        }
    }
}

/// Handles a failed call of the source. While other daemons watch the source, it is not lost for
/// the fleet; otherwise `PeerSync::tick` marks it as lost once the failure is confirmed.
fn on_failure(gateway: &Gateway, error: &Error, position: Option<Position>, now: Instant) {
    let watch = gateway.members.lock().watch(now);
    let watched = watch == Watch::Active;
    let was_watching = gateway.set_watches_source(false);
    if was_watching || gateway.cache.is_source_up() && !watched {
        tracing::warn!(
            event = "source_lost", fault = %error,
            position = position.map(tracing::field::display), followed = watched
        );
    }
    if !watched {
        gateway.outage.lock().record_failure(error, now);
    }
}
