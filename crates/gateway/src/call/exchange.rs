//! One attempt of a call at one backend server.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use hyper::{HeaderMap, Method, StatusCode};
use hyssop_backend::blame::Fingerprint;
use hyssop_policy::local::{decider::End, server::SendId};
use tokio::{runtime::Handle, task::coop, time::timeout};

use crate::{
    dialect::ResponseMeta,
    events,
    gateway::Gateway,
    http::{
        connection::Connection,
        framing::{self, Framing, Step},
        head::{self, Head},
        pool,
    },
    record::Server,
};

/// The maximum number of responses to other requests that are skipped on one connection.
const MAX_STRAY_RESPONSES: u32 = 4;
/// The maximum number of informational responses ahead of a response.
const MAX_INFORMATIONAL_RESPONSES: u32 = 32;
/// The maximum size of a body that is read only to reuse its connection.
const MAX_DRAIN_BYTES: usize = 16 << 10;
/// The maximum time for reading a body only to reuse its connection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// How long a response that nobody waits for may take to begin. Shorter than the time in which a backend
/// server must be told that its caller has left, as one that does not notice the end of the request
/// learns it from the reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);
/// The part of a backend server's connections that may linger at a time, as a divisor.
const LINGERING_DIVISOR: usize = 4;

/// Why an exchange failed.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub enum Error {
    /// No connection could be obtained.
    #[display("no connection: {_0}")]
    Connect(pool::Error),
    /// The connection failed.
    #[display("the connection failed: {_0}")]
    Connection(io::Error),
    /// The backend server closed the connection before the response was complete.
    #[display("the connection was closed before the response was complete")]
    Closed,
    /// The response head is invalid.
    #[display("{_0}")]
    Head(head::Error),
    /// The body violates its framing.
    #[display("{_0}")]
    Body(framing::Error),
    /// A success response without the backend server's signature, or re-encoded on the way.
    #[display("the response is not signed")]
    Unsigned,
    /// A status that must not be passed on: an unconfirmed claim that the request has not run, an
    /// unsigned server error, or another status than before on resuming.
    #[display("status {_0} without a statement that the request has not run")]
    #[from(skip)]
    Status(StatusCode),
    /// The backend server states that it has not run the request.
    #[display("rejected with status {_0}")]
    #[from(skip)]
    Rejected(StatusCode),
    /// No data arrived within this time.
    #[display("no data received for {} ms", _0.as_millis())]
    Late(Duration),
    /// Only informational responses arrived.
    #[display("only informational responses were received")]
    Informational,
    /// Only responses to other requests arrived.
    #[display("only responses to other requests were received")]
    Stray,
    /// An earlier backend server may have run the request, and no other one can be used.
    #[display("no other backend server can be used")]
    Elsewhere,
    /// A stream has an event that is too large.
    #[display("{_0}")]
    Event(events::TooLong),
    /// The body exceeds the limit.
    #[display("the response body is too large")]
    TooLong,
}

impl Error {
    /// Whether a crash of the backend server may be the cause.
    pub fn may_be_crash(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::Closed | Self::Body(framing::Error::Truncated))
    }

    /// The end of an exchange that failed with this error before a byte was sent.
    pub(super) fn end_before_send(&self) -> End {
        match self {
            Self::Connect(pool::Error::Share) => End::Unsent,
            _ => End::Unreachable,
        }
    }
}

/// A response head with the platform's headers parsed.
#[derive(Debug)]
pub struct ParsedHead {
    /// The status, headers and framing.
    pub head: Head,
    /// The parsed headers of the platform.
    pub meta: ResponseMeta,
}

/// One attempt at one backend server. Dropping it before its end closes the connection.
pub struct Exchange {
    gateway: Arc<Gateway>,
    /// The backend server that the attempt is sent to.
    pub server: Arc<Server>,
    send_id: SendId,
    /// The request's fingerprint if it is a crash suspect.
    suspect: Option<Fingerprint>,
    /// When the attempt began, before anything was sent.
    created: Instant,
    connection: Option<Connection>,
    /// The rest of a response to another request, which comes before the own one.
    skipped: Option<Framing>,
    first_event_at: Option<Instant>,
    /// The method and the id of the request, once its response is awaited.
    awaited: Option<(Method, CompactString)>,
    /// Whether the response head has arrived.
    has_head: bool,
    reusable: bool,
    finished: bool,
}

