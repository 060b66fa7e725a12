//! One run of a request: permits, attempts and the record of its response.

mod exchange;
mod finish;

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use compact_str::{CompactString, format_compact};
use hyssop_document::{digest::Digest, name, number::Tokens};
use hyssop_policy::{
    decision,
    permit::{self, Permit},
};
use tokio::time::timeout;

use self::finish::AttemptError;
use super::{
    Shared, permit_guard::PermitGuard, supervise::Progress, suspect_lock::SuspectGuard,
    totals::Totals,
};
use crate::{
    backends::{Connection, Target},
    directory::Terms,
    observer::{self, Measurement},
    outcome::{DEFAULT_RETRY_AFTER, Execution, Outcome, Reason},
    permits::{self, Decision},
    quarantine::{Fingerprint, Status},
    record::{End, Record},
    request::Request,
};

/// The maximum delay before a suspect runs.
const MAX_STAGGER: Duration = Duration::from_millis(300);

/// A request to run.
#[derive(Debug, Clone)]
pub(super) struct Job {
    /// The parsed request.
    pub(super) request: Request,
    /// The workspace, class and pool of the request.
    pub(super) terms: Terms,
    /// The time when the request arrived.
    pub(super) arrived: Instant,
    /// An id that is unique among all daemons.
    pub(super) run_id: CompactString,
    /// Whether an earlier copy of the request may have run.
    pub(super) ran_before: bool,
}

/// One run of a request.
pub(super) struct Run {
    pub(super) shared: Arc<Shared>,
    pub(super) job: Job,
    pub(super) record: Arc<Record>,
    pub(super) progress: Arc<Progress>,
    deadline: Instant,
    fingerprint: Fingerprint,
    exclude: Vec<name::Backend>,
    totals: Totals,
}

/// The result of one step of a run.
enum Step {
    /// The run has ended.
    Done(End),
    /// A new permit and attempt are needed.
    Retry,
}

impl Run {
    pub(super) fn new(shared: Arc<Shared>, job: Job, record: Arc<Record>) -> Self {
        let terms = &job.terms;
        let request = &job.request;
        let target = terms.class.complete_target();
        let wait = request.head.wait.map_or(target, |wait| wait.min(target));
        let workspace = terms.workspace.as_str();
        let fingerprint = Fingerprint::of(workspace, &request.path(), &request.canonical_body());
        Self {
            deadline: job.arrived + wait,
            fingerprint,
            shared,
            totals: Totals::new(job.ran_before),
            job,
            record,
            progress: Arc::default(),
            exclude: Vec::new(),
        }
    }

    /// Runs the request to its end. Dropping the future cancels the run.
    pub(super) async fn drive(&mut self) -> End {
        loop {
            if let Step::Done(end) = self.step().await {
                return end;
            }
        }
    }

    /// The end of a run that was cancelled because its callers left.
    pub(super) fn caller_left(&mut self) -> End {
        self.totals.discard_tokens();
        self.incomplete(Reason::CallerLeft, "the caller left", None)
    }

    async fn step(&mut self) -> Step {
        match self.acquire_permit().await {
            Ok((guard, suspect_guard)) => self.attempt(guard, suspect_guard).await,
            Err(outcome) => Step::Done(End::Incomplete(outcome)),
        }
    }

    /// Obtains a permit, for a suspect after locking its fingerprint.
    async fn acquire_permit(&mut self) -> Result<(PermitGuard, Option<SuspectGuard>), Outcome> {
        let suspect = self.quarantine_status()? == Status::Suspect;
        let suspect_guard = if suspect { Some(self.lock_suspect().await?) } else { None };
        // The request may have been quarantined while it waited for the lock.
        let suspect = self.quarantine_status()? == Status::Suspect || suspect;
        let permit = self.request_permit(suspect).await?;
        self.totals.permits += 1;
        self.totals.granted_at = Some(self.shared.clock.now());
        Ok((PermitGuard::new(Arc::clone(&self.shared), permit), suspect_guard))
    }

    /// A pseudo-random fraction from 0 to 1 that differs by daemon and by permit.
    fn stagger_fraction(&self) -> f64 {
        let own = self.shared.directory.incarnation();
        let text = format_compact!("{} {own} {}", self.fingerprint, self.totals.permits);
        Digest::of(text.as_bytes()).short() as f64 / u64::MAX as f64
    }

    fn quarantine_status(&self) -> Result<Status, Outcome> {
        let status = self.shared.quarantine.status(self.fingerprint);
        if status == Status::Quarantined {
            let message = "the request crashed backend servers and is not run any more";
            return Err(Outcome::failed(Execution::Ran, Reason::Quarantined, message));
        }
        Ok(status)
    }

