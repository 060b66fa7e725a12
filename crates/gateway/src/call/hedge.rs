//! Races a second backend server against one whose response is late.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyssop_policy::local::{
    decider::{End, Placement},
    hedge::Hedge,
};

use super::{Call, Error, Exchange, MAX_TRIES, ParsedHead, TryResult};
use crate::intake::elapsed_ms;

/// How often it is decided anew whether a late request is hedged.
const MAX_DECISIONS: usize = 3;
/// How long two model engines run the same request at most. Then the first one, which is the later
/// one by prediction, is given up: decoding twice costs more than a plain service's second run.
const MAX_RACE_TIME: Duration = Duration::from_millis(350);

/// An attempt whose response head has not come yet.
pub(super) struct Attempt {
    pub(super) exchange: Exchange,
    pub(super) placement: Placement,
    pub(super) sent: Instant,
}

/// What an attempt, or one of two, came to.
pub(super) type Outcome = (Exchange, Result<ParsedHead, Error>);

/// How a race ended.
enum Race {
    /// An attempt has a response that can be passed on, or the only result there will be.
    Ended(Outcome),
    /// One of the two attempts is left.
    Left(Attempt),
}

impl Call {
    /// Waits for the response head of an attempt. If it is late, a second backend server may be
    /// asked, and the first good response wins.
    pub(super) async fn wait_hedged(&mut self, mut attempt: Attempt, suspect: bool) -> Outcome {
        let mut delay = match self.may_hedge(suspect) {
            true => self.gateway.decider.lock().hedge_delay(&attempt.placement, &self.demand),
            false => None,
        };
        for _ in 0..MAX_DECISIONS {
            let Some(due) = delay.filter(|&delay| delay < attempt.placement.overdue_after) else {
                break;
            };
            let wait = (attempt.sent + due).saturating_duration_since(Instant::now());
            let wait = wait.min(self.time_left());
            let result = attempt.exchange.receive_head(&self.method, &self.meta.id, wait).await;
            if !matches!(result, Err(Error::Late(_))) {
                return (attempt.exchange, result);
            }
            let now = Instant::now();
            let waited = now.duration_since(attempt.sent);
            let first = &attempt.placement;
            let hedge = self.gateway.decider.lock().place_hedge(&self.demand, first, waited, now);
            match hedge {
                Hedge::Send(second) => {
                    match self.race(attempt, second).await {
                        Race::Ended(outcome) => return outcome,
                        Race::Left(left) => attempt = left,
                    }
                    break;
                }
                Hedge::Wait(until) => delay = Some(until),
                Hedge::No(reason) => {
                    tracing::info!(
                        event = "not_hedged", id = %self.meta.id, server = %first.server,
                        waited_ms = waited.as_millis() as u64, %reason
                    );
                    break;
                }
            }
        }
        let Attempt { mut exchange, placement, sent } = attempt;
        let result = self.wait_for_head(&mut exchange, placement.overdue_after, sent).await;
        (exchange, result)
    }

    /// Whether the request may run at a second backend server while a first one runs it.
    fn may_hedge(&self, suspect: bool) -> bool {
        let starts = self.last_event_id.is_none() && self.demand.build.is_none();
        self.route.retry_policy.allows_rerun()
            && starts
            && !suspect
            && self.runs + 2 <= self.route.max_attempts
            && self.tries - self.unreached < MAX_TRIES
    }

