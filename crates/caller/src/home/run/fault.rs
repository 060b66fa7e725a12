//! What follows from a failed attempt.

use hyssop_policy::permit;

use super::{Held, Run, Step, exchange::SERVICE_UNAVAILABLE};
use crate::{
    backends::{Failure, FailureKind},
    outcome::{Execution, Reason},
    quarantine::Standing,
    record::{End, Head},
    render,
};

/// Why an attempt gave no whole answer.
#[derive(Debug)]
pub(super) enum Fault {
    /// The attempt failed.
    Failed(Failure),
    /// The backend server died.
    Crashed {
        /// The failure by which that was noticed first.
        failure: Failure,
        /// Whether no other suspect ran there.
        solo: bool,
    },
    /// The attempt gave another answer than the part that was delivered.
    Changed,
    /// The attempt ran for longer than it may.
    TooLong,
}

impl Run {
    /// No byte went out, so even a non-idempotent request may go to another backend server.
    pub(super) fn not_connected(&mut self, held: &Held, failure: &Failure) -> Step {
        let backend = &held.permit.backend;
        let (id, message) = (self.id(), &failure.message);
        log::warn!("connect failed request={id} backend={backend} error=\"{message}\"");
        self.exclude.push(backend.clone());
        Step::Again
    }

    /// Ends the use of a permit and decides what follows.
    pub(super) fn conclude(
        &mut self,
        mut held: Held,
        solo: bool,
        outcome: Result<(), Fault>,
    ) -> Step {
        let fault = match outcome {
            Ok(()) => return self.completed(&mut held, solo),
            Err(fault) => fault,
        };
        match fault {
            Fault::Failed(failure) => self.failed(&mut held, failure),
            Fault::Crashed { failure, solo } => self.crashed(&mut held, &failure, solo),
            Fault::Changed => {
                held.end = permit::End::Completed;
                let message = "a repeated run gave another answer than was delivered";
                Step::Done(self.end(Reason::AnswerChanged, message, None))
            }
            Fault::TooLong => {
                held.end = permit::End::TimedOut;
                Step::Done(self.end(Reason::TooLong, "it ran for longer than it may", None))
            }
        }
    }

    fn completed(&mut self, held: &mut Held, solo: bool) -> Step {
        held.late = !self.is_on_time(self.shared.clock.now());
        self.tally.ran = Execution::Ran;
        if self.record.status() == Some(SERVICE_UNAVAILABLE) {
            // The answer of an overloaded plain service, which its caller gets as it is.
            held.end = permit::End::Refused503;
            return Step::Done(End::Whole);
        }
        held.end = permit::End::Completed;
        self.shared.retries.success(&self.order.terms.pool.name);
        if solo {
            self.shared.quarantine.clear(self.fingerprint);
        }
        Step::Done(End::Whole)
    }

    fn crashed(&mut self, held: &mut Held, failure: &Failure, solo: bool) -> Step {
        held.end = permit::End::BackendFailed;
        let standing = self.shared.quarantine.blame(self.fingerprint, solo);
        let (id, backend, message) = (self.id(), &held.permit.backend, &failure.message);
        let fingerprint = self.fingerprint;
        log::warn!(
            "backend crashed request={id} backend={backend} fingerprint={fingerprint} \
             solo={solo} standing={standing:?} error=\"{message}\""
        );
        if standing == Standing::Quarantined && self.order.terms.class.idempotent {
            return Step::Done(self.standing().map_or_else(End::Other, |_| {
                self.end(Reason::BackendFailed, "the backend server crashed", None)
            }));
        }
        // A request caught in a crash is no retry that adds load to an overloaded pool, so it
        // takes nothing out of the budget. The limit on attempts bounds it.
        self.again(held, Reason::BackendFailed, "the backend server crashed", false)
    }

    fn failed(&mut self, held: &mut Held, failure: Failure) -> Step {
        let (id, backend, message) = (self.id(), &held.permit.backend, &failure.message);
        log::warn!("attempt failed request={id} backend={backend} error=\"{message}\"");
        held.end = permit::End::BackendFailed;
        match failure.kind {
            FailureKind::Status { code, content_type, body } => {
                let final_answer = code < 500 || !self.order.terms.class.idempotent;
                if !final_answer {
                    let message = format!("the backend server answered {code}");
                    return self.again(held, Reason::BackendError, &message, true);
                }
                held.end = permit::End::Completed;
                self.pass_on(Head { status: code, content_type, chunks: false }, body)
            }
            FailureKind::Overloaded { retry_after } => {
                held.end = permit::End::Refused503;
                let message = "the backend server is overloaded";
                match self.again(held, Reason::Overloaded, message, true) {
                    Step::Done(End::Other(mut outcome)) => {
                        outcome.retry_after = outcome.retry_after.or(retry_after);
                        Step::Done(End::Other(outcome))
                    }
                    step => step,
                }
            }
            _ => self.again(held, Reason::BackendFailed, &failure.message, true),
        }
    }

    /// Gives the backend server's own answer to the caller.
    fn pass_on(&mut self, head: Head, body: bytes::Bytes) -> Step {
        self.record.set_head(head);
        let written = self.record.write(0, render::service_chunk(body));
        match written.and_then(|()| self.record.complete(1)) {
            Ok(()) => {
                self.tally.ran = Execution::Ran;
                Step::Done(End::Whole)
            }
            Err(_) => {
                let message = "the backend server answered with an error";
                Step::Done(self.end(Reason::BackendError, message, None))
            }
        }
    }

    /// Runs an idempotent request again, if its deadline, its attempts and the budget allow.
    fn again(&mut self, held: &Held, reason: Reason, message: &str, budget: bool) -> Step {
        self.tally.waste();
        let terms = &self.order.terms;
        let allowed = terms.class.idempotent
            && self.tally.attempts < self.shared.limits.attempts
            && !self.remaining().is_zero();
        if !allowed {
            return Step::Done(self.end(reason, message, None));
        }
        if budget && !self.shared.retries.take(&terms.pool.name, terms.class.tier) {
            return Step::Done(self.end(Reason::RetryBudget, message, None));
        }
        self.exclude.push(held.permit.backend.clone());
        Step::Again
    }
}