    async fn lock_suspect(&self) -> Result<SuspectGuard, Outcome> {
        let suspect_guard = self.shared.suspect_locks.acquire(self.fingerprint);
        let suspect_guard = timeout(self.remaining(), suspect_guard).await;
        // Daemons that receive copies at the same time start them one after the other, so that the
        // later ones receive the crash record of the first.
        let stagger = MAX_STAGGER.min(self.remaining() / 8).mul_f64(self.stagger_fraction());
        tokio::time::sleep(stagger).await;
        suspect_guard.map_err(|_| {
            self.outcome(Reason::Deadline, "the deadline passed", Some(DEFAULT_RETRY_AFTER))
        })
    }

    async fn request_permit(&mut self, suspect: bool) -> Result<Permit, Outcome> {
        loop {
            if self.totals.permits >= self.shared.limits.max_permits {
                return Err(self.outcome(
                    Reason::NoBackend,
                    "no backend server took it",
                    Some(DEFAULT_RETRY_AFTER),
                ));
            }
            let remaining = self.remaining();
            if remaining.is_zero() {
                return Err(self.outcome(
                    Reason::Deadline,
                    "the deadline passed",
                    Some(DEFAULT_RETRY_AFTER),
                ));
            }
            let request = timeout(
                remaining,
                self.shared.permits.request(self.permit_request(suspect, remaining)),
            );
            let decision = request.await.map_err(|_| {
                self.outcome(Reason::Deadline, "the deadline passed", Some(DEFAULT_RETRY_AFTER))
            })?;
            match decision {
                Decision::Granted(permit) => return Ok(permit),
                Decision::Refused(refusal) => self.apply_refusal(refusal)?,
                Decision::NoScheduler { retry_after } => {
                    let message = "no scheduler decides for the pool now";
                    return Err(self.outcome(Reason::NoScheduler, message, Some(retry_after)));
                }
            }
        }
    }

    /// Turns a refusal into an outcome, or clears the exclusions if these may be its cause.
    fn apply_refusal(&mut self, refusal: decision::Refusal) -> Result<(), Outcome> {
        if refusal.reason == decision::Reason::NoBackend && !self.exclude.is_empty() {
            self.exclude.clear();
            return Ok(());
        }
        if refusal.reason == decision::Reason::QueueFull {
            let terms = &self.job.terms;
            self.shared.retries.record_shed(&terms.pool.name, terms.class.tier);
        }
        let (reason, message) = match refusal.reason {
            decision::Reason::Deadline => (Reason::Deadline, "the deadline cannot be met"),
            decision::Reason::QueueFull => (Reason::QueueFull, "the queue is full"),
            decision::Reason::NoBackend => (Reason::NoBackend, "no backend server may take it"),
            decision::Reason::UnknownName => (Reason::NotReady, "the document just changed"),
            decision::Reason::RetryBudget => (Reason::RetryBudget, "too many retries"),
        };
        let after = Duration::from_millis(refusal.retry_after_ms);
        Err(self.outcome(reason, message, Some(after)))
    }

    fn permit_request(&self, suspect: bool, remaining: Duration) -> permits::Request {
        let terms = &self.job.terms;
        let prompt = self.job.request.prompt.as_ref();
        permits::Request {
            class: terms.class.name.clone(),
            workspace: terms.workspace.clone(),
            pool: terms.pool.name.clone(),
            remaining,
            prompt_tokens: prompt.map_or(Tokens(0), |prompt| prompt.tokens),
            max_output: prompt.and_then(|prompt| prompt.max_output),
            prefix: prompt.map(|prompt| prompt.prefix_hash),
            suspect,
            exclude: self.exclude.clone(),
        }
    }

    /// Connects, checks the permit again and sends the request.
    async fn attempt(
        &mut self,
        mut guard: PermitGuard,
        suspect_guard: Option<SuspectGuard>,
    ) -> Step {
        let connected = self.shared.backends.connect(self.target(&guard.permit)).await;
        let connection = match connected {
            Ok(connection) => connection,
            Err(failure) => {
                guard.end = permit::End::BackendFailed;
                return self.on_connect_failure(&guard, &failure);
            }
        };
        if let Some(step) = self.recheck_quarantine(suspect_guard.is_some()) {
            return step;
        }
        // Nothing is awaited between this check and the first byte, so that the permit stays valid.
        if self.shared.permits.check(&guard.permit).is_err() {
            log::info!("permit stale request={} permit={}", self.id(), guard.permit.id);
            return Step::Retry;
        }
        self.dispatch(&mut guard);
        let outcome =
            self.exchange_with_timeout(&mut guard, connection, suspect_guard.is_some()).await;
        self.finish_attempt(guard, suspect_guard.is_some(), outcome)
    }

