//! The exchange of one attempt with a backend server, resumed after a lost connection.

use std::{sync::atomic::Ordering, time::Duration};

use compact_str::{CompactString, format_compact};
use hyssop_document::model::Kind;

use super::{AttemptError, PermitGuard, Run};
use crate::{
    backends::{Attempt, Chunk, Connection, Dropped, Failure, FailureKind, Response, Target},
    outcome::Execution,
    record::{self, Head},
    render,
};

/// The HTTP status of a backend server that is overloaded.
pub(super) const SERVICE_UNAVAILABLE: u16 = 503;
const NOT_FOUND: u16 = 404;
const GONE: u16 = 410;

/// The minimum time without data after which an engine counts as hung.
const MIN_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before an attempt is resumed again, and between queries of an incarnation.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// How long the state of a backend server is queried again while it is unknown. A crashing process
/// closes its port within some tens of ms, also on a busy machine.
const STATE_TIMEOUT: Duration = Duration::from_millis(200);
/// The same limit for a suspect, which crashes one more backend server if a crash is not attributed
/// to it.
const SUSPECT_STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of the backend server after an interrupted attempt.
enum Reconnect {
    /// The backend server accepted a new connection.
    Open(Box<dyn Connection>),
    /// The backend server crashed.
    Crashed,
    /// The backend server cannot be reached, whether it crashed or not.
    Unreachable,
}

/// The position in the response to an attempt.
#[derive(Debug, Default)]
struct Position {
    /// The number of chunks written.
    chunks: usize,
    /// The engine's number of the last chunk, after which it can resume.
    last_number: Option<u64>,
    /// Whether the engine does not number its chunks, so that it cannot resume.
    unnumbered: bool,
}

impl Run {
    pub(super) async fn exchange(
        &mut self,
        guard: &mut PermitGuard,
        connection: Box<dyn Connection>,
        suspect: bool,
    ) -> Result<(), AttemptError> {
        let mut position = Position::default();
        let mut connection = connection;
        let mut resumptions = 0;
        loop {
            let attempt = self.build_attempt(position.last_number);
            let failure = match self.send_once(guard, connection, attempt, &mut position).await {
                Ok(()) => return Ok(()),
                Err(AttemptError::Failed(failure)) => failure,
                Err(error) => return Err(error),
            };
            let is_unknown = resumptions > 0 && is_unknown_attempt(&failure);
            if !(is_interrupted(&failure) || is_unknown) {
                return Err(AttemptError::Failed(failure));
            }
            if resumptions > 0 {
                // An engine may detect the loss of the connection later than the home.
                tokio::time::sleep(RESUME_DELAY).await;
            }
            connection = match self.reconnect(guard, suspect).await {
                Reconnect::Open(connection) => connection,
                Reconnect::Crashed => return Err(AttemptError::Crashed { failure, suspect }),
                Reconnect::Unreachable => return Err(AttemptError::Failed(interrupted(failure))),
            };
            if resumptions >= self.shared.limits.max_resumptions || !self.may_resume(&position) {
                return Err(AttemptError::Failed(interrupted(failure)));
            }
            resumptions += 1;
            position.last_number.get_or_insert(0);
            let (id, after) = (self.id(), position.chunks);
            log::info!("resume request={id} backend={} after={after}", guard.permit.backend);
        }
    }

    /// Connects again to the backend server of an interrupted attempt.
    ///
    /// A refused connection, or another incarnation than that of the permit, distinguishes a crash
    /// from a lost connection. A crashing process may still accept connections without responding,
    /// or reset them, so a backend server is queried again until its state is known.
    async fn reconnect(&self, guard: &PermitGuard, suspect: bool) -> Reconnect {
        let limit = if suspect { SUSPECT_STATE_TIMEOUT } else { STATE_TIMEOUT };
        let give_up = self.shared.clock.now() + limit.min(self.remaining() / 2);
        loop {
            let (reconnect, is_known) = self.try_reconnect(guard).await;
            if is_known || self.shared.clock.now() + RESUME_DELAY > give_up {
                return reconnect;
            }
            tokio::time::sleep(RESUME_DELAY).await;
        }
    }

    /// Connects once. The flag states that the result is certain.
    async fn try_reconnect(&self, guard: &PermitGuard) -> (Reconnect, bool) {
        let address = guard.permit.address;
        let target = Target { address, fresh: true };
        let connection = match self.shared.backends.connect(target).await {
            Ok(connection) => connection,
            Err(Failure { kind: FailureKind::Connect { refused: true }, .. }) => {
                return (Reconnect::Crashed, true);
            }
            Err(_) => return (Reconnect::Unreachable, false),
        };
        let before = guard.permit.backend_incarnation;
        let now = self.shared.backends.incarnation(address).await;
        if before != 0 && now.is_some_and(|now| now != before) {
            return (Reconnect::Crashed, true);
        }
        (Reconnect::Open(connection), before == 0 || now.is_some())
    }

