//! The client of the administration API.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    client::conn::http1,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use hyssop_document::{number::Revision, order};
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::{
    check, error, histogram, outcome,
    quarantine::{self, Fingerprint},
    readiness::Readiness,
    status::Fleet,
};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// No server could be reached, and nothing was carried out.
    #[display("no server answered: {_0}")]
    Unreachable(#[error(not(source))] Failures),
    /// The order was sent, but the answer did not come. It may have been carried out.
    #[display("{server} got the order but did not answer, so it may be in force: {message}")]
    Unknown {
        /// The server.
        server: SocketAddr,
        /// What happened.
        message: CompactString,
    },
    /// A server refused the request.
    #[display("{server} refused: {error}")]
    Refused {
        /// The server.
        server: SocketAddr,
        /// The reason.
        #[error(not(source))]
        error: error::Error,
    },
    /// A server answered something that is no answer of the API.
    #[display("{server} gave no proper answer: {message}")]
    Malformed {
        /// The server.
        server: SocketAddr,
        /// What was wrong.
        message: CompactString,
    },
    /// The key cannot be sent in a header.
    #[display("the key has a character that no header may have")]
    Key,
}

/// What went wrong at each server that was tried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failures(pub Vec<(SocketAddr, CompactString)>);

impl fmt::Display for Failures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (server, message)) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "; " };
            write!(f, "{separator}{server}: {message}")?;
        }
        Ok(())
    }
}

/// Asks one of several servers: the first one that answers.
#[derive(Clone)]
pub struct Client {
    servers: Arc<[SocketAddr]>,
    authorization: Option<HeaderValue>,
    timeout: Duration,
}

/// How far a call came that failed.
enum Failed {
    /// Nothing of the request was sent.
    BeforeSending(CompactString),
    /// The request was sent.
    AfterSending(CompactString),
}

/// An answer of a server.
struct Answer {
    server: SocketAddr,
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// A client of these servers, which presents no key.
    pub fn new(servers: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self { servers: servers.into(), authorization: None, timeout: DEFAULT_TIMEOUT }
    }

    /// Sets the key to present.
    ///
    /// # Errors
    ///
    /// Fails if the key cannot be sent in a header.
    pub fn key(mut self, key: &str) -> Result<Self, Error> {
        let mut value = HeaderValue::try_from(format!("Bearer {key}")).map_err(|_| Error::Key)?;
        value.set_sensitive(true);
        self.authorization = Some(value);
        Ok(self)
    }

    /// Sets the time after which the next server is tried.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// The status of the fleet.
    ///
    /// # Errors
    ///
    /// Fails if no server answers properly.
    pub async fn status(&self) -> Result<Fleet, Error> {
        self.get("/v1/status").await
    }

    /// The service orders in force.
    ///
    /// # Errors
    ///
    /// Fails if no server answers properly.
    pub async fn orders(&self) -> Result<order::State, Error> {
        self.get("/v1/orders").await
    }

    /// The histograms of the fleet that a filter lets through.
    ///
    /// # Errors
    ///
    /// Fails if no server answers properly.
    pub async fn histograms(&self, filter: &histogram::Filter) -> Result<histogram::Report, Error> {
        self.get(&format!("/v1/histograms?{filter}")).await
    }

    /// The quarantined requests.
    ///
    /// # Errors
    ///
    /// Fails if no server answers properly.
    pub async fn quarantine(&self) -> Result<quarantine::Report, Error> {
        self.get("/v1/quarantine").await
    }

    /// Whether the first server that answers is ready.
    ///
    /// # Errors
    ///
    /// Fails if no server answers properly.
    pub async fn readiness(&self) -> Result<Readiness, Error> {
        let answer = self.ask(&Method::GET, "/readyz", &Bytes::new()).await?;
        answer.value(&[StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE])
    }

    /// The document in force, as it was published.
    ///
    /// # Errors
    ///
    /// Fails if no server answers properly.
    pub async fn document(&self) -> Result<Bytes, Error> {
        let answer = self.ask(&Method::GET, "/v1/document", &Bytes::new()).await?;
        answer.expect(&[StatusCode::OK])?;
        Ok(answer.body)
    }

