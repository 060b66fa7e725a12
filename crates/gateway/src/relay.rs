//! Relays response bodies from backend servers to callers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyssop_backend::evidence::SURVIVAL_TIME;
use hyssop_policy::local::decider::End;
use tokio::time::timeout;

use crate::{
    body::{Aborted, Chunks},
    call::{Call, Continuation, Error, Exchange, Failure, Takeover},
    events::EventFilter,
    http::{
        framing::{Delimiter, Framing, Step},
        head::Head,
    },
    intake::elapsed_ms,
};

/// A stream is offered to another backend server after a pause of this many times the route's maximum
/// gap between events.
const TAKEOVER_GAP_FACTOR: u32 = 4;
/// The pause after which a stream is offered on routes without a maximum gap.
const DEFAULT_TAKEOVER_PAUSE: Duration = Duration::from_secs(2);
/// The factor by which that pause grows when no other backend server goes on with the stream.
const PAUSE_FACTOR: u32 = 2;

/// How long a body whose data keeps arriving goes on after the deadline of its request.
const LATE_DATA_GRACE: Duration = Duration::from_millis(200);

/// The next part of a body.
enum Part {
    /// Read from the present backend server.
    Read(Step),
    /// The stream goes on at another backend server.
    Moved(Box<Continuation>),
}

/// Passes a body on to the caller. After a failure or a long pause, resumes a stream at another backend
/// server if the route allows that.
pub struct Relay {
    call: Call,
    exchange: Exchange,
    framing: Framing,
    delimiter: Delimiter,
    status: u16,
    /// Present for streams.
    event_filter: Option<EventFilter>,
    /// Whether the body is a stream that may be resumed.
    resumable: bool,
    /// The pause after which the stream is offered to another backend server.
    takeover_pause: Duration,
    first_event_at: Option<Instant>,
    /// Whether the present run lasted long enough not to be the cause of a crash.
    survived: bool,
    chunks: u32,
    bytes: u64,
    done: bool,
}

impl Relay {
    /// Creates a relay for the body after `head`. `streams` states that it is an event stream.
    pub fn new(call: Call, exchange: Exchange, head: &Head, streams: bool) -> Self {
        let resumable = streams && call.route.retry_policy.allows_rerun();
        let event_filter = streams.then(|| match resumable {
            true => EventFilter::after(call.last_event_id),
            false => EventFilter::default(),
        });
        let max_gap = call.route.max_event_gap;
        let takeover_pause =
            max_gap.map_or(DEFAULT_TAKEOVER_PAUSE, |gap| gap * TAKEOVER_GAP_FACTOR);
        let mut relay = Self {
            framing: head.framing,
            delimiter: head.framing.delimiter(),
            status: head.status.as_u16(),
            call,
            exchange,
            event_filter,
            resumable,
            takeover_pause,
            first_event_at: None,
            survived: false,
            chunks: 0,
            bytes: 0,
            done: false,
        };
        relay.finish_at_end();
        relay
    }

    async fn read(&mut self) -> Result<Part, Error> {
        let silent_since = Instant::now();
        loop {
            let now = Instant::now();
            // A timeout does not end a read whose data has arrived already.
            if now > self.call.deadline + LATE_DATA_GRACE {
                return Err(Error::Late(now.duration_since(self.call.deadline)));
            }
            let left = self.call.deadline.saturating_duration_since(now);
            let may_move = self.resumable && self.call.stream_may_be_taken_over();
            let limit = if may_move { left.min(self.takeover_pause) } else { left };
            let read = self.exchange.read_body(&mut self.framing);
            match timeout(limit, read).await {
                Ok(step) => return Ok(Part::Read(step?)),
                Err(_) if limit == left => return Err(Error::Late(silent_since.elapsed())),
                Err(_) => {}
            }
            let Some(event_filter) = &self.event_filter else { continue };
            let silent_for = silent_since.elapsed();
            let (exchange, framing) = (&mut self.exchange, &mut self.framing);
            match self.call.take_over(exchange, framing, event_filter, silent_for).await {
                Takeover::First(step) => return Ok(Part::Read(step?)),
                Takeover::Second(continuation) => return Ok(Part::Moved(continuation)),
                Takeover::Nobody => self.takeover_pause *= PAUSE_FACTOR,
            }
        }
    }

    /// Returns the bytes to pass on, if any, and counts them.
    fn filter(&mut self, data: Bytes) -> Result<Option<Bytes>, Error> {
        self.record_received();
        let data = match &mut self.event_filter {
            Some(event_filter) => event_filter.push(&data)?,
            None => data,
        };
        Ok(self.count(data))
    }

    /// Records that data has arrived from the backend server.
    fn record_received(&mut self) {
        self.exchange.record_first_event();
        if self.event_filter.is_some() {
            self.exchange.record_event();
        }
        if self.exchange.begun_for().is_some_and(|begun| begun >= SURVIVAL_TIME) {
            self.record_survival();
        }
        if self.first_event_at.is_none() {
            let now = Instant::now();
            self.first_event_at = Some(now);
            let after = now.duration_since(self.call.arrived);
            self.call.gateway.metrics.observe_first_event(&self.call.route.name, after);
        }
    }

