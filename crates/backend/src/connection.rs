//! A connection to a backend server, on which one attempt is sent.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{self, HeaderMap, HeaderValue},
};
use hyper_util::rt::TokioIo;
use hyssop_document::model;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    answer::Answer,
    attempt::Attempt,
    body,
    check::Check,
    failure::{Failure, Kind},
    idle::Idle,
};

/// The header with the attempt id.
pub const REQUEST_ID: &str = "x-request-id";
/// The header with the number of the last part received.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// The largest body of an engine's error in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// An open connection with the task that drives it.
pub(crate) struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    // Dropping the handle ends the task and so closes the connection.
    _driver: AbortOnDropHandle<()>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

impl Link {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Failure> {
        let kind = |refused| Kind::Connect { refused };
        let not_run = |message: String| Failure::not_run(kind(false), message);
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| not_run(format!("{address} did not accept within {limit:?}")))?
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
    ) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }
}

/// A link in use, with the place it goes back to.
#[derive(Debug)]
pub(crate) struct Lease {
    link: Link,
    home: Option<(SocketAddr, Arc<Idle>)>,
}

impl Lease {
    /// Keeps the link for the next idempotent request, if there may be one.
    pub(crate) async fn finish(mut self) {
        let Some((address, idle)) = self.home.take() else { return };
        let ready = timeout(Duration::from_millis(10), self.link.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            idle.put(address, self.link);
        }
    }
}

/// A connection on which nothing has been sent for this request yet.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    lease: Lease,
}

impl Connection {
    pub(crate) fn new(address: SocketAddr, link: Link, idle: Option<Arc<Idle>>) -> Self {
        let home = idle.map(|idle| (address, idle));
        Self { address, lease: Lease { link, home } }
    }

    /// Sends an attempt and waits for the head of its answer.
    ///
    /// From the first poll on the request may have run, unless the failure says otherwise.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, the backend server stays silent, answers with an error, or
    /// answers another attempt.
    pub async fn send(mut self, attempt: Attempt) -> Result<Answer, Failure> {
        let request = request(self.address, &attempt)?;
        let sent = timeout(attempt.silence, self.lease.link.send(request)).await;
        let response = sent
            .map_err(|_| Failure::may_have_run(Kind::Timeout, "no answer came in time"))?
            .map_err(|error| Failure::may_have_run(Kind::Broken, error.to_string()))?;
        check_echo(&attempt, response.headers())?;
        match attempt.kind {
            model::Kind::Model => engine_answer(self.lease, attempt, response).await,
            model::Kind::Service => Ok(service_answer(self.lease, &attempt, response)),
        }
    }
}

fn request(address: SocketAddr, attempt: &Attempt) -> Result<Request<Full<Bytes>>, Failure> {
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

/// Checks the attempt id in the head of an answer.
///
/// An engine may leave it out, since each of its parts carries the id. A plain service may not.
fn check_echo(attempt: &Attempt, headers: &HeaderMap) -> Result<(), Failure> {
    let echoed = headers.get(REQUEST_ID).map(HeaderValue::as_bytes);
    match echoed {
        Some(id) if id == attempt.id.as_str().as_bytes() => Ok(()),
        None if attempt.kind == model::Kind::Model => Ok(()),
        _ => Err(Failure::may_have_run(Kind::Crossed, "the answer has another attempt id")),
    }
}

async fn engine_answer(
    lease: Lease,
    attempt: Attempt,
    response: Response<Incoming>,
) -> Result<Answer, Failure> {
    let (head, incoming) = response.into_parts();
    if head.status == StatusCode::OK {
        let check = Check::new(attempt.id, attempt.resume_after);
        return Ok(Answer::events(200, incoming, lease, attempt.silence, check));
    }
    let body = timeout(attempt.silence, Limited::new(incoming, MAX_ERROR_BYTES).collect()).await;
    let body =
        body.ok().and_then(Result::ok).map(http_body_util::Collected::to_bytes).unwrap_or_default();
    let code = head.status.as_u16();
    if head.status == StatusCode::SERVICE_UNAVAILABLE {
        let kind = Kind::Overloaded { retry_after: retry_after(&head.headers) };
        return Err(Failure::answered(kind, "the engine is overloaded"));
    }
    let content_type = content_type(&head.headers);
    let kind = Kind::Status { code, content_type, body };
    Err(Failure::answered(kind, format!("the engine answered {code}")))
}

fn service_answer(lease: Lease, attempt: &Attempt, response: Response<Incoming>) -> Answer {
    let (head, incoming) = response.into_parts();
    let content_type = content_type(&head.headers);
    Answer::bytes(head.status.as_u16(), content_type, incoming, lease, attempt.silence)
}

fn content_type(headers: &HeaderMap) -> Option<CompactString> {
    headers.get(header::CONTENT_TYPE)?.to_str().ok().map(CompactString::new)
}

/// The value of `Retry-After` in whole seconds. A date is not understood.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse::<u32>().ok()?;
    Some(Duration::from_secs(seconds.into()))
}