    /// Checks a document without publishing it.
    ///
    /// # Errors
    ///
    /// Fails if no server answers properly.
    pub async fn check(&self, document: Bytes) -> Result<check::Report, Error> {
        let answer = self.ask(&Method::POST, "/v1/document/check", &document).await?;
        answer.value(&[StatusCode::OK])
    }

    /// Gives an order, which only applies while `if_revision` is in force.
    ///
    /// # Errors
    ///
    /// Fails if no server answers properly. [`Error::Unknown`] tells that the order may be in
    /// force all the same.
    pub async fn order(
        &self,
        target: order::Target,
        out: bool,
        if_revision: Option<Revision>,
    ) -> Result<outcome::Order, Error> {
        let order = order::Order { target, out, if_revision };
        let body = serde_json::to_vec(&order).expect("an order is serializable").into();
        let answer = self.change(&Method::POST, "/v1/orders", &body).await?;
        let expected = [
            StatusCode::OK,
            StatusCode::CONFLICT,
            StatusCode::NOT_FOUND,
            StatusCode::GATEWAY_TIMEOUT,
        ];
        match answer.value(&expected) {
            Err(Error::Refused { server, error }) if error.error == error::Kind::AnswerTimeout => {
                Err(Error::Unknown { server, message: error.message })
            }
            outcome => outcome,
        }
    }

    /// Ends the quarantine of a request.
    ///
    /// # Errors
    ///
    /// Fails if no server answers properly.
    pub async fn release(&self, fingerprint: Fingerprint) -> Result<quarantine::Release, Error> {
        let path = format!("/v1/quarantine/{fingerprint}");
        let answer = self.ask(&Method::DELETE, &path, &Bytes::new()).await?;
        answer.value(&[StatusCode::OK, StatusCode::NOT_FOUND])
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.ask(&Method::GET, path, &Bytes::new()).await?.value(&[StatusCode::OK])
    }

    /// Asks the servers in turn; the request may reach several of them.
    async fn ask(&self, method: &Method, path: &str, body: &Bytes) -> Result<Answer, Error> {
        let mut failures = Vec::new();
        for &server in self.servers.iter() {
            match self.call(server, method, path, body).await {
                Ok(answer) => return Ok(answer),
                Err(Failed::BeforeSending(message) | Failed::AfterSending(message)) => {
                    failures.push((server, message));
                }
            }
        }
        Err(Error::Unreachable(Failures(failures)))
    }

    /// Asks the servers in turn; the request reaches at most one of them.
    async fn change(&self, method: &Method, path: &str, body: &Bytes) -> Result<Answer, Error> {
        let mut failures = Vec::new();
        for &server in self.servers.iter() {
            match self.call(server, method, path, body).await {
                Ok(answer) => return Ok(answer),
                Err(Failed::BeforeSending(message)) => failures.push((server, message)),
                Err(Failed::AfterSending(message)) => {
                    return Err(Error::Unknown { server, message });
                }
            }
        }
        Err(Error::Unreachable(Failures(failures)))
    }

    async fn call(
        &self,
        server: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<Answer, Failed> {
        let late = || format_compact!("no answer in {} ms", self.timeout.as_millis());
        let connect = tokio::time::timeout(self.timeout, TcpStream::connect(server)).await;
        let stream = connect
            .map_err(|_| Failed::BeforeSending(late()))?
            .map_err(|error| Failed::BeforeSending(format_compact!("{error}")))?;
        let request = self.request(server, method, path, body);
        let exchange = tokio::time::timeout(self.timeout, exchange(stream, request)).await;
        let (status, body) = exchange
            .map_err(|_| Failed::AfterSending(late()))?
            .map_err(|error| Failed::AfterSending(format_compact!("{error}")))?;
        Ok(Answer { server, status, body })
    }

    fn request(
        &self,
        server: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, server.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.clone()))
            .expect("the paths of the API are valid");
        if let Some(authorization) = &self.authorization {
            request.headers_mut().insert(AUTHORIZATION, authorization.clone());
        }
        request
    }
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
    let mut answer = std::pin::pin!(answer);
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
    fn value<T: DeserializeOwned>(&self, expected: &[StatusCode]) -> Result<T, Error> {
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

    fn expect(&self, expected: &[StatusCode]) -> Result<(), Error> {
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
