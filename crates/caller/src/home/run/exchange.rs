//! The exchange of one attempt with a backend server, resumed where its connection broke.

use std::{sync::atomic::Ordering, time::Duration};

use compact_str::{CompactString, format_compact};
use hyssop_document::model::Kind;

use super::{Fault, Held, Run};
use crate::{
    backends::{Answer, Attempt, Connection, Dropped, Failure, FailureKind, Part, Target},
    outcome::Execution,
    record::{self, Head},
    render,
};

/// The status of a backend server that is overloaded.
pub(super) const SERVICE_UNAVAILABLE: u16 = 503;
const NOT_FOUND: u16 = 404;
const GONE: u16 = 410;

/// The shortest silence after which an engine counts as hung.
const MIN_SILENCE: Duration = Duration::from_secs(2);
/// The time until a forgotten or broken attempt is resumed once more.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// How often a backend server that does not tell its incarnation is asked again. A dying process
/// closes its port within some tens of ms, also on a busy machine.
const ASKED_AGAIN: u32 = 3;

/// What became of the backend server of a broken attempt.
enum Reconnected {
    /// It goes on.
    Open(Box<dyn Connection>),
    /// It died.
    Died,
    /// It cannot be reached, which may have any cause.
    Unreachable,
}

/// How far the answer to an attempt has come.
#[derive(Debug, Default)]
struct Position {
    /// The number of parts written.
    parts: usize,
    /// The number that the engine gave to the last part, and which it can resume after.
    number: Option<u64>,
    /// Whether the engine gives numbers to its parts.
    unnumbered: bool,
}

impl Run {
    pub(super) async fn exchange(
        &mut self,
        held: &mut Held,
        connection: Box<dyn Connection>,
        solo: bool,
    ) -> Result<(), Fault> {
        let mut position = Position::default();
        let mut connection = connection;
        let mut resumptions = 0;
        loop {
            let attempt = self.build(position.number);
            let failure = match self.pass(held, connection, attempt, &mut position).await {
                Ok(()) => return Ok(()),
                Err(Fault::Failed(failure)) => failure,
                Err(fault) => return Err(fault),
            };
            let forgotten = resumptions > 0 && is_forgotten(&failure);
            if !(is_broken(&failure) || forgotten) {
                return Err(Fault::Failed(failure));
            }
            if resumptions > 0 {
                // An engine may notice later than this home that the connection broke.
                tokio::time::sleep(RESUME_PAUSE).await;
            }
            connection = match self.reconnect(held).await {
                Reconnected::Open(connection) => connection,
                Reconnected::Died => return Err(Fault::Crashed { failure, solo }),
                Reconnected::Unreachable => return Err(Fault::Failed(broken(failure))),
            };
            if resumptions >= self.shared.limits.resumptions || !self.may_resume(&position) {
                return Err(Fault::Failed(broken(failure)));
            }
            resumptions += 1;
            position.number.get_or_insert(0);
            let (id, after) = (self.id(), position.parts);
            log::info!("resume request={id} backend={} after={after}", held.permit.backend);
        }
    }

    /// Connects again to the backend server of a broken attempt.
    ///
    /// A host on which nothing listens any more, or another incarnation than that of the permit,
    /// tells a crash from a broken connection. A process that is dying may still take connections
    /// and tell nothing, so one that does not tell its incarnation is asked again.
    async fn reconnect(&self, held: &Held) -> Reconnected {
        let mut asked = 0;
        loop {
            let (reconnected, is_known) = self.reconnect_once(held).await;
            asked += 1;
            if is_known || asked > ASKED_AGAIN {
                return reconnected;
            }
            tokio::time::sleep(RESUME_PAUSE).await;
        }
    }

    /// Connects, and tells whether it is known what became of the backend server.
    async fn reconnect_once(&self, held: &Held) -> (Reconnected, bool) {
        let address = held.permit.address;
        let target = Target { address, fresh: true };
        let connection = match self.shared.backends.connect(target).await {
            Ok(connection) => connection,
            Err(Failure { kind: FailureKind::Connect { refused: true }, .. }) => {
                return (Reconnected::Died, true);
            }
            Err(_) => return (Reconnected::Unreachable, true),
        };
        let before = held.permit.backend_incarnation;
        let now = self.shared.backends.incarnation(address).await;
        if before != 0 && now.is_some_and(|now| now != before) {
            return (Reconnected::Died, true);
        }
        (Reconnected::Open(connection), before == 0 || now.is_some())
    }

    /// Only an engine resumes an answer, and only an idempotent request is put at the risk that it
    /// takes the resumption for a new request.
    fn may_resume(&self, position: &Position) -> bool {
        let terms = &self.order.terms;
        terms.pool.kind == Kind::Model && terms.class.idempotent && !position.unnumbered
    }

