//! Relay of requests to the daemon that their idempotency keys are bound to.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures::future::BoxFuture;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    body::{self, Body},
    handler::REQUEST_OUTCOME,
    request::{self, RELAYED_BY},
};

/// The other daemon could not be reached or sent no response.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{message}")]
pub struct Error {
    /// Whether the daemon's process must have exited, as its host refused the connection.
    pub exited: bool,
    /// A message for logs.
    pub message: CompactString,
}

/// Relays requests to other daemons.
pub trait Relay: Send + Sync {
    /// Sends a request to another daemon's address for callers, marked as relayed by the
    /// incarnation `relayed_by`.
    ///
    /// # Errors
    ///
    /// Fails if no response head was received. Unless [`Error::exited`] is set, the other daemon
    /// may have run the request.
    fn relay(
        &self,
        address: SocketAddr,
        relayed_by: CompactString,
        head: Parts,
        body: Bytes,
    ) -> BoxFuture<'_, Result<Response<Body>, Error>>;
}

/// A relay over HTTP. It never retries a request.
#[derive(Debug, Clone, Copy)]
pub struct Http {
    /// The time within which the other daemon must accept a connection.
    pub connect_timeout: Duration,
}

impl Default for Http {
    fn default() -> Self {
        Self { connect_timeout: Duration::from_secs(1) }
    }
}

/// The request headers that are passed on to the other daemon.
const FORWARDED_HEADERS: [&str; 6] = [
    "authorization",
    request::REQUEST_CLASS,
    request::IDEMPOTENCY_KEY,
    request::PREFER,
    request::REQUEST_ID,
    "content-type",
];

impl Relay for Http {
    fn relay(
        &self,
        address: SocketAddr,
        relayed_by: CompactString,
        head: Parts,
        body: Bytes,
    ) -> BoxFuture<'_, Result<Response<Body>, Error>> {
        Box::pin(self.send(address, relayed_by, head, body))
    }
}

impl Http {
    async fn send(
        &self,
        address: SocketAddr,
        relayed_by: CompactString,
        head: Parts,
        body: Bytes,
    ) -> Result<Response<Body>, Error> {
        let stream = timeout(self.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| error("connection attempt timed out"))?
            .map_err(|cause| Error {
                exited: cause.kind() == io::ErrorKind::ConnectionRefused,
                ..error(cause)
            })?;
        stream.set_nodelay(true).map_err(error)?;
        let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(error)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("relay connection ended error=\"{error}\"");
            }
        }));
        let response = sender.send_request(request(address, &relayed_by, &head, body)?).await;
        Ok(caller_response(response.map_err(error)?, driver))
    }
}

fn request(
    address: SocketAddr,
    relayed_by: &str,
    head: &Parts,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Error> {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut builder = Request::builder()
        .method(head.method.clone())
        .uri(path)
        .header(HOST, address.to_string())
        .header(RELAYED_BY, relayed_by);
    for name in FORWARDED_HEADERS {
        for value in head.headers.get_all(name) {
            builder = builder.header(name, value);
        }
    }
    builder.body(Full::new(body)).map_err(error)
}

/// Copies the other daemon's response with the headers that are meant for the caller.
fn caller_response(response: Response<Incoming>, driver: AbortOnDropHandle<()>) -> Response<Body> {
    let (head, incoming) = response.into_parts();
    let body = incoming
        .map_err(|error| body::Error { message: CompactString::new(error.to_string()) })
        .boxed_unsync();
    // The connection task must run until the body has been read.
    let mut response = Response::new(body::guard(body, driver));
    *response.status_mut() = head.status;
    let returned = [
        CONTENT_TYPE.as_str(),
        CONTENT_LENGTH.as_str(),
        RETRY_AFTER.as_str(),
        request::REQUEST_ID,
        REQUEST_OUTCOME,
    ];
    for name in returned {
        let value: Option<&HeaderValue> = head.headers.get(name);
        if let Some(value) = value {
            let name = hyper::header::HeaderName::from_static(name);
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

fn error(error: impl std::fmt::Display) -> Error {
    Error { exited: false, message: format_compact!("{error}") }
}