    /// Returns the next step if the request was quarantined or became a suspect while it waited for
    /// its permit.
    fn recheck_quarantine(&self, suspect: bool) -> Option<Step> {
        match self.quarantine_status() {
            Err(outcome) => Some(Step::Done(End::Incomplete(outcome))),
            Ok(Status::Suspect) if !suspect => Some(Step::Retry),
            Ok(_) => None,
        }
    }

    fn target(&self, permit: &Permit) -> Target {
        Target { address: permit.address, fresh: !self.job.terms.class.idempotent }
    }

    fn dispatch(&mut self, guard: &mut PermitGuard) {
        guard.record_dispatch();
        self.totals.execution = self.totals.execution.max(Execution::MayHaveRun);
        self.totals.attempts += 1;
        self.progress.dispatched.store(true, Ordering::Release);
        let (id, backend) = (self.id(), &guard.permit.backend);
        let (permit, attempt) = (guard.permit.id, self.totals.attempts);
        log::debug!("dispatch request={id} backend={backend} permit={permit} attempt={attempt}");
    }

    /// Exchanges request and response until the latest end of the permit.
    async fn exchange_with_timeout(
        &mut self,
        guard: &mut PermitGuard,
        connection: Box<dyn Connection>,
        suspect: bool,
    ) -> Result<(), AttemptError> {
        let permit = &guard.permit;
        // The permit was checked within its use timeout, so counting its remaining time from now
        // on ends no later than its latest end.
        let max_use_ms = permit.latest_end_ms.saturating_sub(permit.use_timeout_ms);
        let limit = Duration::from_millis(max_use_ms).min(self.job.terms.class.max_running());
        let exchange = self.exchange(guard, connection, suspect);
        timeout(limit, exchange).await.unwrap_or(Err(AttemptError::TimedOut))
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(self.shared.clock.now())
    }

    fn id(&self) -> &CompactString {
        &self.job.request.id
    }

    fn incomplete(&self, reason: Reason, message: &str, retry_after: Option<Duration>) -> End {
        End::Incomplete(self.outcome(reason, message, retry_after))
    }

    /// The outcome of a run that ends now without a complete response.
    fn outcome(&self, reason: Reason, message: &str, retry_after: Option<Duration>) -> Outcome {
        let mut outcome = match self.totals.execution {
            Execution::NotRun => Outcome::refused(reason, message),
            // Only an earlier copy may have run, on this daemon or on one that has exited.
            Execution::MayHaveRun if self.totals.attempts == 0 => Outcome::unknown(reason, message),
            execution if self.job.terms.class.idempotent => {
                Outcome::failed(execution, reason, message)
            }
            _ => Outcome::unknown(reason, message),
        };
        outcome.retry_after = retry_after;
        outcome
    }

    /// Reports the measurements of the ended run.
    pub(super) fn report(&mut self, end: &End) {
        let terms = &self.job.terms;
        let now = self.shared.clock.now();
        let since = |at: Instant| at.saturating_duration_since(self.job.arrived);
        let first_token = self.totals.first_token_at.map(since);
        let complete = *end == End::Complete;
        if !complete {
            self.totals.discard_tokens();
        }
        let on_time = complete && self.is_on_time(now);
        let measurement = Measurement {
            class: terms.class.name.clone(),
            workspace: terms.workspace.clone(),
            pool: terms.pool.name.clone(),
            end: match end {
                End::Complete => observer::End::Complete,
                End::Incomplete(outcome) => observer::End::Incomplete(outcome.kind, outcome.reason),
            },
            queue_time: self.totals.granted_at.map(since),
            first_token,
            elapsed: since(now),
            on_time,
            tokens: Tokens(self.totals.tokens),
            wasted_tokens: Tokens(self.totals.wasted_tokens),
            attempts: self.totals.attempts,
            dropped: self.totals.dropped,
        };
        self.shared.observer.on_end(&measurement);
    }

    fn is_on_time(&self, now: Instant) -> bool {
        let class = &self.job.terms.class;
        let first = self.totals.first_token_at.unwrap_or(now);
        now <= self.deadline && first <= self.job.arrived + class.first_token_target()
    }
}