    fn build(&self, resume_after: Option<u64>) -> Attempt {
        let request = &self.order.request;
        let terms = &self.order.terms;
        Attempt {
            id: format_compact!("{}-{}", self.order.number, self.tally.attempts),
            kind: terms.pool.kind,
            path: request.path(),
            content_type: self.content_type(),
            body: request.body.clone(),
            tier: terms.class.tier,
            resume_after,
            silence: self.silence(),
        }
    }

    fn content_type(&self) -> Option<CompactString> {
        match self.order.terms.pool.kind {
            Kind::Model => Some(CompactString::const_new("application/json")),
            Kind::Service => self.order.request.head.content_type.clone(),
        }
    }

    /// The longest silence of the backend server.
    ///
    /// An idempotent request leaves a hung engine while there is time for another one.
    fn silence(&self) -> Duration {
        let class = &self.order.terms.class;
        match self.order.terms.pool.kind {
            // A plain service sends nothing before its answer is there.
            Kind::Service => class.max_running(),
            Kind::Model if class.idempotent => {
                self.shared.limits.silence.min((self.remaining() / 2).max(MIN_SILENCE))
            }
            Kind::Model => self.shared.limits.silence,
        }
    }

    /// Sends the attempt once and writes what comes.
    async fn pass(
        &mut self,
        held: &mut Held,
        connection: Box<dyn Connection>,
        attempt: Attempt,
        position: &mut Position,
    ) -> Result<(), Fault> {
        let mut answer = connection.send(attempt).await.map_err(Fault::Failed)?;
        let overloaded = answer.status() == SERVICE_UNAVAILABLE;
        if overloaded && self.order.terms.class.idempotent {
            return Err(Fault::Failed(Failure {
                kind: FailureKind::Overloaded { retry_after: None },
                ran: Execution::Ran,
                message: "the service is overloaded".into(),
            }));
        }
        self.record.set_head(Head {
            status: answer.status(),
            content_type: answer.content_type(),
            chunks: self.order.terms.pool.kind == Kind::Model,
        });
        let copied = self.copy(held, &mut *answer, position).await;
        self.count_dropped(answer.dropped());
        copied
    }

    async fn copy(
        &mut self,
        held: &mut Held,
        answer: &mut dyn Answer,
        position: &mut Position,
    ) -> Result<(), Fault> {
        while let Some(part) = answer.next().await.map_err(Fault::Failed)? {
            let part = self.convert(held, &part, position)?;
            self.record.write(position.parts, part).map_err(|_| Fault::Changed)?;
            position.parts += 1;
        }
        self.record.complete(position.parts).map_err(|_| Fault::Changed)
    }

    fn convert(
        &mut self,
        held: &mut Held,
        part: &Part,
        position: &mut Position,
    ) -> Result<record::Part, Fault> {
        let id = &self.order.number;
        let converted = match part {
            Part::Token { number, data } => {
                position.unnumbered = number.is_none();
                position.number = *number;
                held.token();
                render::model_chunk(id, data, false)
            }
            Part::Usage { data, .. } => render::model_chunk(id, data, true),
            Part::Body(data) => Some(render::service_chunk(data.clone())),
        };
        self.tally.tokens = held.tokens();
        self.progress.tokens.store(held.tokens(), Ordering::Relaxed);
        let now = self.shared.clock.now();
        self.tally.first_token.get_or_insert(now);
        converted.ok_or_else(|| {
            Fault::Failed(Failure {
                kind: FailureKind::Invalid,
                ran: Execution::MayHaveRun,
                message: "a chunk is no JSON object".into(),
            })
        })
    }

    fn count_dropped(&mut self, dropped: Dropped) {
        if dropped != Dropped::default() {
            let Dropped { crossed, repeated, gaps } = dropped;
            let id = self.id();
            log::warn!(
                "parts dropped request={id} crossed={crossed} repeated={repeated} gaps={gaps}"
            );
        }
        self.tally.dropped = self.tally.dropped + dropped;
    }
}

/// Whether the answer broke off in a way that resuming may mend.
fn is_broken(failure: &Failure) -> bool {
    matches!(failure.kind, FailureKind::Broken)
}

/// An attempt that the engine has forgotten is broken like any other.
fn broken(failure: Failure) -> Failure {
    Failure { kind: FailureKind::Broken, ran: Execution::MayHaveRun, ..failure }
}

/// Whether the engine does not know the attempt that is resumed.
fn is_forgotten(failure: &Failure) -> bool {
    matches!(failure.kind, FailureKind::Status { code: NOT_FOUND | GONE, .. })
}