    /// Only engines resume responses. An engine may mistake the resumption for a new request, so
    /// only idempotent requests are resumed.
    fn may_resume(&self, position: &Position) -> bool {
        let terms = &self.job.terms;
        terms.pool.kind == Kind::Model && terms.class.idempotent && !position.unnumbered
    }

    fn build_attempt(&self, resume_after: Option<u64>) -> Attempt {
        let request = &self.job.request;
        let terms = &self.job.terms;
        Attempt {
            id: format_compact!("{}-{}", self.job.run_id, self.totals.attempts),
            kind: terms.pool.kind,
            path: request.path(),
            content_type: self.content_type(),
            body: request.body.clone(),
            tier: terms.class.tier,
            resume_after,
            read_timeout: self.read_timeout(),
        }
    }

    fn content_type(&self) -> Option<CompactString> {
        match self.job.terms.pool.kind {
            Kind::Model => Some(CompactString::const_new("application/json")),
            Kind::Service => self.job.request.head.content_type.clone(),
        }
    }

    /// The maximum time without data from the backend server.
    ///
    /// An attempt of an idempotent request times out earlier, so that time remains to try another
    /// engine.
    fn read_timeout(&self) -> Duration {
        let class = &self.job.terms.class;
        match self.job.terms.pool.kind {
            // A plain service sends nothing until its response is ready.
            Kind::Service => class.max_running(),
            Kind::Model if class.idempotent => {
                self.shared.limits.read_timeout.min((self.remaining() / 2).max(MIN_READ_TIMEOUT))
            }
            Kind::Model => self.shared.limits.read_timeout,
        }
    }

    /// Sends the attempt once and records the response.
    async fn send_once(
        &mut self,
        guard: &mut PermitGuard,
        connection: Box<dyn Connection>,
        attempt: Attempt,
        position: &mut Position,
    ) -> Result<(), AttemptError> {
        let mut response = connection.send(attempt).await.map_err(AttemptError::Failed)?;
        let overloaded = response.status() == SERVICE_UNAVAILABLE;
        if overloaded && self.job.terms.class.idempotent {
            return Err(AttemptError::Failed(Failure {
                kind: FailureKind::Overloaded { retry_after: None },
                execution: Execution::Ran,
                message: "the service is overloaded".into(),
            }));
        }
        self.record.set_head(Head {
            status: response.status(),
            content_type: response.content_type(),
            json_chunks: self.job.terms.pool.kind == Kind::Model,
        });
        let copied = self.copy_chunks(guard, &mut *response, position).await;
        self.count_dropped(response.dropped());
        copied
    }

    async fn copy_chunks(
        &mut self,
        guard: &mut PermitGuard,
        response: &mut dyn Response,
        position: &mut Position,
    ) -> Result<(), AttemptError> {
        while let Some(chunk) = response.next().await.map_err(AttemptError::Failed)? {
            let chunk = self.convert(guard, &chunk, position)?;
            self.record.write(position.chunks, chunk).map_err(|_| AttemptError::ResponseChanged)?;
            position.chunks += 1;
        }
        self.record.complete(position.chunks).map_err(|_| AttemptError::ResponseChanged)
    }

    fn convert(
        &mut self,
        guard: &mut PermitGuard,
        chunk: &Chunk,
        position: &mut Position,
    ) -> Result<record::Chunk, AttemptError> {
        let id = &self.job.run_id;
        let converted = match chunk {
            Chunk::Token { number, data } => {
                position.unnumbered = number.is_none();
                position.last_number = *number;
                guard.record_token();
                render::model_chunk(id, data, false)
            }
            Chunk::Usage { data, .. } => render::model_chunk(id, data, true),
            Chunk::Body(data) => Some(render::service_chunk(data.clone())),
        };
        self.totals.tokens = guard.tokens();
        self.progress.tokens.store(guard.tokens(), Ordering::Relaxed);
        let now = self.shared.clock.now();
        self.totals.first_token_at.get_or_insert(now);
        converted.ok_or_else(|| {
            AttemptError::Failed(Failure {
                kind: FailureKind::Invalid,
                execution: Execution::MayHaveRun,
                message: "a chunk is no JSON object".into(),
            })
        })
    }

    fn count_dropped(&mut self, dropped: Dropped) {
        if dropped != Dropped::default() {
            let Dropped { mismatched, repeated, gaps } = dropped;
            let id = self.id();
            log::warn!(
                "parts dropped request={id} crossed={mismatched} repeated={repeated} gaps={gaps}"
            );
        }
        self.totals.dropped = self.totals.dropped + dropped;
    }
}

/// Whether resuming may complete the response.
fn is_interrupted(failure: &Failure) -> bool {
    matches!(failure.kind, FailureKind::Interrupted)
}

/// Reports a failure as an interruption, also if the engine had no record of the resumed attempt.
fn interrupted(failure: Failure) -> Failure {
    Failure { kind: FailureKind::Interrupted, execution: Execution::MayHaveRun, ..failure }
}

/// Whether the engine has no record of the resumed attempt.
fn is_unknown_attempt(failure: &Failure) -> bool {
    matches!(failure.kind, FailureKind::Status { code: NOT_FOUND | GONE, .. })
}
