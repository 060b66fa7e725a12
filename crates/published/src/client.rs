//! Reads single values of the platform's configuration service.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::{HeaderMap, Request, StatusCode, Uri, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time::timeout;

use crate::Key;

/// The maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// The response header with the index of a value.
const INDEX_HEADER: &str = "x-consul-index";

/// A position in the platform's history. A watch waits for an index higher than the one that it was
/// given.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct Index(pub u64);

impl Index {
    /// The response had no index, so the value can't be watched.
    pub const NONE: Self = Self(0);
}

/// A value as the platform returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// The index at which the value was read, or [`Index::NONE`].
    pub index: Index,
    /// The bytes, or `None` if nothing is published under the key.
    pub bytes: Option<Bytes>,
}

/// Why a read failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The connection or the exchange failed.
    #[display("the platform cannot be reached: {_0}")]
    Unreachable(#[error(not(source))] CompactString),
    /// No response, or no further part of it, arrived within this time.
    #[display("the platform did not respond within {} ms", _0.as_millis())]
    Timeout(#[error(not(source))] Duration),
    /// The call limit is exceeded. Holds the delay of the `Retry-After` header, if there is one.
    #[display("the platform's call limit is exceeded")]
    RateLimited(#[error(not(source))] Option<Duration>),
    /// The response has an unexpected status.
    #[display("the platform responded with status {_0}")]
    Status(#[error(not(source))] StatusCode),
    /// The response has no valid index.
    #[display("the platform's response has no index")]
    MissingIndex,
    /// The value is larger than [`MAX_VALUE_BYTES`].
    #[display("the platform's value has more than {MAX_VALUE_BYTES} bytes")]
    TooLarge,
}

/// An HTTP client of the platform's configuration service.
#[derive(Debug, Clone)]
pub struct Client {
    http: Http<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
    prefix: CompactString,
    timeout: Duration,
}

impl Client {
    /// A client of the service at `address`, with all keys below `prefix`.
    ///
    /// `timeout` bounds the time to the head of a response, on top of the time that a watch waits, and
    /// the time to each part of its body.
    pub fn new(address: SocketAddr, prefix: &str, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        let http = Http::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(Key::ALL.len())
            .build(connector);
        Self { http, address, prefix: CompactString::new(prefix.trim_matches('/')), timeout }
    }

    /// Reads the current value without waiting.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn read(&self, key: Key) -> Result<Value, Error> {
        let uri = format!("http://{}/v1/kv/{}/{key}?raw", self.address, self.prefix);
        self.get(&uri, self.timeout).await
    }

    /// Waits up to `wait` for an index higher than `seen`, then reads the value.
    ///
    /// Returns a value with the index `seen` if nothing changed.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn watch(&self, key: Key, seen: Index, wait: Duration) -> Result<Value, Error> {
        let uri = format!(
            "http://{}/v1/kv/{}/{key}?raw&index={seen}&wait={}ms",
            self.address,
            self.prefix,
            wait.as_millis()
        );
        self.get(&uri, wait + self.timeout).await
    }

    async fn get(&self, uri: &str, head_timeout: Duration) -> Result<Value, Error> {
        let uri: Uri = uri.parse().map_err(unreachable)?;
        let request = Request::get(uri).body(Empty::new()).map_err(unreachable)?;
        let response = timeout(head_timeout, self.http.request(request)).await;
        let response = response.map_err(|_| Error::Timeout(head_timeout))?.map_err(unreachable)?;
        let (head, body) = response.into_parts();
        match head.status {
            StatusCode::OK => {
                let index = index(&head.headers)?;
                let bytes = self.collect(body).await?;
                Ok(Value { index, bytes: Some(bytes) })
            }
            StatusCode::NOT_FOUND => {
                let index = index(&head.headers).unwrap_or(Index::NONE);
                Ok(Value { index, bytes: None })
            }
            StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited(retry_after(&head.headers))),
            status => Err(Error::Status(status)),
        }
    }

    /// Reads a body to its end, as long as its parts arrive in time.
    async fn collect(&self, body: Incoming) -> Result<Bytes, Error> {
        let mut body = Limited::new(body, MAX_VALUE_BYTES);
        let mut collected = BytesMut::new();
        loop {
            let frame = timeout(self.timeout, body.frame()).await;
            let Some(frame) = frame.map_err(|_| Error::Timeout(self.timeout))? else {
                return Ok(collected.freeze());
            };
            if let Ok(data) = frame.map_err(|error| body_error(&*error))?.into_data() {
                collected.extend_from_slice(&data);
            }
        }
    }
}

fn index(headers: &HeaderMap) -> Result<Index, Error> {
    let text = headers.get(INDEX_HEADER).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).ok_or(Error::MissingIndex)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

fn unreachable(error: impl std::error::Error) -> Error {
    Error::Unreachable(compact_str::format_compact!("{error}"))
}

fn body_error(error: &(dyn std::error::Error + Send + Sync + 'static)) -> Error {
    if error.is::<LengthLimitError>() {
        return Error::TooLarge;
    }
    Error::Unreachable(compact_str::format_compact!("{error}"))
}
