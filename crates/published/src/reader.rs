//! The task that keeps one value of the platform up to date.

use std::{sync::Arc, time::Duration};

use tokio_util::sync::CancellationToken;

use crate::{
    Key,
    backoff::Backoff,
    client::{Client, Error, Index, Value},
};

/// How a daemon receives changes of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Mode {
    /// The daemon keeps a watch open and receives each change at once.
    #[display("watch")]
    Watch,
    /// The daemon reads the value at long intervals, and relies on its peers for changes.
    #[display("poll")]
    Poll,
}

/// Receives the values, and selects the mode.
pub trait Sink: Send + Sync + 'static {
    /// The current mode.
    fn mode(&self) -> Mode;

    /// Handles a value that was read. May be called many times with the same value.
    fn on_value(&self, key: Key, value: Value);

    /// Handles a failed read.
    fn on_failure(&self, key: Key, error: &Error);
}

/// A reader of one value, with its settings.
#[derive(Debug, Clone)]
pub struct Reader {
    client: Client,
    key: Key,
    watch_wait: Duration,
    poll_interval: Duration,
    seed: u64,
}

impl Reader {
    /// A reader with watches of 20 s and a poll interval of 60 s.
    pub fn new(client: Client, key: Key) -> Self {
        let watch_wait = Duration::from_secs(20);
        let poll_interval = Duration::from_secs(60);
        Self { client, key, watch_wait, poll_interval, seed: 0 }
    }

    /// Sets how long the platform may hold a watch before it responds.
    pub fn watch_wait(mut self, watch_wait: Duration) -> Self {
        self.watch_wait = watch_wait;
        self
    }

    /// Sets the mean time between two reads in [`Mode::Poll`].
    pub fn poll_interval(mut self, poll_interval: Duration) -> Self {
        self.poll_interval = poll_interval;
        self
    }

    /// Sets the seed of the jitter.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Reads the value again and again until `stop` is cancelled.
    pub async fn run(self, sink: Arc<dyn Sink>, stop: CancellationToken) {
        stop.run_until_cancelled(self.read_loop(sink)).await;
    }

    async fn read_loop(self, sink: Arc<dyn Sink>) {
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_LIMIT, self.seed);
        let mut seen = None;
        loop {
            match self.next(seen, sink.mode(), &mut backoff, &*sink).await {
                Ok(value) => {
                    backoff.reset();
                    seen = Some(value.index);
                    sink.on_value(self.key, value);
                }
                Err(error) => {
                    // A service that was restored from a backup may have a lower index, so the next
                    // read does not wait for an index higher than the one seen.
                    seen = None;
                    sink.on_failure(self.key, &error);
                    tokio::time::sleep(backoff.next_delay(min_delay(&error))).await;
                }
            }
        }
    }

    /// Reads at once if no index was seen, else as the mode requires.
    async fn next(
        &self,
        seen: Option<Index>,
        mode: Mode,
        backoff: &mut Backoff,
        sink: &dyn Sink,
    ) -> Result<Value, Error> {
        match (seen, mode) {
            (None, _) => self.client.read(self.key).await,
            (Some(Index::NONE), Mode::Watch) => {
                tokio::time::sleep(backoff.jitter(NO_INDEX_READ_INTERVAL)).await;
                self.client.read(self.key).await
            }
            (Some(seen), Mode::Watch) => {
                let value = self.client.watch(self.key, seen, self.watch_wait).await?;
                if value.index < seen {
                    return self.client.read(self.key).await;
                }
                Ok(value)
            }
            (Some(_), Mode::Poll) => {
                self.wait_to_poll(backoff.jitter(self.poll_interval), sink).await;
                self.client.read(self.key).await
            }
        }
    }

    /// Sleeps for `interval`, or until the mode changes to [`Mode::Watch`].
    async fn wait_to_poll(&self, interval: Duration, sink: &dyn Sink) {
        let end = tokio::time::Instant::now() + interval;
        while tokio::time::Instant::now() < end && sink.mode() == Mode::Poll {
            let left = end.saturating_duration_since(tokio::time::Instant::now());
            tokio::time::sleep(left.min(MODE_CHECK_INTERVAL)).await;
        }
    }
}

const BACKOFF_BASE: Duration = Duration::from_millis(100);
const BACKOFF_LIMIT: Duration = Duration::from_secs(5);
/// The mean time between two reads of a value without an index, which can't be watched.
const NO_INDEX_READ_INTERVAL: Duration = Duration::from_secs(2);
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

fn min_delay(error: &Error) -> Option<Duration> {
    match error {
        Error::RateLimited(delay) => *delay,
        _ => None,
    }
}
