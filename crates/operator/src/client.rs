//! The client of the administration API.

mod error;
mod exchange;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue},
};
use hyssop_document::{number::Revision, order};
use serde::de::DeserializeOwned;

pub use self::error::{Error, Failures};
use self::exchange::{Answer, Failed, call};
use crate::{
    check,
    error::Kind,
    histogram, outcome,
    quarantine::{self, Fingerprint},
    readiness::Readiness,
    status::Fleet,
};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Asks one of several servers: the first one that answers.
#[derive(Clone)]
pub struct Client {
    servers: Arc<[SocketAddr]>,
    authorization: Option<HeaderValue>,
    timeout: Duration,
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
            Err(Error::Refused { server, error }) if error.error == Kind::AnswerTimeout => {
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
            let request = self.request(server, method, path, body);
            match call(server, request, self.timeout).await {
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
            let request = self.request(server, method, path, body);
            match call(server, request, self.timeout).await {
                Ok(answer) => return Ok(answer),
                Err(Failed::BeforeSending(message)) => failures.push((server, message)),
                Err(Failed::AfterSending(message)) => {
                    return Err(Error::Unknown { server, message });
                }
            }
        }
        Err(Error::Unreachable(Failures(failures)))
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
