//! Two attempts of one call that run at the same time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyssop_policy::local::decider::{End, Placement};

use super::{Call, Error, Exchange, ParsedHead, TryResult};
use crate::intake::elapsed_ms;

/// An attempt whose response head has not come yet.
pub(super) struct Attempt {
    pub(super) exchange: Exchange,
    pub(super) placement: Placement,
    pub(super) sent: Instant,
}

/// What an attempt, or one of two, came to.
pub(super) type Outcome = (Exchange, Result<ParsedHead, Error>);

/// How a race for the response head ended.
pub(super) enum Race {
    /// An attempt has a response that can be passed on, or the only result there will be.
    Ended(Outcome),
    /// One of the two attempts is left.
    Left(Attempt),
}

/// Why a second backend server gets a request that a first one has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cause {
    /// The response is late, and settings allow second runs.
    Hedge,
    /// The response is overdue, or the stream has paused for too long, so that the first backend
    /// server is no longer expected to go on.
    Takeover,
}

impl Call {
    /// Registers an attempt at a second backend server, unless that one is gone.
    pub(super) fn begin_second(
        &mut self,
        placement: Placement,
        cause: Cause,
        suspect: bool,
    ) -> Option<Attempt> {
        let sent = Instant::now();
        let server = self.gateway.cache.snapshot().servers.get(&placement.server).cloned()?;
        self.tries += 1;
        let mut decider = self.gateway.decider.lock();
        let send_id = match cause {
            Cause::Hedge => decider.record_hedge_sent(&placement, &self.demand, sent),
            Cause::Takeover => {
                let mut repeat = self.demand.clone();
                repeat.record_run();
                decider.record_sent(&placement, &repeat, sent)
            }
        };
        let repeats_left = decider.repeats_left(&self.demand.pool, sent);
        drop(decider);
        self.gateway.metrics.count_repeat("sent");
        tracing::info!(
            event = "sent_beside", id = %self.meta.id, server = %placement.server,
            attempt = self.tries, ?cause, repeats_left
        );
        let suspect = suspect.then_some(self.fingerprint);
        let exchange = Exchange::new(Arc::clone(&self.gateway), server, send_id, suspect);
        Some(Attempt { exchange, placement, sent })
    }

    /// Sends the request at a second backend server and waits for the response head.
    pub(super) async fn run_second(
        &self,
        second: &mut Attempt,
        limit: Duration,
    ) -> Result<ParsedHead, Error> {
        let snapshot = self.gateway.cache.snapshot();
        let source = second.placement.cache_source.as_ref();
        let source =
            source.and_then(|name| snapshot.servers.get(name)).map(|source| source.address);
        let head = self.request_head(&second.placement.server, source);
        second.exchange.connect(false).await?;
        second.exchange.send(head, self.body.bytes());
        second.exchange.receive_head(&self.method, &self.meta.id, limit).await
    }

    /// Cancels an attempt that lost a race.
    pub(super) fn cancel(&mut self, mut loser: Attempt, cause: Cause, end: &'static str) {
        if !loser.exchange.is_unsent() {
            self.runs += 1;
            self.demand.record_run();
        }
        self.count_race(cause, end, &loser.exchange, loser.sent);
        loser.exchange.finish(End::Cancelled);
    }

    /// Records that a second attempt failed or was rejected, so that the first one goes on alone.
    pub(super) async fn on_second_failed(
        &mut self,
        second: Attempt,
        cause: Cause,
        result: Result<ParsedHead, Error>,
    ) {
        self.count_race(cause, "failed", &second.exchange, second.sent);
        let ended = match result {
            Err(error @ Error::Connect(_)) => {
                let end = error.end_before_send();
                self.on_not_run(second.exchange, &error, end).await
            }
            result => self.on_head(second.exchange, result).await,
        };
        Self::log_failed_attempt(&ended);
    }

    /// Logs and counts the end of a race by how it ended and who is left.
    pub(super) fn count_race(
        &self,
        cause: Cause,
        end: &'static str,
        loser: &Exchange,
        sent: Instant,
    ) {
        let (id, loser, ran_ms) = (&self.meta.id, &loser.server.name, elapsed_ms(sent));
        match cause {
            Cause::Hedge => {
                tracing::info!(event = "hedge_ended", %id, end, %loser, ran_ms);
                self.gateway.metrics.count_hedge(end);
            }
            Cause::Takeover => {
                tracing::info!(
                    event = "takeover_ended", %id, end, %loser, ran_ms, runs = self.runs
                );
                self.gateway.metrics.count_takeover(end);
            }
        }
    }

    /// The result of a failed attempt is recorded already, and the other attempt goes on.
    pub(super) fn log_failed_attempt(ended: &TryResult) {
        if let TryResult::Failed(failure) = ended {
            tracing::debug!(event = "second_attempt_failed", ?failure);
        }
    }
}

/// Whether a response is passed on at once, and not only if the other attempt fails.
pub(super) fn is_good(parsed: &ParsedHead) -> bool {
    let status = parsed.head.status;
    let encoded = parsed.head.headers.contains_key(hyper::header::CONTENT_ENCODING);
    parsed.meta.signed && !parsed.meta.not_run && !encoded && !status.is_server_error()
}
