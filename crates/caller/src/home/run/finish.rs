//! The end of an attempt, and whether the request is retried.

use hyssop_policy::permit;

use super::{PermitGuard, Run, Step, exchange::SERVICE_UNAVAILABLE};
use crate::{
    backends::{Failure, FailureKind},
    outcome::{Execution, Reason},
    quarantine::Status,
    record::{End, Head},
    render,
};

/// The error of an attempt without a complete response.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// The exchange with the backend server failed.
    Failed(Failure),
    /// The backend server crashed.
    Crashed {
        /// The failure that preceded the detection of the crash.
        failure: Failure,
        /// Whether the request ran as a suspect, without other suspects on the backend server.
        suspect: bool,
    },
    /// The response differs from chunks already delivered.
    ResponseChanged,
    /// The attempt exceeded its maximum running time.
    TimedOut,
}

impl Run {
    /// Retries at another backend server. No byte was sent, so even a non-idempotent request may be
    /// retried.
    pub(super) fn on_connect_failure(&mut self, guard: &PermitGuard, failure: &Failure) -> Step {
        let backend = &guard.permit.backend;
        let (id, message) = (self.id(), &failure.message);
        log::warn!("connect failed request={id} backend={backend} error=\"{message}\"");
        self.exclude.push(backend.clone());
        Step::Retry
    }

    /// Sets the end of the permit and decides on the next step.
    pub(super) fn finish_attempt(
        &mut self,
        mut guard: PermitGuard,
        suspect: bool,
        outcome: Result<(), AttemptError>,
    ) -> Step {
        let error = match outcome {
            Ok(()) => return self.on_complete(&mut guard, suspect),
            Err(error) => error,
        };
        match error {
            AttemptError::Failed(failure) => self.on_failure(&mut guard, failure),
            AttemptError::Crashed { failure, suspect } => {
                self.on_crash(&mut guard, &failure, suspect)
            }
            AttemptError::ResponseChanged => {
                guard.end = permit::End::Completed;
                let message = "a repeated run gave another answer than was delivered";
                Step::Done(self.incomplete(Reason::AnswerChanged, message, None))
            }
            AttemptError::TimedOut => {
                guard.end = permit::End::TimedOut;
                Step::Done(self.incomplete(Reason::TooLong, "it ran for longer than it may", None))
            }
        }
    }

    fn on_complete(&mut self, guard: &mut PermitGuard, suspect: bool) -> Step {
        guard.late = !self.is_on_time(self.shared.clock.now());
        self.totals.execution = Execution::Ran;
        if self.record.status() == Some(SERVICE_UNAVAILABLE) {
            // The caller receives the response of an overloaded plain service unchanged.
            guard.end = permit::End::Refused503;
            return Step::Done(End::Complete);
        }
        guard.end = permit::End::Completed;
        self.shared.retries.record_success(&self.job.terms.pool.name);
        if suspect {
            self.shared.quarantine.clear_suspect(self.fingerprint);
        }
        Step::Done(End::Complete)
    }

    fn on_crash(&mut self, guard: &mut PermitGuard, failure: &Failure, suspect: bool) -> Step {
        guard.end = permit::End::BackendFailed;
        let status = self.shared.quarantine.blame(self.fingerprint, suspect);
        let (id, backend, message) = (self.id(), &guard.permit.backend, &failure.message);
        let fingerprint = self.fingerprint;
        log::warn!(
            "backend crashed request={id} backend={backend} fingerprint={fingerprint} \
             solo={suspect} standing={status:?} error=\"{message}\""
        );
        if status == Status::Quarantined && self.job.terms.class.idempotent {
            return Step::Done(self.quarantine_status().map_or_else(End::Incomplete, |_| {
                self.incomplete(Reason::BackendFailed, "the backend server crashed", None)
            }));
        }
        // A retry after a crash adds no load to an overloaded pool, so it does not spend the
        // budget. The limit on attempts bounds it.
        self.retry_or_end(guard, Reason::BackendFailed, "the backend server crashed", false)
    }

    fn on_failure(&mut self, guard: &mut PermitGuard, failure: Failure) -> Step {
        let (id, backend, message) = (self.id(), &guard.permit.backend, &failure.message);
        log::warn!("attempt failed request={id} backend={backend} error=\"{message}\"");
        guard.end = permit::End::BackendFailed;
        match failure.kind {
            FailureKind::Status { code, content_type, body } => {
                let is_final = code < 500 || !self.job.terms.class.idempotent;
                if !is_final {
                    let message = format!("the backend server answered {code}");
                    return self.retry_or_end(guard, Reason::BackendError, &message, true);
                }
                guard.end = permit::End::Completed;
                self.forward_error(Head { status: code, content_type, json_chunks: false }, body)
            }
            FailureKind::Overloaded { retry_after } => {
                guard.end = permit::End::Refused503;
                let message = "the backend server is overloaded";
                match self.retry_or_end(guard, Reason::Overloaded, message, true) {
                    Step::Done(End::Incomplete(mut outcome)) => {
                        outcome.retry_after = outcome.retry_after.or(retry_after);
                        Step::Done(End::Incomplete(outcome))
                    }
                    step => step,
                }
            }
            _ => self.retry_or_end(guard, Reason::BackendFailed, &failure.message, true),
        }
    }

    /// Passes the backend server's error response on to the caller.
    fn forward_error(&mut self, head: Head, body: bytes::Bytes) -> Step {
        self.record.set_head(head);
        let written = self.record.write(0, render::service_chunk(body));
        match written.and_then(|()| self.record.complete(1)) {
            Ok(()) => {
                self.totals.execution = Execution::Ran;
                Step::Done(End::Complete)
            }
            Err(_) => {
                let message = "the backend server answered with an error";
                Step::Done(self.incomplete(Reason::BackendError, message, None))
            }
        }
    }

    /// Retries an idempotent request if its deadline, the limit on attempts and the budget allow.
    fn retry_or_end(
        &mut self,
        guard: &PermitGuard,
        reason: Reason,
        message: &str,
        uses_budget: bool,
    ) -> Step {
        self.totals.discard_tokens();
        let terms = &self.job.terms;
        let allowed = terms.class.idempotent
            && self.totals.attempts < self.shared.limits.max_attempts
            && !self.remaining().is_zero();
        if !allowed {
            return Step::Done(self.incomplete(reason, message, None));
        }
        if uses_budget && !self.shared.retries.try_spend(&terms.pool.name, terms.class.tier) {
            return Step::Done(self.incomplete(Reason::RetryBudget, message, None));
        }
        self.exclude.push(guard.permit.backend.clone());
        Step::Retry
    }
}
