//! Late requests and silent streams that move to another backend server.
//!
//! For backend servers that died without a sign, among others that are only slow or have preempted a
//! request. A request can't return to a server that was left, so the first one keeps it until a second
//! one has responded, and goes on with it if it is sooner or all others reject the request.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyssop_backend::blame::Status;
use hyssop_policy::local::decider::{Decision, Placement};

use super::{
    Call, Error, Exchange, MAX_TRIES, ParsedHead,
    race::{Attempt, Cause, Outcome, Race, is_good},
};
use crate::{
    events::EventFilter,
    http::framing::{Framing, Step},
};

/// A request is offered to a second backend server when its response head is overdue and the first
/// one has sent this daemon nothing meanwhile. If the first one responds to other requests, it is
/// offered after this multiple of that time, since it has to start over in another queue.
const ACTIVE_OVERDUE_FACTOR: u32 = 2;
/// The factor by which the time until the next offers grows.
const PAUSE_FACTOR: u32 = 2;

/// What came of the offer of a silent stream to other backend servers.
pub(crate) enum Takeover {
    /// The first backend server has sent something, or its connection has ended.
    First(Result<Step, Error>),
    /// A second one goes on with the stream, and the first one is left.
    Second(Box<Continuation>),
    /// No other backend server goes on with it now.
    Nobody,
}

/// A stream that goes on at a second backend server.
pub(crate) struct Continuation {
    pub(crate) exchange: Exchange,
    pub(crate) framing: Framing,
    /// The filter that has passed `events` on.
    pub(crate) event_filter: EventFilter,
    /// The first events, empty if the stream ends without any.
    pub(crate) events: Bytes,
}

/// The part of a second response that shows that it continues the stream.
struct Beginning {
    framing: Framing,
    event_filter: EventFilter,
    events: Bytes,
}

/// How a second attempt at a stream ended.
enum End {
    /// The first backend server has sent something.
    First(Result<Step, Error>),
    /// The second one has a result, and perhaps the connection to the first one has failed.
    Second(Result<Result<Beginning, ParsedHead>, Error>, Option<Error>),
}

impl Call {
    /// Waits for the response head of an attempt. While it is overdue, the request is offered to other
    /// backend servers.
    pub(super) async fn wait_for_head(&mut self, mut attempt: Attempt, suspect: bool) -> Outcome {
        let mut factor = 1;
        while self.may_be_taken_over(1) {
            let due = attempt.sent + attempt.placement.overdue_after * factor;
            let wait = due.saturating_duration_since(Instant::now()).min(self.time_left());
            let result = attempt.exchange.receive_head(&self.method, &self.meta.id, wait).await;
            if !matches!(result, Err(Error::Late(_))) || self.time_left().is_zero() {
                return (attempt.exchange, result);
            }
            let is_plain_service = self.demand.prompt_tokens == 0;
            let is_due = is_plain_service
                || factor >= ACTIVE_OVERDUE_FACTOR
                || !attempt.exchange.server_active_since(attempt.sent);
            factor *= PAUSE_FACTOR;
            if !is_due {
                continue;
            }
            let (excluded, runs) = (self.demand.excluded.len(), self.runs);
            while let Some(placement) = self.place_successor(&attempt.exchange, 1, suspect) {
                let sent = attempt.sent;
                match self.race(attempt, placement, Cause::Takeover, suspect).await {
                    Race::Ended(outcome) => return outcome,
                    Race::Left(left) => attempt = left,
                }
                if attempt.sent != sent {
                    factor = 1;
                    break;
                }
            }
            self.forget_rejections(excluded, runs);
        }
        let limit = self.time_left();
        let result = attempt.exchange.receive_head(&self.method, &self.meta.id, limit).await;
        (attempt.exchange, result)
    }

    /// Offers a stream to other backend servers, one after the other, while `first` keeps it. Whichever
    /// sends the next events goes on with it.
    pub(crate) async fn take_over(
        &mut self,
        first: &mut Exchange,
        framing: &mut Framing,
        event_filter: &EventFilter,
        silent_for: Duration,
    ) -> Takeover {
        let Some(status) = self.blame_status(Instant::now()) else { return Takeover::Nobody };
        let suspect = status == Status::Suspect;
        self.last_event_id = event_filter.last_event_id;
        let (excluded, runs) = (self.demand.excluded.len(), self.runs);
        while let Some(placement) = self.place_successor(first, 0, suspect) {
            let limit = self.successor_limit(&placement, 0);
            let Some(mut second) = self.begin_second(placement, Cause::Takeover, suspect) else {
                break;
            };
            tracing::info!(
                event = "takeover", id = %self.meta.id, route = %self.route.name,
                attempt = self.tries, first = %first.server.name, server = %second.placement.server,
                predicted_ms = second.placement.predicted.as_millis() as u64,
                waited_ms = silent_for.as_millis() as u64, last_event = self.last_event_id
            );
            let end = self.race_stream(first, framing, event_filter, &mut second, limit).await;
            let (result, broken) = match end {
                End::First(step) => {
                    self.cancel(second, Cause::Takeover, "first");
                    return Takeover::First(step);
                }
                End::Second(result, broken) => (result, broken),
            };
            match result {
                Ok(Ok(beginning)) => {
                    self.runs += 1;
                    let error = broken.unwrap_or(Error::Late(silent_for));
                    self.record_failure(first, &error);
                    self.count_race(Cause::Takeover, "second", first, second.sent);
                    let Beginning { framing, event_filter, events } = beginning;
                    return Takeover::Second(Box::new(Continuation {
                        exchange: second.exchange,
                        framing,
                        event_filter,
                        events,
                    }));
                }
                Ok(Err(head)) if head.meta.not_run => {
                    self.on_second_failed(second, Cause::Takeover, Ok(head)).await;
                }
                Ok(Err(head)) => {
                    let error = Error::Status(head.head.status);
                    self.on_second_failed(second, Cause::Takeover, Err(error)).await;
                }
                Err(error) => {
                    self.on_second_failed(second, Cause::Takeover, Err(error)).await;
                }
            }
            if let Some(error) = broken {
                return Takeover::First(Err(error));
            }
        }
        self.forget_rejections(excluded, runs);
        Takeover::Nobody
    }

