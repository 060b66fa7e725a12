//! One request at one backend server.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, Method, StatusCode};
use hyssop_backend::blame::Fingerprint;
use hyssop_policy::local::{decider::End, standing::Ticket};
use tokio::time::timeout;

use crate::{
    dialect::Mark,
    gateway::Gateway,
    http::{
        connection::Connection,
        framing::{self, Framing, Step},
        head::{self, Head},
        pool,
    },
    record::Server,
};

/// Answers to other requests that are passed over on one connection.
const MAX_STRAY: u32 = 4;
/// The largest body of an answer that is read only to keep its connection.
const DRAINED_BYTES: usize = 16 << 10;
/// The time for that.
const DRAIN_TIME: Duration = Duration::from_millis(50);

/// Why an exchange gave no answer.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub enum Fault {
    /// There is no connection.
    #[display("no connection: {_0}")]
    Connect(pool::Fault),
    /// The connection broke.
    #[display("connection: {_0}")]
    Connection(io::Error),
    /// The connection was closed before the answer.
    #[display("closed without an answer")]
    Closed,
    /// The bytes are no answer.
    #[display("{_0}")]
    Head(head::Fault),
    /// The body can't be followed.
    #[display("{_0}")]
    Body(framing::Fault),
    /// A success that the backend server did not sign, or that was changed on the way.
    #[display("the answer is not signed")]
    Unsigned,
    /// A status that the daemon must not pass on.
    #[display("status {_0} without a statement that the request has not run")]
    #[from(skip)]
    Status(StatusCode),
    /// The backend server states that it has not run the request.
    #[display("rejected with status {_0}")]
    #[from(skip)]
    Rejected(StatusCode),
    /// Nothing came for this time.
    #[display("nothing came for {} ms", _0.as_millis())]
    Late(Duration),
    /// Only answers to other requests came.
    #[display("answers to other requests")]
    Stray,
    /// An earlier backend server may have run it, and there is no other one.
    #[display("no other backend server")]
    Elsewhere,
    /// More than the allowed bytes.
    #[display("the answer is too long")]
    TooLong,
}

impl Fault {
    /// Whether the backend server's process may have died.
    pub fn is_reset(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::Closed | Self::Body(framing::Fault::Truncated))
    }

    /// How an exchange ends that this fault stopped before a byte was sent.
    pub(super) fn end_unsent(&self) -> End {
        match self {
            Self::Connect(pool::Fault::Share) => End::Unsent,
            _ => End::Unreachable,
        }
    }
}

/// An answer's head with what it says.
#[derive(Debug)]
pub struct Answered {
    /// The head.
    pub head: Head,
    /// What it says.
    pub mark: Mark,
}

/// One request at one backend server. Dropping it closes its connection.
pub struct Exchange {
    gateway: Arc<Gateway>,
    /// The backend server.
    pub server: Arc<Server>,
    ticket: Ticket,
    /// The request's fingerprint, if it is a suspect.
    suspect: Option<Fingerprint>,
    connection: Option<Connection>,
    reusable: bool,
    finished: bool,
}

impl Exchange {
    /// An exchange that the decider knows as `ticket`.
    pub(super) fn new(
        gateway: Arc<Gateway>,
        server: Arc<Server>,
        ticket: Ticket,
        suspect: Option<Fingerprint>,
    ) -> Self {
        if let Some(fingerprint) = suspect {
            gateway.suspects.lock().record_start(&server.name, fingerprint);
        }
        Self {
            gateway,
            server,
            ticket,
            suspect,
            connection: None,
            reusable: false,
            finished: false,
        }
    }

    /// Takes or opens a connection.
    pub(super) async fn connect(&mut self, once: bool) -> Result<(), Fault> {
        let name = &self.server.name;
        let most = self.gateway.decider.lock().connections(name);
        let connection =
            self.gateway.connections.take(name, self.server.address, most, once).await?;
        self.connection = Some(connection);
        Ok(())
    }

    pub(super) fn send(&mut self, head: Bytes, body: Bytes) {
        self.connection_mut().send(head, body);
    }

