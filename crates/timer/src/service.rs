//! The timer service.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{sync::watch, task::JoinHandle, time::MissedTickBehavior};

use crate::clock::{Clock, System};

/// The default time between two ticks of the service.
const RESOLUTION: Duration = Duration::from_millis(20);
/// The default delay of a tick above which the process counts as having been stopped.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);

/// One tick of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// The time at which the service ticked.
    pub at: Instant,
    /// The time since the service's tick before, at the subscription's first tick zero.
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
        Self { clock: Arc::new(System), resolution: RESOLUTION, pause_threshold: PAUSE_THRESHOLD }
    }
}

impl Builder {
    /// Sets the clock that ticks are stamped with.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the time between two ticks, which bounds how exact subscriptions are.
    pub fn resolution(mut self, resolution: Duration) -> Self {
        self.resolution = resolution;
        self
    }

    /// Sets the delay of a tick above which the process counts as having been stopped.
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
        let task = tokio::spawn(run(Arc::clone(&state), self.resolution, sender));
        Arc::new(Service { state, ticks: receiver, task })
    }
}

/// The timer service. Dropping it ends all its subscriptions.
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
    /// The time of the last tick, in nanoseconds since the start.
    last_tick_ns: AtomicU64,
    /// The time of the last tick that came too late, or `u64::MAX` if there was none.
    last_pause_ns: AtomicU64,
    /// The number of ticks that came too late.
    pauses: AtomicU64,
}

impl Service {
    /// Settings of a new service.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// The clock.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.state.clock
    }

    /// The time now.
    pub fn now(&self) -> Instant {
        self.state.clock.now()
    }

    /// Subscribes to a tick each `period`, rounded up to the service's resolution.
    pub fn subscribe(&self, period: Duration) -> Ticks {
        let mut ticks = self.ticks.clone();
        let last = ticks.borrow_and_update().at;
        Ticks { ticks, period, last, due: last + period }
    }

    /// Whether the process was stopped within the last `window`, or is just waking up.
    ///
    /// The second case is seen here before the service's own task has run: the last tick is too old.
    pub fn paused_within(&self, window: Duration) -> bool {
        let now = self.since_start();
        let last_tick = Duration::from_nanos(self.state.last_tick_ns.load(Ordering::Acquire));
        if now.saturating_sub(last_tick) > self.state.pause_threshold {
            return true;
        }
        let last_pause = self.state.last_pause_ns.load(Ordering::Acquire);
        last_pause != u64::MAX && now.saturating_sub(Duration::from_nanos(last_pause)) <= window
    }

    /// The number of times that the process was seen to have been stopped.
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

async fn run(state: Arc<State>, resolution: Duration, sender: watch::Sender<Tick>) {
    let mut interval = tokio::time::interval(resolution);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = state.started;
    loop {
        interval.tick().await;
        let at = state.clock.now();
        let gap = at.saturating_duration_since(last);
        last = at;
        state.note(at, gap);
        sender.send_replace(Tick { at, gap });
    }
}

impl State {
    fn note(&self, at: Instant, gap: Duration) {
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
    due: Instant,
}

impl Ticks {
    /// Waits for the next tick. Returns `None` when the service has ended.
    ///
    /// A subscriber that was late gets one tick for all those it missed. Cancel safe.
    pub async fn next(&mut self) -> Option<Tick> {
        loop {
            self.ticks.changed().await.ok()?;
            let at = self.ticks.borrow_and_update().at;
            if at >= self.due {
                return Some(self.take(at));
            }
        }
    }

    fn take(&mut self, at: Instant) -> Tick {
        let gap = at.saturating_duration_since(self.last);
        self.last = at;
        self.due += self.period;
        if self.due <= at {
            self.due = at + self.period;
        }
        Tick { at, gap }
    }
}
