//! One request to one server, and its response.

use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use super::Error;

const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The error of a call, by whether the server may have received the request.
pub(super) enum CallError {
    /// No byte of the request was sent.
    BeforeSending(CompactString),
    /// The request may have been sent, at least partially.
    AfterSending(CompactString),
}

/// A complete response of a server.
pub(super) struct Response {
    pub(super) server: SocketAddr,
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

/// Sends a request to a server and reads the complete response. The time limit applies to
/// connecting and to the exchange separately.
pub(super) async fn call(
    server: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response, CallError> {
    let timed_out = || format_compact!("no response within {} ms", timeout.as_millis());
    let connect = tokio::time::timeout(timeout, TcpStream::connect(server)).await;
    let stream = connect
        .map_err(|_| CallError::BeforeSending(timed_out()))?
        .map_err(|error| CallError::BeforeSending(format_compact!("{error}")))?;
    let exchange = tokio::time::timeout(timeout, exchange(stream, request)).await;
    let (status, body) = exchange
        .map_err(|_| CallError::AfterSending(timed_out()))?
        .map_err(|error| CallError::AfterSending(format_compact!("{error}")))?;
    Ok(Response { server, status, body })
}

type ExchangeError = Box<dyn std::error::Error + Send + Sync>;

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), ExchangeError> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let response = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?;
        Ok((status, body.to_bytes()))
    };
    // The connection makes progress only while it is polled concurrently with the exchange.
    let mut response = pin!(response);
    tokio::select! {
        response = response.as_mut() => response,
        ended = connection => {
            ended?;
            response.await
        }
    }
}

impl Response {
    /// Parses the body if the status code is one of the expected codes.
    pub(super) fn parse<T: DeserializeOwned>(&self, expected: &[StatusCode]) -> Result<T, Error> {
        match serde_json::from_slice(&self.body) {
            Ok(value) if expected.contains(&self.status) => Ok(value),
            parsed => {
                self.check_refused()?;
                let reason = match parsed {
                    Ok(_) => CompactString::default(),
                    Err(error) => format_compact!(": {error}"),
                };
                Err(self.malformed(format_compact!("status {}{reason}", self.status)))
            }
        }
    }

    pub(super) fn expect_status(&self, expected: &[StatusCode]) -> Result<(), Error> {
        if expected.contains(&self.status) {
            return Ok(());
        }
        self.check_refused()?;
        Err(self.malformed(format_compact!("status {}", self.status)))
    }

    /// Fails with [`Error::Refused`] if the body is an error of the API.
    fn check_refused(&self) -> Result<(), Error> {
        match serde_json::from_slice(&self.body) {
            Ok(error) => Err(Error::Refused { server: self.server, error }),
            Err(_) => Ok(()),
        }
    }

    fn malformed(&self, message: CompactString) -> Error {
        Error::Malformed { server: self.server, message }
    }
}
