//! Stops the daemon gracefully, and detects that the process was suspended.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};

use crate::{departure::Plan, gateway::Gateway};

/// How often the clocks are compared.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The delay of a clock check that counts as a suspension. What a host knows is older by as much, on top
/// of up to 1.2 s until it notices that a watcher is silent: together no more than the 2 s in which
/// configurations and departures must be in force. A busy machine stays below it.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(800);

/// Waits until callers have moved to other hosts and their requests are finished, and then closes the
/// other listeners. What is left shortly before the end of `grace` from `begun` is cut, with a log line.
pub async fn leave(gateway: &Gateway, begun: Instant, grace: Duration) {
    let Gateway { departure, metrics, settings, .. } = gateway;
    tracing::info!(event = "leaving", running = metrics.running.get());
    departure.begin(Plan::new(begun, grace, settings.directory_ttl));
    departure.drain_callers().await;
    tracing::info!(
        event = "stop", host = %settings.host, cut = metrics.running.get(),
        connections = departure.callers.connection_count(),
        after_ms = begun.elapsed().as_millis() as u64
    );
    departure.cut().await;
    departure.drain_others().await;
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
