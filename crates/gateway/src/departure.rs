//! The stop of a daemon. One state decides what is still taken, when listeners close and when responses are
//! cut, so that whoever takes a request and whoever ends the process can't disagree
//! (docs/design/DEPARTURE.md).

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

use hyssop_listener::{Gate, LAST_READ_TIME};
use hyssop_policy::local::departure::Stage;
use tokio::time::{timeout, timeout_at};
use tokio_util::sync::CancellationToken;

/// Callers use a response of the directory for at most this many times its TTL.
const DIRECTORY_USE_FACTOR: u32 = 3;
/// How long after these responses have expired a leaving daemon keeps idle connections open.
const MOVE_MARGIN: Duration = Duration::from_secs(1);
/// The time at the end of the grace time that is reserved for an orderly exit.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);
/// The part of it in which the process writes its last log lines and ends.
const EXIT_TIME: Duration = Duration::from_millis(100);
/// How long the first request of a new connection may take to arrive: two round trips between regions.
pub(crate) const FIRST_REQUEST_TIME: Duration = Duration::from_millis(400);
/// How often a leaving daemon checks whether callers are still connected.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The number of checks in a row that must find no connection.
const MIN_IDLE_CHECKS: u32 = 2;
/// The time within which connections end once their responses are cut.
const CUT_TIMEOUT: Duration = Duration::from_millis(50);
/// The time for requests to the directory, readiness and metrics once their listeners close.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(150);
/// The delay of a timer beyond which the host was late to run.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(10);

/// When a daemon that leaves takes its steps.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// When all responses of the directory that list the daemon have expired.
    pub announced: Instant,
    /// When responses that are not complete are cut.
    pub end: Instant,
    /// When the daemon waits for nothing any more.
    pub exit: Instant,
}

impl Plan {
    /// The plan of a daemon whose process must have ended `grace` after `begun`.
    pub fn new(begun: Instant, grace: Duration, directory_ttl: Duration) -> Self {
        Self {
            announced: begun + directory_ttl * DIRECTORY_USE_FACTOR,
            end: begun + grace.saturating_sub(SHUTDOWN_MARGIN),
            exit: begun + grace.saturating_sub(EXIT_TIME),
        }
    }
}

/// The stop of a daemon, from SIGTERM to the end of its process.
#[derive(Debug, Default)]
pub struct Departure {
    /// Callers' connections. Their listener closes first.
    pub callers: Gate,
    /// Connections to the directory, readiness and metrics.
    pub local: Gate,
    /// Transfers of records to peers.
    pub transfers: Gate,
    plan: OnceLock<Plan>,
    idle_closing: CancellationToken,
    cutting: CancellationToken,
}

impl Departure {
    /// Begins the stop. Further calls have no effect.
    pub fn begin(&self, plan: Plan) {
        self.plan.get_or_init(|| plan);
    }

    /// Whether the daemon is about to stop.
    pub fn has_begun(&self) -> bool {
        self.plan.get().is_some()
    }

    /// When responses that are not complete are cut, if the daemon is about to stop.
    pub fn end(&self) -> Option<Instant> {
        self.plan.get().map(|plan| plan.end)
    }

    /// How far the stop has come, and for how long requests are still served. `None` while the daemon is
    /// not about to stop.
    pub fn stage(&self, now: Instant) -> Option<(Stage, Duration)> {
        let plan = self.plan.get()?;
        let stage = match () {
            () if self.cutting.is_cancelled() => Stage::Ending,
            () if now < plan.announced => Stage::Announcing,
            () => Stage::Announced,
        };
        Some((stage, plan.end.saturating_duration_since(now)))
    }

    /// Whether requests that are still served are cut, as the process ends.
    pub fn is_ending(&self) -> bool {
        self.cutting.is_cancelled() || self.end().is_some_and(|end| Instant::now() >= end)
    }

    /// Waits until idle connections of callers are to be closed.
    pub async fn idle_closing(&self) {
        self.idle_closing.cancelled().await;
    }

    /// Runs `serve` unless responses are cut before it ends. It is polled before the cut is seen, so that
    /// what had arrived at a host that was late to run is read.
    pub(crate) async fn run_until_cut<F: Future>(&self, serve: F) -> Option<F::Output> {
        self.cutting.run_until_cancelled(serve).await
    }

    /// Closes the listener of callers once they have moved to other hosts, or just before the end, and
    /// waits until what was taken is finished or the end has come.
    pub(crate) async fn drain_callers(&self) {
        let Some(&Plan { announced, end, exit }) = self.plan.get() else { return };
        let last_close = end.checked_sub(LAST_READ_TIME).unwrap_or(end);
        tokio::time::sleep_until((announced + MOVE_MARGIN).min(last_close).into()).await;
        // Idle connections are closed at once, connections in use after the current response.
        self.idle_closing.cancel();
        self.wait_until_idle(last_close).await;
        self.callers.close();
        // A host that was late to run still reads what it has accepted.
        let end = end.max(Instant::now() + LAST_READ_TIME);
        wait_until_ended(&self.callers, "callers", end, exit).await;
    }

    async fn wait_until_idle(&self, latest: Instant) {
        let mut idle_checks = 0;
        while idle_checks < MIN_IDLE_CHECKS && Instant::now() < latest {
            let check_at = latest.min(Instant::now() + DRAIN_CHECK_INTERVAL);
            tokio::time::sleep_until(check_at.into()).await;
            let is_idle = self.callers.connection_count() == 0;
            idle_checks = if is_idle { idle_checks + 1 } else { 0 };
        }
    }

    /// Cuts the responses that are not complete. From now on no request is taken.
    pub(crate) async fn cut(&self) {
        self.cutting.cancel();
        if timeout(CUT_TIMEOUT, self.callers.ended()).await.is_err() {
            tracing::warn!(event = "not_cut", connections = self.callers.connection_count());
        }
    }

    /// Closes the other listeners, and waits until requests to them are answered and transfers of records
    /// are finished, or the end has come.
    pub(crate) async fn drain_others(&self) {
        let Some(&Plan { end, exit, .. }) = self.plan.get() else { return };
        self.local.close();
        self.transfers.close();
        let local_end = Instant::now() + LOCAL_TIMEOUT;
        tokio::join!(
            wait_until_ended(&self.local, "local", local_end, exit),
            wait_until_ended(&self.transfers, "transfers", end, exit),
        );
    }
}

/// Waits until a gate has ended or `end` has come. A host that was late to run goes on for a moment, in which
/// the tasks of connections run, at most until `exit`.
async fn wait_until_ended(gate: &Gate, name: &'static str, end: Instant, exit: Instant) {
    let wait = async |until: Instant| timeout_at(until.into(), gate.ended()).await.is_ok();
    let end = end.min(exit);
    let mut has_ended = wait(end).await;
    let now = Instant::now();
    if !has_ended && now > end + MAX_TIMER_DELAY {
        has_ended = wait(exit.min(now + LAST_READ_TIME)).await;
    }
    if !has_ended {
        let connections = gate.connection_count();
        tracing::info!(event = "not_drained", gate = name, connections);
    }
}
