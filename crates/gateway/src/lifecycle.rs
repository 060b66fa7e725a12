//! Stops the daemon gracefully, and detects that the process was suspended.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};

use crate::gateway::{Departure, Gateway};

/// Callers use a response of the directory for at most this many times its TTL.
const DIRECTORY_USE_FACTOR: u32 = 3;
/// How long after these responses have expired a leaving daemon keeps idle connections open.
const MOVE_MARGIN: Duration = Duration::from_secs(1);
/// The time at the end of the grace time that is reserved for an orderly exit.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);
/// How often a leaving daemon checks whether callers are still connected.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The number of checks in a row that must find no connection.
const MIN_IDLE_CHECKS: u32 = 2;
/// The delay of a check up to which it counts. A host that has used its CPU quota stalls until the next
/// period of 100 ms (the default of the Linux scheduler).
const MAX_CHECK_DELAY: Duration = Duration::from_millis(100);
/// How much later than planned a daemon ends that is always late to run.
const MAX_OVERRUN: Duration = Duration::from_millis(200);
/// How long connections have to end once their responses are cut.
const CUT_TIME: Duration = Duration::from_millis(20);
/// How often the clocks are compared.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The delay of a clock check that counts as a suspension. What a host knows is older by as much, on top
/// of up to 1.2 s until it notices that a watcher is silent: together no more than the 2 s in which
/// configurations and departures must be in force. A busy machine stays below it.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(800);

/// Waits until callers have moved to other hosts and their requests are finished, for at most
/// `grace` from `begun`.
pub async fn leave(gateway: &Gateway, begun: Instant, grace: Duration) {
    tracing::info!(event = "leaving", running = gateway.metrics.running.get());
    let end = begun + grace.saturating_sub(SHUTDOWN_MARGIN);
    let announced = begun + gateway.settings.directory_ttl * DIRECTORY_USE_FACTOR;
    gateway.leave(Departure { announced, end });
    tokio::time::sleep_until((announced + MOVE_MARGIN).min(end).into()).await;
    // Idle connections are closed at once, connections in use after the current response.
    gateway.closing.cancel();
    let mut idle_checks = 0;
    loop {
        let due = Instant::now() + DRAIN_CHECK_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        let now = Instant::now();
        // After a delay this task may run before those that read the sockets.
        let is_late = now >= due + MAX_CHECK_DELAY;
        let is_idle = !is_late && gateway.metrics.connections.get() == 0;
        idle_checks = if is_idle { idle_checks + 1 } else { 0 };
        let is_over = now >= if is_late { end + MAX_OVERRUN } else { end };
        if is_over || idle_checks >= MIN_IDLE_CHECKS {
            break;
        }
    }
    tracing::info!(
        event = "stop", host = %gateway.settings.host, cut = gateway.metrics.running.get(),
        connections = gateway.metrics.connections.get()
    );
    gateway.cutting.cancel();
    // The tasks of connections run meanwhile.
    tokio::time::sleep(CUT_TIME).await;
}

/// Marks the cache as out of date when the process was suspended, until the state is read again.
/// Uses the boot clock, as the monotonic clock stops while the host is suspended.
pub async fn watch_clock(gateway: Arc<Gateway>) {
    let mut before = clocks();
    loop {
        tokio::time::sleep(CLOCK_CHECK_INTERVAL).await;
        let now = clocks();
        let gap = now.boot.saturating_sub(before.boot);
        if gap > CLOCK_CHECK_INTERVAL + SUSPENSION_THRESHOLD {
            let steady_ms = now.monotonic.saturating_sub(before.monotonic).as_millis() as u64;
            tracing::warn!(event = "suspended", gap_ms = gap.as_millis() as u64, steady_ms);
            gateway.cache.set_suspended(true);
        }
        before = now;
    }
}

struct Clocks {
    boot: Duration,
    monotonic: Duration,
}

fn clocks() -> Clocks {
    // Both clocks count from a point in the past, so their values are not negative.
    let read = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    Clocks { boot: read(ClockId::Boottime), monotonic: read(ClockId::Monotonic) }
}