    /// Counts bytes to pass on, if there are any.
    fn count(&mut self, data: Bytes) -> Option<Bytes> {
        if data.is_empty() {
            return None;
        }
        if self.chunks == 0 && self.event_filter.is_some() {
            self.call.begin_stream(&self.exchange.server);
        }
        self.chunks += 1;
        self.bytes += data.len() as u64;
        Some(data)
    }

    /// Goes on with what a second backend server sends, and returns its first events.
    fn follow(&mut self, continuation: Continuation) -> Bytes {
        let Continuation { exchange, framing, event_filter, events } = continuation;
        self.replace_exchange(exchange, framing);
        self.event_filter = Some(event_filter);
        if !events.is_empty() {
            self.record_received();
        }
        events
    }

    fn replace_exchange(&mut self, exchange: Exchange, framing: Framing) {
        self.exchange = exchange;
        self.survived = false;
        self.framing = framing;
        self.delimiter = framing.delimiter();
    }

    /// Finishes along with the last data, or at the beginning of an empty body, if the end has been
    /// received: `hyper` does not poll a body beyond the announced length, so the end would go
    /// unnoticed.
    fn finish_at_end(&mut self) {
        if self.partial_bytes() == 0 && self.exchange.take_end(&mut self.framing) {
            self.exchange.finish(End::Complete);
            self.record_end("");
        }
    }

    /// Whether what has been received ends inside an event of a stream.
    fn is_inside_event(&self) -> bool {
        self.event_filter.as_ref().is_some_and(EventFilter::is_inside_event)
    }

    /// The size of the incomplete event at the end of what has been received.
    fn partial_bytes(&self) -> usize {
        self.event_filter.as_ref().map_or(0, |event_filter| event_filter.partial().len())
    }

    fn record_survival(&mut self) {
        if !std::mem::replace(&mut self.survived, true) {
            self.call.record_survival();
        }
    }

    /// Logs and counts the end of the response. An empty `reason` means that it is complete.
    fn record_end(&mut self, reason: &str) {
        self.done = true;
        if reason.is_empty() && (200..300).contains(&self.status) {
            self.record_survival();
        }
        let call = &self.call;
        let first_ms =
            self.first_event_at.map(|first| first.duration_since(call.arrived).as_millis() as u64);
        tracing::info!(
            event = "answered", id = %call.meta.id, route = %call.route.name, status = self.status,
            reason, server = %self.exchange.server.name, first_ms,
            after_ms = elapsed_ms(call.arrived), parts = self.chunks, bytes = self.bytes,
            delimiter = %self.delimiter, partial_bytes = self.partial_bytes(),
            version = call.version
        );
        call.gateway.metrics.count_response(&call.route.name, self.status, reason);
        let duration = call.arrived.elapsed();
        call.gateway.metrics.observe_response_time(&call.route.name, duration);
        if reason.is_empty() {
            call.gateway.durations.lock().record(&call.route.name, duration);
        }
    }

    /// Resumes the stream at another backend server after the last complete event.
    async fn resume(&mut self, error: Error) -> Result<(), Failure> {
        let Some(event_filter) = self.event_filter.as_mut().filter(|_| self.resumable) else {
            self.call.record_failure(&mut self.exchange, &error);
            return Err(Failure::Broken(error));
        };
        event_filter.discard_partial();
        self.call.last_event_id = event_filter.last_event_id;
        let may_rerun = self.call.may_rerun();
        self.call.record_failure(&mut self.exchange, &error);
        if !may_rerun {
            return Err(Failure::Broken(error));
        }
        let (exchange, head) = self.call.open().await?;
        if head.status.as_u16() != self.status {
            return Err(Failure::Broken(Error::Status(head.status)));
        }
        self.replace_exchange(exchange, head.framing);
        Ok(())
    }
}

impl Chunks for Relay {
    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        loop {
            if self.done {
                return None;
            }
            let step = match self.read().await {
                Ok(Part::Moved(continuation)) => match self.follow(*continuation) {
                    events if events.is_empty() => Ok(Step::End),
                    events => {
                        let events = self.count(events);
                        self.finish_at_end();
                        return events.map(Ok);
                    }
                },
                Ok(Part::Read(step)) => Ok(step),
                Err(error) => Err(error),
            };
            let error = match step {
                Ok(Step::Data(data)) => match self.filter(data) {
                    Ok(Some(data)) => {
                        self.finish_at_end();
                        return Some(Ok(data));
                    }
                    Ok(None) => continue,
                    Err(error) => error,
                },
                // Whatever the framing says, a stream that ends inside an event is incomplete.
                Ok(Step::End) if !self.is_inside_event() => {
                    self.exchange.finish(End::Complete);
                    let rest = self.event_filter.as_mut().map(EventFilter::take_rest);
                    self.record_end("");
                    return rest.filter(|rest| !rest.is_empty()).map(Ok);
                }
                Ok(_) => Error::Closed,
                Err(error) => error,
            };
            if let Err(failure) = self.resume(error).await {
                tracing::info!(event = "broken_off", id = %self.call.meta.id, failure = ?failure);
                self.record_end("broken_off");
                // On an error `hyper` drops what it has not written, and it writes when it waits
                // for the body.
                tokio::task::yield_now().await;
                return Some(Err(Aborted));
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.done {
            let is_ending = self.call.gateway.departure.is_ending();
            self.record_end(if is_ending { "cut" } else { "caller_left" });
        }
    }
}