impl Exchange {
    /// Creates an exchange that the decider has registered as `send_id`.
    pub(super) fn new(
        gateway: Arc<Gateway>,
        server: Arc<Server>,
        send_id: SendId,
        suspect: Option<Fingerprint>,
    ) -> Self {
        if let Some(fingerprint) = suspect {
            gateway.suspects.lock().record_start(&server.name, fingerprint);
        }
        Self {
            gateway,
            server,
            send_id,
            suspect,
            created: Instant::now(),
            connection: None,
            skipped: None,
            first_event_at: None,
            awaited: None,
            has_head: false,
            reusable: false,
            finished: false,
        }
    }

    /// Reuses or opens a connection.
    pub(super) async fn connect(&mut self, non_idempotent: bool) -> Result<(), Error> {
        self.connection = Some(self.gateway.connect(&self.server, non_idempotent).await?);
        Ok(())
    }

    pub(super) fn send(&mut self, head: Bytes, body: Bytes) {
        self.connection_mut().send(head, body);
    }

    fn connection_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("the exchange is connected before it sends or receives")
    }

    /// Whether there is a connection, on which the request has been sent or is being sent.
    pub(super) fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    /// Whether no byte of the request can have reached the backend server.
    pub(super) fn is_unsent(&self) -> bool {
        self.connection.as_ref().is_none_or(Connection::is_unsent)
    }

    /// Whether the backend server has sent anything to this daemon since `since`.
    pub(super) fn server_active_since(&self, since: Instant) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.server_active_since(since))
    }

    /// Whether an earlier request used the connection, if there is one.
    pub(super) fn is_reused(&self) -> Option<bool> {
        self.connection.as_ref().map(|connection| connection.reused)
    }

    /// How long the backend server has sent this daemon nothing, if there is a connection.
    pub(super) fn server_silent_ms(&self) -> Option<u64> {
        let connection = self.connection.as_ref()?;
        Some(connection.server_silent_for(Instant::now()).as_millis() as u64)
    }

    /// Waits for the head of the response to request `id`. May be called again after
    /// [`Error::Late`].
    pub(super) async fn receive_head(
        &mut self,
        method: &Method,
        id: &str,
        limit: Duration,
    ) -> Result<ParsedHead, Error> {
        self.awaited.get_or_insert_with(|| (method.clone(), CompactString::new(id)));
        let read = self.read_head(method, id);
        timeout(limit, read).await.unwrap_or(Err(Error::Late(limit)))
    }

    async fn read_head(&mut self, method: &Method, id: &str) -> Result<ParsedHead, Error> {
        let (mut stray, mut informational) = (0, 0);
        loop {
            self.skip_response().await?;
            let Some(head) = head::parse(&mut self.connection_mut().buffer, method)? else {
                if self.connection_mut().fill().await? == 0 {
                    return Err(Error::Closed);
                }
                continue;
            };
            if head.status.is_informational() {
                informational += 1;
                if informational > MAX_INFORMATIONAL_RESPONSES {
                    return Err(Error::Informational);
                }
                continue;
            }
            let meta = self.gateway.dialect.parse_response(&head.headers);
            // A backend server that cannot parse the request id responds without it.
            let without_id = meta.id.is_none() && meta.not_run;
            let is_own = meta.id.as_deref() == Some(id) || without_id;
            self.record_notices(&meta, head.status, is_own);
            if is_own {
                self.has_head = true;
                self.apply_keep_alive(&head);
                return Ok(ParsedHead { head, meta });
            }
            stray += 1;
            tracing::info!(
                event = "stray_answer", %id, server = %self.server.name,
                of = meta.id.as_deref().unwrap_or_default()
            );
            if stray > MAX_STRAY_RESPONSES || !head.reusable {
                return Err(Error::Stray);
            }
            self.skipped = Some(head.framing);
        }
    }

    /// Records what the backend server asks for in a response, to whichever request that is. Only one
    /// to this request, whose time is known, can end a limit or say that the server is not brittle.
    fn record_notices(&self, meta: &ResponseMeta, status: StatusCode, is_own: bool) {
        let (name, now) = (&self.server.name, Instant::now());
        let incarnation = self.server.started_ms.unwrap_or(0);
        if meta.leaving && self.gateway.decider.lock().record_leaving(name, incarnation, now) {
            self.gateway.report_leaving(name, incarnation, &"response");
        }
        if let Some(pause) = meta.pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
            let kept = self.gateway.decider.lock().record_pause(name, incarnation, pause, now);
            tracing::info!(
                event = "server_paused", server = %name, incarnation,
                asked_ms = pause.as_millis() as u64, pause_ms = kept.as_millis() as u64
            );
            self.gateway.metrics.count_notice("pause");
        }
        if is_own || meta.limit.is_some() {
            let mut decider = self.gateway.decider.lock();
            let changed = decider.record_limit(name, incarnation, meta.limit, self.created, now);
            drop(decider);
            if changed {
                self.gateway.report_limit(name, incarnation, meta.limit, &"response");
            }
        }
        if is_own || meta.tolerance.is_some() {
            let (tolerance, mut decider) = (meta.tolerance, self.gateway.decider.lock());
            let changed = decider.record_brittle(name, incarnation, tolerance, self.created, now);
            drop(decider);
            if changed {
                self.gateway.report_brittle(name, incarnation, tolerance);
            }
        }
    }

    fn apply_keep_alive(&mut self, head: &Head) {
        self.reusable = head.reusable;
        self.connection_mut().keep_alive = keep_alive(&head.headers);
    }

    /// Reads the next bytes of the body, or returns its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or if the body is malformed or truncated.
    pub(crate) async fn read_body(&mut self, framing: &mut Framing) -> Result<Step, Error> {
        loop {
            // One read may hold hundreds of small chunks, and other tasks wait meanwhile.
            coop::consume_budget().await;
            let connection = self.connection_mut();
            match framing.step(&mut connection.buffer)? {
                Step::More => {}
                step => return Ok(step),
            }
            if connection.fill().await? == 0 {
                framing.on_close()?;
                self.reusable = false;
                return Ok(Step::End);
            }
        }
    }

    /// Consumes the end of the body if it has been received already, and returns whether it was.
    pub(crate) fn take_end(&mut self, framing: &mut Framing) -> bool {
        framing.take_end(&mut self.connection_mut().buffer)
    }

    /// Reads a response that is skipped to its end. Goes on where an earlier call was cancelled.
    async fn skip_response(&mut self) -> Result<(), Error> {
        while self.skipped.is_some() {
            coop::consume_budget().await;
            let (Some(framing), Some(connection)) = (&mut self.skipped, &mut self.connection)
            else {
                return Ok(());
            };
            let is_over = match framing.step(&mut connection.buffer)? {
                Step::Data(_) => false,
                Step::End => true,
                Step::More => {
                    let is_closed = connection.fill().await? == 0;
                    if is_closed {
                        framing.on_close()?;
                        self.reusable = false;
                    }
                    is_closed
                }
            };
            if is_over {
                self.skipped = None;
            }
        }
        Ok(())
    }

    async fn read_all(&mut self, mut framing: Framing, max_bytes: usize) -> Result<Bytes, Error> {
        let mut all = BytesMut::new();
        loop {
            match self.read_body(&mut framing).await? {
                Step::Data(data) if all.len() + data.len() > max_bytes => {
                    return Err(Error::TooLong);
                }
                Step::Data(data) => all.extend_from_slice(&data),
                Step::End | Step::More => return Ok(all.freeze()),
            }
        }
    }

    /// Reads a complete body of at most `max_bytes`.
    pub(super) async fn collect(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let read = self.read_all(framing, max_bytes);
        timeout(limit, read).await.unwrap_or(Err(Error::Late(limit)))
    }

    /// Reads and discards a body so that its connection can be reused.
    pub(super) async fn drain(&mut self, head: &Head) {
        if self.collect(head.framing, MAX_DRAIN_BYTES, DRAIN_TIMEOUT).await.is_err() {
            self.reusable = false;
        }
    }

    /// Records the arrival of the first event. Further calls have no effect.
    pub(crate) fn record_first_event(&mut self) {
        if self.first_event_at.is_some() {
            return;
        }
        let now = Instant::now();
        self.first_event_at = Some(now);
        self.gateway.decider.lock().record_first_event(&self.server.name, self.send_id, now);
    }

    /// Records the arrival of an event of a stream, from which the speed of the engine is learned.
    pub(crate) fn record_event(&mut self) {
        let now = Instant::now();
        self.gateway.decider.lock().record_event(&self.server.name, self.send_id, now);
    }

    /// How long ago the first event arrived, if one has.
    pub(crate) fn begun_for(&self) -> Option<Duration> {
        self.first_event_at.map(|at| at.elapsed())
    }

    /// Records the end of the exchange. The connection returns to the pool if it can be reused.
    pub(crate) fn finish(&mut self, end: End) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let mut decider = self.gateway.decider.lock();
        if self.is_unsent() {
            decider.record_not_received(&self.server.name, self.send_id);
        }
        decider.record_end(&self.server.name, self.send_id, end, Instant::now());
        drop(decider);
        if let Some(fingerprint) = self.suspect {
            self.gateway.suspects.lock().record_end(&self.server.name, fingerprint);
        }
        self.gateway.metrics.count_attempt(&compact_str::format_compact!("{end}"));
        let Some(mut connection) = self.connection.take() else { return };
        let complete = matches!(end, End::Complete | End::Rejected);
        if complete && self.reusable && connection.is_clean() {
            self.gateway.connections.release(&self.server.name, connection);
        } else if !complete {
            self.leave(connection);
        }
    }

    /// Closes the connection of an attempt that is over. Where its response has not begun, that is still
    /// awaited for a moment in the background, for what the backend server asks of this daemon.
    fn leave(&mut self, mut connection: Connection) {
        if self.has_head || connection.is_unsent() {
            return connection.abandon();
        }
        let max_connections = self.gateway.decider.lock().connection_limit(&self.server.name);
        let max_lingering = (max_connections / LINGERING_DIVISOR).max(1);
        // There is no runtime while the process ends.
        let runtime = Handle::try_current().ok();
        let Some((runtime, guard)) = runtime.zip(connection.linger(max_lingering)) else {
            self.gateway.metrics.count_left("unread");
            return connection.abandon();
        };
        let late = Self {
            gateway: Arc::clone(&self.gateway),
            server: Arc::clone(&self.server),
            send_id: self.send_id,
            suspect: None,
            created: self.created,
            connection: Some(connection),
            skipped: self.skipped,
            first_event_at: None,
            awaited: self.awaited.take(),
            has_head: false,
            reusable: false,
            finished: true,
        };
        runtime.spawn(async move {
            late.read_late_head().await;
            drop(guard);
        });
    }

    /// Waits a moment for the head of a response that nobody waits for, and closes the connection.
    async fn read_late_head(mut self) {
        let (method, id) = self.awaited.take().unwrap_or_default();
        let read = timeout(LINGER_TIMEOUT, self.read_head(&method, &id)).await;
        let end = match &read {
            Ok(Ok(_)) => "read",
            Ok(Err(_)) => "closed",
            Err(_) => "late",
        };
        self.gateway.metrics.count_left(end);
        if let Ok(Ok(parsed)) = read {
            let (server, status) = (&self.server.name, parsed.head.status.as_u16());
            let after_ms = self.created.elapsed().as_millis() as u64;
            tracing::info!(event = "late_answer", %id, %server, status, after_ms);
        }
        if let Some(connection) = self.connection.take() {
            connection.abandon();
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.finish(End::Abandoned);
    }
}

/// The timeout in `Keep-Alive`, after which the backend server closes an idle connection.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
