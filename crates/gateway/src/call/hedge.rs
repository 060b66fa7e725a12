//! Races a second backend server against one whose response is late.

use std::time::Instant;

use hyssop_policy::local::{decider::Placement, hedge::Hedge};

use super::{
    Call, Error, MAX_TRIES, ParsedHead,
    race::{Attempt, Cause, Outcome, Race, is_good},
};
use crate::intake::elapsed_ms;

/// How often it is decided anew whether a late request is hedged.
const MAX_DECISIONS: usize = 3;
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
                    match self.race(attempt, second, Cause::Hedge, false).await {
                        Race::Ended(outcome) => return outcome,
                        Race::Left(left) => attempt = left,
                    }
                    break;
                }
                Hedge::Wait(until) => delay = Some(until),
                Hedge::No(reason) => {
                    let repeats_left =
                        self.gateway.decider.lock().repeats_left(&self.demand.pool, now);
                    tracing::info!(
                        event = "not_hedged", id = %self.meta.id, server = %first.server,
                        waited_ms = waited.as_millis() as u64, %reason, repeats_left
                    );
                    break;
                }
            }
        }
        self.wait_for_head(attempt, suspect).await
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
    pub(super) async fn race(
        &mut self,
        mut first: Attempt,
        placement: Placement,
        cause: Cause,
        suspect: bool,
    ) -> Race {
        let Some(mut second) = self.begin_second(placement, cause, suspect) else {
            return Race::Left(first);
        };
        let (id, placement) = (&self.meta.id, &second.placement);
        let event = match cause {
            Cause::Hedge => "hedged",
            Cause::Takeover => "takeover",
        };
        tracing::info!(
            event, %id, route = %self.route.name, attempt = self.tries,
            first = %first.placement.server, server = %placement.server,
            first_predicted_ms = first.placement.predicted.as_millis() as u64,
            predicted_ms = placement.predicted.as_millis() as u64,
            waited_ms = elapsed_ms(first.sent)
        );
        let limit = self.time_left();
        let second_limit = match cause {
            Cause::Hedge => limit,
            Cause::Takeover => self.successor_limit(&second.placement, 1),
        };
        let (method, id) = (&self.method, &self.meta.id);
        tokio::select! {
            result = first.exchange.receive_head(method, id, limit) => {
                self.on_first(first, second, cause, result).await
            }
            result = self.run_second(&mut second, second_limit) => {
                self.on_second(first, second, cause, result).await
            }
        }
    }

    /// Handles a race in which the first backend server has a result, or the deadline has passed.
    async fn on_first(
        &mut self,
        first: Attempt,
        second: Attempt,
        cause: Cause,
        result: Result<ParsedHead, Error>,
    ) -> Race {
        match result {
            Ok(head) if is_good(&head) => {
                self.cancel(second, cause, "first");
                Race::Ended((first.exchange, Ok(head)))
            }
            Err(Error::Late(_)) => {
                self.cancel(second, cause, "late");
                Race::Left(first)
            }
            // The failed attempt is repeated as if there had been no second one.
            result if !second.exchange.is_connected() => {
                self.cancel(second, cause, "failed");
                Race::Ended((first.exchange, result))
            }
            result => {
                let ended = self.on_head(first.exchange, result).await;
                Self::log_failed_attempt(&ended);
                Race::Left(second)
            }
        }
    }

    /// Handles a race in which the second backend server has a result, or the deadline has passed.
    async fn on_second(
        &mut self,
        mut first: Attempt,
        second: Attempt,
        cause: Cause,
        result: Result<ParsedHead, Error>,
    ) -> Race {
        match (result, cause) {
            (Ok(head), Cause::Hedge) if is_good(&head) => {
                self.cancel(first, cause, "second");
                Race::Ended((second.exchange, Ok(head)))
            }
            (Ok(head), Cause::Takeover) if is_good(&head) => {
                self.runs += 1;
                self.record_failure(&mut first.exchange, &Error::Late(first.sent.elapsed()));
                self.count_race(cause, "second", &first.exchange, first.sent);
                Race::Ended((second.exchange, Ok(head)))
            }
            (result, _) => {
                self.on_second_failed(second, cause, result).await;
                Race::Left(first)
            }
        }
    }
}
