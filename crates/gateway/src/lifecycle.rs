//! How a daemon leaves, and how it finds out that it stood still.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};

use crate::gateway::Gateway;

/// How long a daemon that leaves takes what still arrives: callers keep an answer of the directory
/// for three times its time at most.
const CALLERS_MOVE: Duration = Duration::from_millis(4_000);
/// The time left before the end of the grace time, to end in order.
const END_MARGIN: Duration = Duration::from_millis(400);
/// How often a daemon that leaves looks whether it still serves somebody.
const LEAVE_PERIOD: Duration = Duration::from_millis(50);
/// How often the clocks are compared.
const CLOCK_PERIOD: Duration = Duration::from_millis(100);
/// A difference between expected and passed time that a calm host does not show.
const STOOD_STILL: Duration = Duration::from_millis(400);

/// Lets callers move to other hosts and finishes what they have sent, within `grace`.
pub async fn leave(gateway: &Gateway, grace: Duration) {
    let begun = Instant::now();
    tracing::info!(event = "leaving", running = gateway.metrics.running.get());
    gateway.leave();
    let end = begun + grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(CALLERS_MOVE.min(end - begun)).await;
    // Idle connections are closed now, those in use after their answers.
    gateway.closing.cancel();
    while Instant::now() < end && gateway.metrics.connections.get() > 0 {
        tokio::time::sleep(LEAVE_PERIOD).await;
    }
    tracing::info!(
        event = "stop", host = %gateway.settings.host, cut = gateway.metrics.running.get(),
        connections = gateway.metrics.connections.get()
    );
}

/// Finds out that the process stood still: what it believed is not trusted until it is read anew. The
/// steady clock does not count the time of a suspended host, the boot clock does.
pub async fn watch_clock(gateway: Arc<Gateway>) {
    let mut before = clocks();
    loop {
        tokio::time::sleep(CLOCK_PERIOD).await;
        let now = clocks();
        let gap = now.boot.saturating_sub(before.boot);
        if gap > CLOCK_PERIOD + STOOD_STILL {
            let steady_ms = now.steady.saturating_sub(before.steady).as_millis() as u64;
            tracing::warn!(event = "suspended", gap_ms = gap.as_millis() as u64, steady_ms);
            gateway.knowledge.suspend(true);
        }
        before = now;
    }
}

struct Clocks {
    boot: Duration,
    steady: Duration,
}

fn clocks() -> Clocks {
    // Both clocks count from a start in the past, so that they are never negative.
    let read = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    Clocks { boot: read(ClockId::Boottime), steady: read(ClockId::Monotonic) }
}
