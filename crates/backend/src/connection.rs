//! A connection to a backend server, on which one attempt is sent.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Request, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{self, HeaderMap, HeaderValue},
};
use hyper_util::rt::TokioIo;
use hyssop_document::model;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    attempt::Attempt,
    body,
    check::Checker,
    failure::{Failure, Kind},
    idle,
    response::Response,
};

/// The header that carries the attempt id, in requests and responses.
pub const REQUEST_ID: &str = "x-request-id";
/// The request header with the number of the last chunk received.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// The maximum size of an engine's error body. A larger body is discarded.
const MAX_ERROR_BODY_BYTES: usize = 64 << 10;

/// An open HTTP/1.1 connection with the task that drives it.
pub(crate) struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    // Dropping the handle aborts the task, which closes the connection.
    _driver: AbortOnDropHandle<()>,
}

impl fmt::Debug for HttpConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpConnection").finish_non_exhaustive()
    }
}

impl HttpConnection {
    pub(crate) async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, Failure> {
        let kind = |refused| Kind::Connect { refused };
        let not_run = |message: String| Failure::not_run(kind(false), message);
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_run(format!("{address} did not accept within {connect_timeout:?}")))?
            .map_err(|error| {
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                Failure::not_run(kind(refused), format!("{address}: {error}"))
            })?;
        stream.set_nodelay(true).map_err(|error| not_run(error.to_string()))?;
        let (mut sender, driver) = http1::Builder::new()
            .max_headers(64)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_run(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("connection ended backend={address} error=\"{error}\"");
            }
        });
        let driver = AbortOnDropHandle::new(driver);
        sender.ready().await.map_err(|error| not_run(error.to_string()))?;
        Ok(Self { sender, _driver: driver })
    }

    pub(crate) fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<hyper::Response<Incoming>> {
        self.sender.send_request(request).await
    }
}

/// A connection in use, with the pool it returns to if it may be reused.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    http: HttpConnection,
    pool: Option<(SocketAddr, Arc<idle::Pool>)>,
}

impl PooledConnection {
    /// Returns the connection to the pool for the next idempotent request.
    pub(crate) async fn release(mut self) {
        let Some((address, idle)) = self.pool.take() else { return };
        let ready = timeout(Duration::from_millis(10), self.http.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            idle.push(address, self.http);
        }
    }
}

/// A connection on which nothing of the request has been sent yet.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    pooled: PooledConnection,
}

impl Connection {
    pub(crate) fn new(
        address: SocketAddr,
        http: HttpConnection,
        idle: Option<Arc<idle::Pool>>,
    ) -> Self {
        let pool = idle.map(|idle| (address, idle));
        Self { address, pooled: PooledConnection { http, pool } }
    }

    /// Sends an attempt and waits for the response head.
    ///
    /// The request may have run once the future has been polled, unless the failure states
    /// otherwise.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost, no head arrives within the read timeout, an engine responds
    /// with an error status, or the response carries another attempt id.
    pub async fn send(mut self, attempt: Attempt) -> Result<Response, Failure> {
        let request = build_request(self.address, &attempt)?;
        let sent = timeout(attempt.read_timeout, self.pooled.http.send(request)).await;
        let response = sent
            .map_err(|_| Failure::may_have_run(Kind::Timeout, "no answer came in time"))?
            .map_err(|error| Failure::may_have_run(Kind::Interrupted, error.to_string()))?;
        check_attempt_id(&attempt, response.headers())?;
        match attempt.kind {
            model::Kind::Model => engine_response(self.pooled, attempt, response).await,
            model::Kind::Service => Ok(service_response(self.pooled, &attempt, response)),
        }
    }
}

fn build_request(address: SocketAddr, attempt: &Attempt) -> Result<Request<Full<Bytes>>, Failure> {
    let malformed = |message: String| Failure::not_run(Kind::Protocol, message);
    let body = match attempt.kind {
        model::Kind::Model => body::for_engine(&attempt.body, attempt.tier)
            .map_err(|error| malformed(error.to_string()))?,
        model::Kind::Service => attempt.body.clone(),
    };
    let mut builder = Request::post(attempt.path.as_str())
        .header(header::HOST, address.to_string())
        .header(REQUEST_ID, attempt.id.as_str());
    if let Some(content_type) = &attempt.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type.as_str());
    }
    if let Some(number) = attempt.resume_after {
        builder = builder.header(LAST_EVENT_ID, number);
    }
    builder.body(Full::new(body)).map_err(|error| malformed(error.to_string()))
}

/// Checks the attempt id in a response head.
///
/// An engine may omit the header, since each of its chunks carries the id. A plain service may not.
fn check_attempt_id(attempt: &Attempt, headers: &HeaderMap) -> Result<(), Failure> {
    let echoed = headers.get(REQUEST_ID).map(HeaderValue::as_bytes);
    match echoed {
        Some(id) if id == attempt.id.as_str().as_bytes() => Ok(()),
        None if attempt.kind == model::Kind::Model => Ok(()),
        _ => Err(Failure::may_have_run(Kind::Mismatched, "the answer has another attempt id")),
    }
}

async fn engine_response(
    connection: PooledConnection,
    attempt: Attempt,
    response: hyper::Response<Incoming>,
) -> Result<Response, Failure> {
    let (head, incoming) = response.into_parts();
    if head.status == StatusCode::OK {
        let checker = Checker::new(attempt.id, attempt.resume_after);
        return Ok(Response::events(200, incoming, connection, attempt.read_timeout, checker));
    }
    let body =
        timeout(attempt.read_timeout, Limited::new(incoming, MAX_ERROR_BODY_BYTES).collect()).await;
    let body =
        body.ok().and_then(Result::ok).map(http_body_util::Collected::to_bytes).unwrap_or_default();
    let code = head.status.as_u16();
    if head.status == StatusCode::SERVICE_UNAVAILABLE {
        let kind = Kind::Overloaded { retry_after: retry_after(&head.headers) };
        return Err(Failure::ran(kind, "the engine is overloaded"));
    }
    let content_type = content_type(&head.headers);
    let kind = Kind::Status { code, content_type, body };
    Err(Failure::ran(kind, format!("the engine answered {code}")))
}

fn service_response(
    connection: PooledConnection,
    attempt: &Attempt,
    response: hyper::Response<Incoming>,
) -> Response {
    let (head, incoming) = response.into_parts();
    let content_type = content_type(&head.headers);
    Response::bytes(head.status.as_u16(), content_type, incoming, connection, attempt.read_timeout)
}

fn content_type(headers: &HeaderMap) -> Option<CompactString> {
    headers.get(header::CONTENT_TYPE)?.to_str().ok().map(CompactString::new)
}

/// The value of `Retry-After` in whole seconds. The date format is ignored.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse::<u32>().ok()?;
    Some(Duration::from_secs(seconds.into()))
}
