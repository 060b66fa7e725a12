//! One request to one server, and its answer.

use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use super::Error;

const MAX_ANSWER_BYTES: usize = 64 << 20;

/// How far a call came that failed.
pub(super) enum Failed {
    /// Nothing of the request was sent.
    BeforeSending(CompactString),
    /// The request was sent.
    AfterSending(CompactString),
}

/// An answer of a server.
pub(super) struct Answer {
    pub(super) server: SocketAddr,
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

/// Sends a request to a server and reads the whole answer.
pub(super) async fn call(
    server: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Answer, Failed> {
    let late = || format_compact!("no answer in {} ms", timeout.as_millis());
    let connect = tokio::time::timeout(timeout, TcpStream::connect(server)).await;
    let stream = connect
        .map_err(|_| Failed::BeforeSending(late()))?
        .map_err(|error| Failed::BeforeSending(format_compact!("{error}")))?;
    let exchange = tokio::time::timeout(timeout, exchange(stream, request)).await;
    let (status, body) = exchange
        .map_err(|_| Failed::AfterSending(late()))?
        .map_err(|error| Failed::AfterSending(format_compact!("{error}")))?;
    Ok(Answer { server, status, body })
}

type ExchangeError = Box<dyn std::error::Error + Send + Sync>;

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), ExchangeError> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let answer = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await?;
        Ok((status, body.to_bytes()))
    };
    // The connection only makes progress while it is polled beside the exchange.
    let mut answer = pin!(answer);
    tokio::select! {
        answer = answer.as_mut() => answer,
        ended = connection => {
            ended?;
            answer.await
        }
    }
}

impl Answer {
    /// The value of an answer with one of the expected status codes.
    pub(super) fn value<T: DeserializeOwned>(&self, expected: &[StatusCode]) -> Result<T, Error> {
        match serde_json::from_slice(&self.body) {
            Ok(value) if expected.contains(&self.status) => Ok(value),
            parsed => {
                self.refused()?;
                let reason = match parsed {
                    Ok(_) => CompactString::default(),
                    Err(error) => format_compact!(": {error}"),
                };
                Err(self.malformed(format_compact!("status {}{reason}", self.status)))
            }
        }
    }

    pub(super) fn expect(&self, expected: &[StatusCode]) -> Result<(), Error> {
        if expected.contains(&self.status) {
            return Ok(());
        }
        self.refused()?;
        Err(self.malformed(format_compact!("status {}", self.status)))
    }

    /// Fails if the answer carries an error of the API.
    fn refused(&self) -> Result<(), Error> {
        match serde_json::from_slice(&self.body) {
            Ok(error) => Err(Error::Refused { server: self.server, error }),
            Err(_) => Ok(()),
        }
    }

    fn malformed(&self, message: CompactString) -> Error {
        Error::Malformed { server: self.server, message }
    }
}
