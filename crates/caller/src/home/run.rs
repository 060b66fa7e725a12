//! One run of a request: permits, attempts, and the record of its answer.

mod exchange;
mod fault;

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

use self::fault::Fault;
use super::{Shared, held::Held, solo::Turn, supervise::Progress, tally::Tally};
use crate::{
    backends::{Connection, Target},
    directory::Terms,
    observer::{self, Measure},
    outcome::{DEFAULT_RETRY_AFTER, Execution, Outcome, Reason},
    permits::{Ask, Verdict},
    quarantine::{Fingerprint, Standing},
    record::{End, Record},
    request::Request,
};

/// The longest time by which the run of a suspect is put off.
const MAX_STAGGER: Duration = Duration::from_millis(300);

/// What a run is about.
#[derive(Debug, Clone)]
pub(super) struct Order {
    /// The request.
    pub(super) request: Request,
    /// What the document says about it.
    pub(super) terms: Terms,
    /// The time of its arrival.
    pub(super) arrived: Instant,
    /// A number that no other request of any daemon has.
    pub(super) number: CompactString,
    /// Whether an earlier copy may have run.
    pub(super) ran_before: bool,
}

/// One run of a request.
pub(super) struct Run {
    pub(super) shared: Arc<Shared>,
    pub(super) order: Order,
    pub(super) record: Arc<Record>,
    pub(super) progress: Arc<Progress>,
    deadline: Instant,
    fingerprint: Fingerprint,
    exclude: Vec<name::Backend>,
    tally: Tally,
}

/// What a step of a run leads to.
enum Step {
    /// The run has ended.
    Done(End),
    /// Another attempt follows.
    Again,
}

