//! The exchange of one attempt with a backend server, resumed where its connection broke.

use std::{sync::atomic::Ordering, time::Duration};

use compact_str::{CompactString, format_compact};
use hyssop_document::model::Kind;

use super::{AttemptError, PermitGuard, Run};
use crate::{
    backends::{Attempt, Chunk, Connection, Dropped, Failure, FailureKind, Response, Target},
    outcome::Ran,
    record::{self, Head},
    render,
};

/// The status of a backend server that is overloaded.
pub(super) const SERVICE_UNAVAILABLE: u16 = 503;
const NOT_FOUND: u16 = 404;
const GONE: u16 = 410;

/// The shortest silence after which an engine counts as hung.
const MIN_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The time until a forgotten or broken attempt is resumed once more.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// How often a backend server that does not tell its incarnation is asked again. A dying process
/// closes its port within some tens of ms, also on a busy machine.
const MAX_INCARNATION_RETRIES: u32 = 3;

/// What became of the backend server of a broken attempt.
enum Reconnect {
    /// It goes on.
    Open(Box<dyn Connection>),
    /// It died.
    Crashed,
    /// It cannot be reached, which may have any cause.
    Unreachable,
}

/// How far the answer to an attempt has come.
#[derive(Debug, Default)]
struct Position {
    /// The number of parts written.
    chunks: usize,
    /// The number that the engine gave to the last part, and which it can resume after.
    last_number: Option<u64>,
    /// Whether the engine gives numbers to its parts.
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
                // An engine may notice later than this home that the connection broke.
                tokio::time::sleep(RESUME_DELAY).await;
            }
            connection = match self.reconnect(guard).await {
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

    /// Connects again to the backend server of a broken attempt.
    ///
    /// A host on which nothing listens any more, or another incarnation than that of the permit,
    /// tells a crash from a broken connection. A process that is dying may still take connections
    /// and tell nothing, so one that does not tell its incarnation is asked again.
    async fn reconnect(&self, guard: &PermitGuard) -> Reconnect {
        let mut tries = 0;
        loop {
            let (reconnect, is_known) = self.try_reconnect(guard).await;
            tries += 1;
            if is_known || tries > MAX_INCARNATION_RETRIES {
                return reconnect;
            }
            tokio::time::sleep(RESUME_DELAY).await;
        }
    }

    /// Connects, and tells whether it is known what became of the backend server.
    async fn try_reconnect(&self, guard: &PermitGuard) -> (Reconnect, bool) {
        let address = guard.permit.address;
        let target = Target { address, fresh: true };
        let connection = match self.shared.backends.connect(target).await {
            Ok(connection) => connection,
            Err(Failure { kind: FailureKind::Connect { refused: true }, .. }) => {
                return (Reconnect::Crashed, true);
            }
            Err(_) => return (Reconnect::Unreachable, true),
        };
        let before = guard.permit.backend_incarnation;
        let now = self.shared.backends.incarnation(address).await;
        if before != 0 && now.is_some_and(|now| now != before) {
            return (Reconnect::Crashed, true);
        }
        (Reconnect::Open(connection), before == 0 || now.is_some())
    }

    /// Only an engine resumes an answer, and only an idempotent request is put at the risk that it
    /// takes the resumption for a new request.
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

    /// The longest silence of the backend server.
    ///
    /// An idempotent request leaves a hung engine while there is time for another one.
    fn read_timeout(&self) -> Duration {
        let class = &self.job.terms.class;
        match self.job.terms.pool.kind {
            // A plain service sends nothing before its answer is there.
            Kind::Service => class.max_running(),
            Kind::Model if class.idempotent => {
                self.shared.limits.read_timeout.min((self.remaining() / 2).max(MIN_READ_TIMEOUT))
            }
            Kind::Model => self.shared.limits.read_timeout,
        }
    }

    /// Sends the attempt once and writes what comes.
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
                ran: Ran::Ran,
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
                render::part(id, data, false)
            }
            Chunk::Usage { data, .. } => render::part(id, data, true),
            Chunk::Body(data) => Some(render::piece(data.clone())),
        };
        self.totals.tokens = guard.tokens();
        self.progress.tokens.store(guard.tokens(), Ordering::Relaxed);
        let now = self.shared.clock.now();
        self.totals.first_token_at.get_or_insert(now);
        converted.ok_or_else(|| {
            AttemptError::Failed(Failure {
                kind: FailureKind::Invalid,
                ran: Ran::MayHaveRun,
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

/// Whether the answer broke off in a way that resuming may mend.
fn is_interrupted(failure: &Failure) -> bool {
    matches!(failure.kind, FailureKind::Interrupted)
}

/// An attempt that the engine has forgotten is broken like any other.
fn interrupted(failure: Failure) -> Failure {
    Failure { kind: FailureKind::Interrupted, ran: Ran::MayHaveRun, ..failure }
}

/// Whether the engine does not know the attempt that is resumed.
fn is_unknown_attempt(failure: &Failure) -> bool {
    matches!(failure.kind, FailureKind::Status { code: NOT_FOUND | GONE, .. })
}