    /// Sends the request to a second backend server as well, and waits for the first good response.
    async fn race(&mut self, mut first: Attempt, placement: Placement) -> Race {
        let sent = Instant::now();
        let snapshot = self.gateway.cache.snapshot();
        let Some(server) = snapshot.servers.get(&placement.server).cloned() else {
            return Race::Left(first);
        };
        self.tries += 1;
        let send_id = self.gateway.decider.lock().record_hedge_sent(&placement, &self.demand, sent);
        tracing::info!(
            event = "hedged", id = %self.meta.id, route = %self.route.name, attempt = self.tries,
            first = %first.placement.server, server = %placement.server,
            first_predicted_ms = first.placement.predicted.as_millis() as u64,
            predicted_ms = placement.predicted.as_millis() as u64,
            waited_ms = elapsed_ms(first.sent)
        );
        let exchange = Exchange::new(Arc::clone(&self.gateway), server, send_id, None);
        let mut second = Attempt { exchange, placement, sent };
        let limit = match self.demand.prompt_tokens {
            0 => self.time_left(),
            _ => MAX_RACE_TIME.min(self.time_left()),
        };
        let source = second.placement.cache_source.as_ref();
        let source =
            source.and_then(|name| snapshot.servers.get(name)).map(|source| source.address);
        let head = self.request_head(&second.placement.server, source);
        let (method, id, body) = (&self.method, &self.meta.id, self.body.bytes());
        let exchange = &mut second.exchange;
        let run_second = async {
            exchange.connect(false).await?;
            exchange.send(head, body);
            exchange.receive_head(method, id, limit).await
        };
        tokio::select! {
            result = first.exchange.receive_head(method, id, limit) => {
                self.on_first(first, second, result).await
            }
            result = run_second => self.on_second(first, second, result).await,
        }
    }

    /// Handles a race in which the first backend server has a result, or the time is over.
    async fn on_first(
        &mut self,
        first: Attempt,
        second: Attempt,
        result: Result<ParsedHead, Error>,
    ) -> Race {
        match result {
            Ok(head) if is_good(&head) => {
                self.end_race(second, "first");
                Race::Ended((first.exchange, Ok(head)))
            }
            Err(Error::Late(_)) => {
                // The second backend server has begun later, and is expected to respond sooner.
                self.end_race(first, "late");
                Race::Left(second)
            }
            result => {
                let ended = self.on_head(first.exchange, result).await;
                Self::log_failed_attempt(&ended);
                Race::Left(second)
            }
        }
    }

    /// Handles a race in which the second backend server has a result, or the time is over.
    async fn on_second(
        &mut self,
        first: Attempt,
        mut second: Attempt,
        result: Result<ParsedHead, Error>,
    ) -> Race {
        match result {
            Ok(head) if is_good(&head) => {
                self.end_race(first, "second");
                Race::Ended((second.exchange, Ok(head)))
            }
            Err(Error::Late(_)) => {
                self.end_race(first, "late");
                Race::Left(second)
            }
            Err(error @ Error::Connect(_)) => {
                self.count_hedge("failed", &second);
                second.exchange.finish(error.end_before_send());
                self.demand.excluded.push(second.placement.server);
                Race::Left(first)
            }
            result => {
                self.count_hedge("failed", &second);
                let ended = self.on_head(second.exchange, result).await;
                Self::log_failed_attempt(&ended);
                Race::Left(first)
            }
        }
    }

    /// Cancels the loser of a race.
    fn end_race(&mut self, mut loser: Attempt, end: &'static str) {
        if !loser.exchange.is_unsent() {
            self.runs += 1;
            self.demand.record_run();
        }
        self.count_hedge(end, &loser);
        loser.exchange.finish(End::Cancelled);
    }

    fn count_hedge(&self, end: &'static str, loser: &Attempt) {
        tracing::info!(
            event = "hedge_ended", id = %self.meta.id, end, loser = %loser.placement.server,
            ran_ms = elapsed_ms(loser.sent)
        );
        self.gateway.metrics.count_hedge(end);
    }

    /// The result of a failed attempt is recorded already, and the other attempt goes on.
    fn log_failed_attempt(ended: &TryResult) {
        if let TryResult::Failed(failure) = ended {
            tracing::debug!(event = "hedge_attempt_failed", ?failure);
        }
    }
}

/// Whether a response is passed on at once, and not only if the other attempt fails.
fn is_good(parsed: &ParsedHead) -> bool {
    let status = parsed.head.status;
    let encoded = parsed.head.headers.contains_key(hyper::header::CONTENT_ENCODING);
    parsed.meta.signed && !parsed.meta.not_run && !encoded && !status.is_server_error()
}