    /// Runs a second attempt at a stream until one of the two backend servers goes on with it. If the
    /// connection to the first one fails, the second attempt decides.
    async fn race_stream(
        &self,
        first: &mut Exchange,
        framing: &mut Framing,
        event_filter: &EventFilter,
        second: &mut Attempt,
        limit: Duration,
    ) -> End {
        let run_second = self.run_second_stream(second, event_filter.last_event_id, limit);
        tokio::pin!(run_second);
        tokio::select! {
            biased;
            step = first.read_body(framing) => {
                let error = match step {
                    Ok(Step::End) if event_filter.is_inside_event() => Error::Closed,
                    Ok(step) => return End::First(Ok(step)),
                    Err(error) => error,
                };
                End::Second(run_second.await, Some(error))
            }
            result = &mut run_second => End::Second(result, None),
        }
    }

    /// Sends the request at a second backend server and waits for the first events after
    /// `last_event_id`. Returns the head if the response does not continue the stream.
    async fn run_second_stream(
        &self,
        second: &mut Attempt,
        last_event_id: Option<u64>,
        limit: Duration,
    ) -> Result<Result<Beginning, ParsedHead>, Error> {
        let begun = Instant::now();
        let parsed = self.run_second(second, limit).await?;
        if !is_good(&parsed) || !parsed.head.status.is_success() {
            return Ok(Err(parsed));
        }
        let mut framing = parsed.head.framing;
        let mut event_filter = EventFilter::after(last_event_id);
        let first_events = async {
            loop {
                match second.exchange.read_body(&mut framing).await? {
                    Step::Data(data) => {
                        let events = event_filter.push(&data)?;
                        if !events.is_empty() {
                            return Ok(events);
                        }
                    }
                    Step::End if event_filter.is_inside_event() => return Err(Error::Closed),
                    Step::End | Step::More => return Ok(Bytes::new()),
                }
            }
        };
        let left = limit.saturating_sub(begun.elapsed());
        let events = tokio::time::timeout(left, first_events).await;
        let events = events.unwrap_or(Err(Error::Late(limit)))?;
        Ok(Ok(Beginning { framing, event_filter, events }))
    }

    /// Chooses another backend server than `first`, if one may get the request now. `pending` is the
    /// number of attempts under way that don't count as runs yet.
    fn place_successor(&self, first: &Exchange, pending: u32, suspect: bool) -> Option<Placement> {
        if !self.may_be_taken_over(pending) {
            return None;
        }
        let mut demand = self.demand.clone();
        demand.excluded.push(first.server.name.clone());
        demand.record_run();
        match self.choose_server(&demand, suspect, Instant::now()) {
            Decision::Send(placement) => Some(placement),
            Decision::Refuse { reason, .. } => {
                self.note_repeat_refusal(reason, Instant::now());
                tracing::info!(
                    event = "not_taken_over", id = %self.meta.id, first = %first.server.name, %reason
                );
                None
            }
        }
    }

    /// Whether the request may run at one more backend server beside those that have it. The last try
    /// is kept for a connection that fails.
    fn may_be_taken_over(&self, pending: u32) -> bool {
        self.may_rerun()
            && self.runs + pending < self.route.max_attempts
            && self.tries - self.unreached + 1 < MAX_TRIES
    }

    /// Whether the stream may go on at another backend server while the present one keeps it.
    pub(crate) fn stream_may_be_taken_over(&self) -> bool {
        self.may_be_taken_over(0)
    }

    /// How long a second backend server has for its first events. It is left sooner than at the
    /// deadline only if a third one may get the request.
    pub(super) fn successor_limit(&self, placement: &Placement, pending: u32) -> Duration {
        let left = self.time_left();
        match self.runs + pending + 1 < self.route.max_attempts {
            true => left.min(placement.overdue_after * ACTIVE_OVERDUE_FACTOR),
            false => left,
        }
    }

    /// Allows backend servers that only rejected the request to get it again.
    fn forget_rejections(&mut self, excluded: usize, runs: u32) {
        if self.runs == runs {
            self.demand.excluded.truncate(excluded);
        }
    }
}
