//! The body of an answer on its way to the caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyssop_policy::local::decider::End;
use tokio::time::timeout;

use crate::{
    body::{Broken, Parts},
    call::{Call, Exchange, Failure, Fault},
    events::Splitter,
    http::{
        framing::{Framing, Step},
        head::Head,
    },
    intake::ms,
};

/// A resumable stream goes on elsewhere after a pause of this many times the longest that is in time.
const SILENT_FACTOR: u32 = 4;
/// The pause for routes that declare none.
const SILENT_DEFAULT: Duration = Duration::from_secs(2);

/// Passes a body on, and goes on elsewhere when it breaks and may be resumed.
pub struct Relay {
    call: Call,
    exchange: Exchange,
    framing: Framing,
    status: u16,
    splitter: Option<Splitter>,
    began: Option<Instant>,
    parts: u32,
    bytes: u64,
    done: bool,
}

impl Relay {
    /// Passes on the body after `head`. `streams` tells whether it is a stream of events.
    pub fn new(call: Call, exchange: Exchange, head: &Head, streams: bool) -> Self {
        let resumes = streams && call.route.retry_policy.allows_rerun();
        let splitter = resumes.then(|| Splitter::after(call.last_event));
        Self {
            framing: head.framing,
            status: head.status.as_u16(),
            call,
            exchange,
            splitter,
            began: None,
            parts: 0,
            bytes: 0,
            done: false,
        }
    }

    async fn step(&mut self) -> Result<Step, Fault> {
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        let silent = match (&self.splitter, self.call.may_rerun()) {
            (Some(_), true) => {
                self.call.route.max_event_gap.map_or(SILENT_DEFAULT, |gap| gap * SILENT_FACTOR)
            }
            _ => Duration::MAX,
        };
        let limit = left.min(silent);
        let step = self.exchange.step(&mut self.framing);
        timeout(limit, step).await.unwrap_or(Err(Fault::Late(limit)))
    }

    fn passed(&mut self, data: Bytes) -> Option<Bytes> {
        if self.began.is_none() {
            let now = Instant::now();
            self.began = Some(now);
            self.exchange.began();
            let after = now.duration_since(self.call.arrived);
            self.call.gateway.metrics.observe_first_event(&self.call.route.name, after);
        }
        let data = match &mut self.splitter {
            Some(splitter) => splitter.push(&data),
            None => data,
        };
        if data.is_empty() {
            return None;
        }
        self.parts += 1;
        self.bytes += data.len() as u64;
        Some(data)
    }

    /// Ends with the last data if the end is there: a server does not ask for more than the length
    /// that it has announced.
    fn finish_at_end(&mut self) {
        let whole_events = self.splitter.as_ref().is_none_or(|splitter| splitter.tail().is_empty());
        if whole_events && self.exchange.at_end(&mut self.framing) {
            self.exchange.finish(End::Complete);
            self.ended("");
        }
    }

    fn ended(&mut self, reason: &str) {
        self.done = true;
        let call = &self.call;
        let first_ms =
            self.began.map(|began| began.duration_since(call.arrived).as_millis() as u64);
        tracing::info!(
            event = "answered", id = %call.ask.id, route = %call.route.name, status = self.status,
            reason, server = %self.exchange.server.name, first_ms, after_ms = ms(call.arrived),
            parts = self.parts, bytes = self.bytes, version = call.version
        );
        call.gateway.metrics.count_response(&call.route.name, self.status, reason);
        call.gateway.metrics.observe_response_time(&call.route.name, call.arrived.elapsed());
    }

    /// Goes on at another backend server after the last whole event.
    async fn resume(&mut self, fault: Fault) -> Result<(), Failure> {
        let Some(splitter) = &mut self.splitter else {
            self.call.took_break(&mut self.exchange, &fault);
            return Err(Failure::Broken(fault));
        };
        splitter.restart();
        self.call.last_event = splitter.last;
        let may_rerun = self.call.may_rerun();
        self.call.took_break(&mut self.exchange, &fault);
        if !may_rerun {
            return Err(Failure::Broken(fault));
        }
        let (exchange, head) = self.call.open().await?;
        if head.status.as_u16() != self.status {
            return Err(Failure::Broken(Fault::Status(head.status)));
        }
        self.exchange = exchange;
        self.framing = head.framing;
        Ok(())
    }
}

impl Parts for Relay {
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            if self.done {
                return None;
            }
            let fault = match self.step().await {
                Ok(Step::Data(data)) => match self.passed(data) {
                    Some(data) => {
                        self.finish_at_end();
                        return Some(Ok(data));
                    }
                    None => continue,
                },
                Ok(Step::End) if self.splitter.as_ref().is_none_or(|s| s.tail().is_empty()) => {
                    self.exchange.finish(End::Complete);
                    self.ended("");
                    return None;
                }
                Ok(_) => Fault::Closed,
                Err(fault) => fault,
            };
            if let Err(failure) = self.resume(fault).await {
                tracing::info!(event = "broken_off", id = %self.call.ask.id, failure = ?failure);
                self.ended("broken_off");
                return Some(Err(Broken));
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.done {
            self.ended("caller_left");
        }
    }
}