    fn connection_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("an exchange sends and reads after it has connected")
    }

    /// Whether no byte can have reached the backend server.
    pub(super) fn is_unsent(&self) -> bool {
        self.connection.as_ref().is_none_or(Connection::is_unsent)
    }

    /// Whether the backend server has sent anything to this daemon since `since`.
    pub(super) fn server_heard_since(&self, since: Instant) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.server_heard_since(since))
    }

    /// Waits for the head of the answer to request `id`.
    pub(super) async fn head(
        &mut self,
        method: &Method,
        id: &str,
        limit: Duration,
    ) -> Result<Answered, Fault> {
        let read = self.read_head(method, id);
        timeout(limit, read).await.unwrap_or(Err(Fault::Late(limit)))
    }

    async fn read_head(&mut self, method: &Method, id: &str) -> Result<Answered, Fault> {
        let mut stray = 0;
        loop {
            let Some(head) = head::parse(&mut self.connection_mut().buffer, method)? else {
                if self.connection_mut().fill().await? == 0 {
                    return Err(Fault::Closed);
                }
                continue;
            };
            if head.status.is_informational() {
                continue;
            }
            let mark = self.gateway.dialect.mark(&head.headers);
            // A backend server that can't read the id answers without it.
            let unnamed = mark.id.is_none() && mark.not_run;
            if mark.id.as_deref() == Some(id) || unnamed {
                self.keep(&head);
                return Ok(Answered { head, mark });
            }
            stray += 1;
            tracing::info!(
                event = "stray_answer", %id, server = %self.server.name,
                of = mark.id.as_deref().unwrap_or_default()
            );
            if stray > MAX_STRAY || !head.reusable {
                return Err(Fault::Stray);
            }
            self.read_all(head.framing, usize::MAX).await?;
        }
    }

    fn keep(&mut self, head: &Head) {
        self.reusable = head.reusable;
        self.connection_mut().keep_alive = keep_alive(&head.headers);
    }

    /// Waits for more of the body.
    ///
    /// # Errors
    ///
    /// Returns why the body can't be read on.
    pub(crate) async fn step(&mut self, framing: &mut Framing) -> Result<Step, Fault> {
        loop {
            let connection = self.connection_mut();
            match framing.step(&mut connection.buffer)? {
                Step::More => {}
                step => return Ok(step),
            }
            if connection.fill().await? == 0 {
                framing.end()?;
                self.reusable = false;
                return Ok(Step::End);
            }
        }
    }

    /// Whether the body's end is there already, so that nobody has to ask for it.
    pub(crate) fn at_end(&mut self, framing: &mut Framing) -> bool {
        framing.take_end(&mut self.connection_mut().buffer)
    }

    async fn read_all(&mut self, mut framing: Framing, most: usize) -> Result<Bytes, Fault> {
        let mut all = BytesMut::new();
        loop {
            match self.step(&mut framing).await? {
                Step::Data(data) if all.len() + data.len() > most => return Err(Fault::TooLong),
                Step::Data(data) => all.extend_from_slice(&data),
                Step::End | Step::More => return Ok(all.freeze()),
            }
        }
    }

    /// Reads a whole body of at most `most` bytes.
    pub(super) async fn collect(
        &mut self,
        framing: Framing,
        most: usize,
        limit: Duration,
    ) -> Result<Bytes, Fault> {
        let read = self.read_all(framing, most);
        timeout(limit, read).await.unwrap_or(Err(Fault::Late(limit)))
    }

    /// Reads a body that nobody needs, so that its connection can be used again.
    pub(super) async fn drain(&mut self, head: &Head) {
        if self.collect(head.framing, DRAINED_BYTES, DRAIN_TIME).await.is_err() {
            self.reusable = false;
        }
    }

    /// Takes that the first event came.
    pub(crate) fn began(&self) {
        self.gateway.decider.lock().began(&self.server.name, self.ticket, Instant::now());
    }

    /// Takes how it ended. The connection is kept if it can be used again.
    pub(crate) fn finish(&mut self, end: End) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        self.gateway.decider.lock().ended(&self.server.name, self.ticket, end, Instant::now());
        if let Some(fingerprint) = self.suspect {
            self.gateway.suspects.lock().record_end(&self.server.name, fingerprint);
        }
        self.gateway.metrics.count_attempt(&compact_str::format_compact!("{end}"));
        let Some(mut connection) = self.connection.take() else { return };
        let whole = matches!(end, End::Complete | End::Rejected);
        if whole && self.reusable && connection.is_clean() {
            self.gateway.connections.put(&self.server.name, connection);
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.finish(End::Abandoned);
    }
}

/// How long a backend server keeps an idle connection, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
