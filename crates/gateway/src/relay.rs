//! Relays response bodies from backend servers to callers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyssop_backend::evidence::SURVIVAL_TIME;
use hyssop_policy::local::decider::End;
use tokio::time::timeout;

use crate::{
    body::{Aborted, Chunks},
    call::{Call, Error, Exchange, Failure},
    events::EventFilter,
    http::{
        framing::{Delimiter, Framing, Step},
        head::Head,
    },
    intake::elapsed_ms,
};

/// A stream is resumed at another backend server after a pause of this many times the route's
/// maximum gap between events.
const RESUME_GAP_FACTOR: u32 = 4;
/// The pause after which a stream is resumed on routes without a maximum gap.
const DEFAULT_RESUME_GAP: Duration = Duration::from_secs(2);

/// How long a body whose data keeps arriving goes on after the deadline of its request.
const LATE_DATA_GRACE: Duration = Duration::from_millis(200);

/// Passes a body on to the caller. After a failure, resumes a stream at another backend server if
/// the route allows that.
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
        let mut relay = Self {
            framing: head.framing,
            delimiter: head.framing.delimiter(),
            status: head.status.as_u16(),
            call,
            exchange,
            event_filter,
            resumable,
            first_event_at: None,
            survived: false,
            chunks: 0,
            bytes: 0,
            done: false,
        };
        relay.finish_at_end();
        relay
    }

    async fn read(&mut self) -> Result<Step, Error> {
        let resume_timeout = if self.resumable && self.call.may_rerun() {
            let max_gap = self.call.route.max_event_gap;
            max_gap.map_or(DEFAULT_RESUME_GAP, |gap| gap * RESUME_GAP_FACTOR)
        } else {
            Duration::MAX
        };
        loop {
            let now = Instant::now();
            // A timeout does not end a read whose data has arrived already.
            if now > self.call.deadline + LATE_DATA_GRACE {
                return Err(Error::Late(now.duration_since(self.call.deadline)));
            }
            let left = self.call.deadline.saturating_duration_since(now);
            let limit = left.min(resume_timeout);
            let read = self.exchange.read_body(&mut self.framing);
            match timeout(limit, read).await {
                Ok(result) => return result,
                // A stream that pauses is not given up unless another backend server continues it.
                Err(_) if limit < left && !self.call.has_alternative(&self.exchange) => {}
                Err(_) => return Err(Error::Late(limit)),
            }
        }
    }

    /// Returns the bytes to pass on, if any, and counts them.
    fn filter(&mut self, data: Bytes) -> Result<Option<Bytes>, Error> {
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
        let data = match &mut self.event_filter {
            Some(event_filter) => event_filter.push(&data)?,
            None => data,
        };
        if data.is_empty() {
            return Ok(None);
        }
        if self.chunks == 0 && self.event_filter.is_some() {
            self.call.begin_stream(&self.exchange.server);
        }
        self.chunks += 1;
        self.bytes += data.len() as u64;
        Ok(Some(data))
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
        self.exchange = exchange;
        self.survived = false;
        self.framing = head.framing;
        self.delimiter = head.framing.delimiter();
        Ok(())
    }
}

impl Chunks for Relay {
    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        loop {
            if self.done {
                return None;
            }
            let error = match self.read().await {
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
            let is_ending = self.call.gateway.is_ending();
            self.record_end(if is_ending { "cut" } else { "caller_left" });
        }
    }
}
