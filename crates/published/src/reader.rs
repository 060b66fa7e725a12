//! The task that follows one value of the platform.

use std::{sync::Arc, time::Duration};

use tokio_util::sync::CancellationToken;

use crate::{
    Key,
    backoff::Backoff,
    client::{Client, Error, Index, Value},
};

/// How a daemon follows the platform at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Duty {
    /// The daemon keeps a watch open and learns of a change at once.
    #[display("watch")]
    Watch,
    /// The daemon reads rarely, and relies on its peers for changes.
    #[display("poll")]
    Poll,
}

/// Where the values go, and who decides on the duty.
pub trait Sink: Send + Sync + 'static {
    /// How this daemon follows the platform now.
    fn duty(&self) -> Duty;

    /// Takes a value that was read. The same value may come many times.
    fn value(&self, key: Key, value: Value);

    /// Takes the reason why a read failed.
    fn failed(&self, key: Key, error: &Error);
}

/// Settings of a reader.
#[derive(Debug, Clone)]
pub struct Builder {
    client: Client,
    key: Key,
    watch: Duration,
    poll: Duration,
    seed: u64,
}

impl Builder {
    /// Settings with a watch of 20 s and a poll each 60 s.
    pub fn new(client: Client, key: Key) -> Self {
        let watch = Duration::from_secs(20);
        let poll = Duration::from_secs(60);
        Self { client, key, watch, poll, seed: 0 }
    }

    /// Sets how long one watch waits.
    pub fn watch(mut self, watch: Duration) -> Self {
        self.watch = watch;
        self
    }

    /// Sets the mean time between two reads of a daemon that polls.
    pub fn poll(mut self, poll: Duration) -> Self {
        self.poll = poll;
        self
    }

    /// Sets the seed of the jitter.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Follows the value until `stop` is cancelled.
    pub async fn run(self, sink: Arc<dyn Sink>, stop: CancellationToken) {
        stop.run_until_cancelled(self.follow(sink)).await;
    }

    async fn follow(self, sink: Arc<dyn Sink>) {
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_LIMIT, self.seed);
        let mut seen = None;
        loop {
            match self.next(seen, sink.duty(), &mut backoff, &*sink).await {
                Ok(value) => {
                    backoff.success();
                    seen = Some(value.index);
                    sink.value(self.key, value);
                }
                Err(error) => {
                    // A server that was restored from an older copy may have a lower index. The next
                    // read takes the value as it is instead of waiting for the old index.
                    seen = None;
                    sink.failed(self.key, &error);
                    tokio::time::sleep(backoff.failure(at_least(&error))).await;
                }
            }
        }
    }

    /// Reads at once when nothing was seen, else as the duty says.
    async fn next(
        &self,
        seen: Option<Index>,
        duty: Duty,
        backoff: &mut Backoff,
        sink: &dyn Sink,
    ) -> Result<Value, Error> {
        match (seen, duty) {
            (None, _) => self.client.read(self.key).await,
            (Some(Index::NONE), Duty::Watch) => {
                tokio::time::sleep(backoff.spread(UNWATCHED)).await;
                self.client.read(self.key).await
            }
            (Some(seen), Duty::Watch) => {
                let value = self.client.watch(self.key, seen, self.watch).await?;
                if value.index < seen {
                    return self.client.read(self.key).await;
                }
                Ok(value)
            }
            (Some(_), Duty::Poll) => {
                self.idle(backoff.spread(self.poll), sink).await;
                self.client.read(self.key).await
            }
        }
    }

    /// Sleeps for `period`, but no longer than until the duty becomes a watch.
    async fn idle(&self, period: Duration, sink: &dyn Sink) {
        let end = tokio::time::Instant::now() + period;
        while tokio::time::Instant::now() < end && sink.duty() == Duty::Poll {
            let left = end.saturating_duration_since(tokio::time::Instant::now());
            tokio::time::sleep(left.min(DUTY_CHECK)).await;
        }
    }
}

const BACKOFF_BASE: Duration = Duration::from_millis(100);
const BACKOFF_LIMIT: Duration = Duration::from_secs(5);
/// The mean time between two reads of a value that cannot be watched.
const UNWATCHED: Duration = Duration::from_secs(2);
const DUTY_CHECK: Duration = Duration::from_millis(500);

fn at_least(error: &Error) -> Option<Duration> {
    match error {
        Error::Limited(wait) => *wait,
        _ => None,
    }
}