impl Run {
    pub(super) fn new(shared: Arc<Shared>, order: Order, record: Arc<Record>) -> Self {
        let terms = &order.terms;
        let request = &order.request;
        let target = terms.class.complete();
        let wait = request.head.wait.map_or(target, |wait| wait.min(target));
        let workspace = terms.workspace.as_str();
        let fingerprint = Fingerprint::of(workspace, &request.path(), &request.canonical_body());
        Self {
            deadline: order.arrived + wait,
            fingerprint,
            shared,
            tally: Tally::new(order.ran_before),
            order,
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

    /// The end of a run that was cancelled because its caller left.
    pub(super) fn left(&mut self) -> End {
        self.tally.waste();
        self.end(Reason::CallerLeft, "the caller left", None)
    }

    async fn step(&mut self) -> Step {
        match self.prepare().await {
            Ok((held, turn)) => self.attempt(held, turn).await,
            Err(outcome) => Step::Done(End::Other(outcome)),
        }
    }

    /// Gets a permit, and for a suspect its turn.
    async fn prepare(&mut self) -> Result<(Held, Option<Turn>), Outcome> {
        let suspect = self.standing()? == Standing::Suspect;
        let turn = if suspect { Some(self.turn().await?) } else { None };
        // While it waited, the request may have been quarantined.
        let suspect = self.standing()? == Standing::Suspect || suspect;
        let permit = self.permit(suspect).await?;
        self.tally.permits += 1;
        self.tally.granted = Some(self.shared.clock.now());
        Ok((Held::new(Arc::clone(&self.shared), permit), turn))
    }

    /// A number from 0 to 1 that is another one on each daemon and at each try.
    fn place(&self) -> f64 {
        let own = self.shared.directory.incarnation();
        let text = format_compact!("{} {own} {}", self.fingerprint, self.tally.permits);
        Digest::of(text.as_bytes()).short() as f64 / u64::MAX as f64
    }

    fn standing(&self) -> Result<Standing, Outcome> {
        let standing = self.shared.quarantine.standing(self.fingerprint);
        if standing == Standing::Quarantined {
            let message = "the request crashed backend servers and is not run any more";
            return Err(Outcome::failed(Execution::Ran, Reason::Quarantined, message));
        }
        Ok(standing)
    }

    async fn turn(&self) -> Result<Turn, Outcome> {
        let turn = self.shared.solo.turn(self.fingerprint);
        let turn = timeout(self.remaining(), turn).await;
        // Daemons that got copies at the same time try them one after the other this way, and the
        // later ones hear of what became of the first.
        let stagger = MAX_STAGGER.min(self.remaining() / 8).mul_f64(self.place());
        tokio::time::sleep(stagger).await;
        turn.map_err(|_| {
            self.outcome(Reason::Deadline, "the deadline passed", Some(DEFAULT_RETRY_AFTER))
        })
    }

    async fn permit(&mut self, solo: bool) -> Result<Permit, Outcome> {
        loop {
            if self.tally.permits >= self.shared.limits.permits {
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
            let asked = timeout(remaining, self.shared.permits.ask(self.ask(solo, remaining)));
            let verdict = asked.await.map_err(|_| {
                self.outcome(Reason::Deadline, "the deadline passed", Some(DEFAULT_RETRY_AFTER))
            })?;
            match verdict {
                Verdict::Granted(permit) => return Ok(permit),
                Verdict::Refused(refusal) => self.refused(refusal)?,
                Verdict::NoScheduler { retry_after } => {
                    let message = "no scheduler decides for the pool now";
                    return Err(self.outcome(Reason::NoScheduler, message, Some(retry_after)));
                }
            }
        }
    }

    /// Takes a refusal, or drops the exclusions if these may be the cause.
    fn refused(&mut self, refusal: decision::Refusal) -> Result<(), Outcome> {
        if refusal.reason == decision::Reason::NoBackend && !self.exclude.is_empty() {
            self.exclude.clear();
            return Ok(());
        }
        if refusal.reason == decision::Reason::QueueFull {
            let terms = &self.order.terms;
            self.shared.retries.shed(&terms.pool.name, terms.class.tier);
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

    fn ask(&self, solo: bool, remaining: Duration) -> Ask {
        let terms = &self.order.terms;
        let prompt = self.order.request.prompt.as_ref();
        Ask {
            class: terms.class.name.clone(),
            workspace: terms.workspace.clone(),
            pool: terms.pool.name.clone(),
            remaining,
            prompt_tokens: prompt.map_or(Tokens(0), |prompt| prompt.tokens),
            max_output: prompt.and_then(|prompt| prompt.max_output),
            prefix: prompt.map(|prompt| prompt.prefix_hash),
            solo,
            exclude: self.exclude.clone(),
        }
    }

    /// Connects, checks the permit once more, and sends the request.
    async fn attempt(&mut self, mut held: Held, turn: Option<Turn>) -> Step {
        let connected = self.shared.backends.connect(self.target(&held.permit)).await;
        let connection = match connected {
            Ok(connection) => connection,
            Err(failure) => {
                held.end = permit::End::BackendFailed;
                return self.not_connected(&held, &failure);
            }
        };
        if let Some(step) = self.reconsider(turn.is_some()) {
            return step;
        }
        // From here to the first byte there is no other wait.
        if self.shared.permits.confirm(&held.permit).is_err() {
            log::info!("permit stale request={} permit={}", self.id(), held.permit.id);
            return Step::Again;
        }
        self.dispatch(&mut held);
        let outcome = self.exchange_in_time(&mut held, connection, turn.is_some()).await;
        self.conclude(held, turn.is_some(), outcome)
    }

    /// What follows if the request got another standing while it waited for its permit.
    fn reconsider(&self, solo: bool) -> Option<Step> {
        match self.standing() {
            Err(outcome) => Some(Step::Done(End::Other(outcome))),
            Ok(Standing::Suspect) if !solo => Some(Step::Again),
            Ok(_) => None,
        }
    }

    fn target(&self, permit: &Permit) -> Target {
        Target { address: permit.address, fresh: !self.order.terms.class.idempotent }
    }

    fn dispatch(&mut self, held: &mut Held) {
        held.dispatch();
        self.tally.ran = self.tally.ran.max(Execution::MayHaveRun);
        self.tally.attempts += 1;
        self.progress.dispatched.store(true, Ordering::Release);
        let (id, backend) = (self.id(), &held.permit.backend);
        let (permit, attempt) = (held.permit.id, self.tally.attempts);
        log::debug!("dispatch request={id} backend={backend} permit={permit} attempt={attempt}");
    }

    /// Exchanges request and answer until the latest end of the permit.
    async fn exchange_in_time(
        &mut self,
        held: &mut Held,
        connection: Box<dyn Connection>,
        solo: bool,
    ) -> Result<(), Fault> {
        let permit = &held.permit;
        // The use began within the permit's time, so counting from now on stays on the safe side.
        let latest = permit.latest_end_ms.saturating_sub(permit.use_timeout_ms);
        let limit = Duration::from_millis(latest).min(self.order.terms.class.max_running());
        let exchange = self.exchange(held, connection, solo);
        timeout(limit, exchange).await.unwrap_or(Err(Fault::TooLong))
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(self.shared.clock.now())
    }

    fn id(&self) -> &CompactString {
        &self.order.request.id
    }

    fn end(&self, reason: Reason, message: &str, retry_after: Option<Duration>) -> End {
        End::Other(self.outcome(reason, message, retry_after))
    }

    /// The truthful outcome of a run that ends now without a whole answer.
    fn outcome(&self, reason: Reason, message: &str, retry_after: Option<Duration>) -> Outcome {
        let mut outcome = match self.tally.ran {
            Execution::NotRun => Outcome::refused(reason, message),
            // Only an earlier copy can have run, here or at a home that has ended.
            Execution::MayHaveRun if self.tally.attempts == 0 => Outcome::unknown(reason, message),
            ran if self.order.terms.class.idempotent => Outcome::failed(ran, reason, message),
            _ => Outcome::unknown(reason, message),
        };
        outcome.retry_after = retry_after;
        outcome
    }

    /// Hands the measurements of the ended run on.
    pub(super) fn observe(&mut self, end: &End) {
        let terms = &self.order.terms;
        let now = self.shared.clock.now();
        let since = |at: Instant| at.saturating_duration_since(self.order.arrived);
        let first_token = self.tally.first_token.map(since);
        let whole = *end == End::Whole;
        if !whole {
            self.tally.waste();
        }
        let on_time = whole && self.is_on_time(now);
        let measure = Measure {
            class: terms.class.name.clone(),
            workspace: terms.workspace.clone(),
            pool: terms.pool.name.clone(),
            end: match end {
                End::Whole => observer::End::Answered,
                End::Other(outcome) => observer::End::Other(outcome.kind, outcome.reason),
            },
            queued: self.tally.granted.map(since),
            first_token,
            elapsed: since(now),
            on_time,
            tokens: Tokens(self.tally.tokens),
            wasted: Tokens(self.tally.wasted),
            attempts: self.tally.attempts,
            dropped: self.tally.dropped,
        };
        self.shared.observer.ended(&measure);
    }

    fn is_on_time(&self, now: Instant) -> bool {
        let class = &self.order.terms.class;
        let first = self.tally.first_token.unwrap_or(now);
        now <= self.deadline && first <= self.order.arrived + class.first_token()
    }
}
