//! The timer service and its subscriptions.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{sync::watch, task::JoinHandle, time::MissedTickBehavior};

use crate::clock::{Clock, SystemClock};

/// The default time between two ticks of the service.
const DEFAULT_RESOLUTION: Duration = Duration::from_millis(20);
/// The default gap between two ticks above which the process counts as suspended.
const DEFAULT_PAUSE_THRESHOLD: Duration = Duration::from_millis(250);

/// One tick of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// The time of the tick.
    pub at: Instant,
    /// The time since the subscription's previous tick. For its first tick, the time since the last
    /// tick of the service before the subscription.
    pub gap: Duration,
}

/// Settings of a timer service.
#[derive(Debug)]
pub struct Builder {
    clock: Arc<dyn Clock>,
    resolution: Duration,
    pause_threshold: Duration,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            clock: Arc::new(SystemClock),
            resolution: DEFAULT_RESOLUTION,
            pause_threshold: DEFAULT_PAUSE_THRESHOLD,
        }
    }
}

impl Builder {
    /// Sets the clock that gives the time of ticks.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the time between two ticks, which limits the precision of subscriptions.
    pub fn resolution(mut self, resolution: Duration) -> Self {
        self.resolution = resolution;
        self
    }

    /// Sets the gap between two ticks above which the process counts as suspended.
    pub fn pause_threshold(mut self, threshold: Duration) -> Self {
        self.pause_threshold = threshold;
        self
    }

    /// Starts the service on the current tokio runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(self) -> Arc<Service> {
        let started = self.clock.now();
        let (sender, receiver) = watch::channel(Tick { at: started, gap: Duration::ZERO });
        let state = Arc::new(State {
            clock: self.clock,
            started,
            pause_threshold: self.pause_threshold,
            last_tick_ns: AtomicU64::new(0),
            last_pause_ns: AtomicU64::new(u64::MAX),
            pauses: AtomicU64::new(0),
        });
        let task = tokio::spawn(run_ticks(Arc::clone(&state), self.resolution, sender));
        Arc::new(Service { state, ticks: receiver, task })
    }
}

/// The timer service. Dropping the service ends its subscriptions.
#[derive(Debug)]
pub struct Service {
    state: Arc<State>,
    ticks: watch::Receiver<Tick>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    clock: Arc<dyn Clock>,
    started: Instant,
    pause_threshold: Duration,
    /// The time of the last tick, in nanoseconds since `started`.
    last_tick_ns: AtomicU64,
    /// The time of the last tick after a pause, in nanoseconds since `started`; `u64::MAX` if
    /// there was none.
    last_pause_ns: AtomicU64,
    /// The number of pauses detected.
    pauses: AtomicU64,
}

impl Service {
    /// A builder with the default settings.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// The clock that gives the time of ticks.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.state.clock
    }

    /// The current time of the service's clock.
    pub fn now(&self) -> Instant {
        self.state.clock.now()
    }

    /// Subscribes to one tick per `period`, rounded up to the resolution of the service.
    pub fn subscribe(&self, period: Duration) -> Ticks {
        let mut ticks = self.ticks.clone();
        let last = ticks.borrow_and_update().at;
        Ticks { ticks, period, last, next_due: last + period }
    }

    /// Whether the process was suspended within the last `window`.
    ///
    /// A pause is also detected before the first tick after it, by the age of the last tick.
    pub fn paused_within(&self, window: Duration) -> bool {
        let now = self.since_start();
        let last_tick = Duration::from_nanos(self.state.last_tick_ns.load(Ordering::Acquire));
        if now.saturating_sub(last_tick) > self.state.pause_threshold {
            return true;
        }
        let last_pause = self.state.last_pause_ns.load(Ordering::Acquire);
        last_pause != u64::MAX && now.saturating_sub(Duration::from_nanos(last_pause)) <= window
    }

    /// The number of pauses of the process detected so far.
    pub fn pauses(&self) -> u64 {
        self.state.pauses.load(Ordering::Relaxed)
    }

    fn since_start(&self) -> Duration {
        self.now().saturating_duration_since(self.state.started)
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run_ticks(state: Arc<State>, resolution: Duration, sender: watch::Sender<Tick>) {
    let mut interval = tokio::time::interval(resolution);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = state.started;
    loop {
        interval.tick().await;
        let at = state.clock.now();
        let gap = at.saturating_duration_since(last);
        last = at;
        state.record_tick(at, gap);
        sender.send_replace(Tick { at, gap });
    }
}

impl State {
    fn record_tick(&self, at: Instant, gap: Duration) {
        let since_start = at.saturating_duration_since(self.started).as_nanos() as u64;
        if gap > self.pause_threshold {
            self.last_pause_ns.store(since_start, Ordering::Release);
            self.pauses.fetch_add(1, Ordering::Relaxed);
            log::warn!("process was stopped gap_ms={}", gap.as_millis());
        }
        self.last_tick_ns.store(since_start, Ordering::Release);
    }
}

/// A subscription to the timer service.
#[derive(Debug)]
pub struct Ticks {
    ticks: watch::Receiver<Tick>,
    period: Duration,
    last: Instant,
    next_due: Instant,
}

impl Ticks {
    /// Waits for the next tick. Returns `None` after the service has ended.
    ///
    /// A late subscriber gets a single tick for all missed periods. Cancel safe.
    pub async fn next(&mut self) -> Option<Tick> {
        loop {
            self.ticks.changed().await.ok()?;
            let at = self.ticks.borrow_and_update().at;
            if at >= self.next_due {
                return Some(self.advance(at));
            }
        }
    }

    fn advance(&mut self, at: Instant) -> Tick {
        let gap = at.saturating_duration_since(self.last);
        self.last = at;
        self.next_due += self.period;
        if self.next_due <= at {
            self.next_due = at + self.period;
        }
        Tick { at, gap }
    }
}
