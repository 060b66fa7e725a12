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
use self::exchange::{CallError, Response, call};
use crate::{
    check,
    error::Kind,
    histogram, outcome,
    quarantine::{self, Fingerprint},
    readiness::Readiness,
    status::Fleet,
};

const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of the administration API. It tries its servers in turn until one of them responds.
#[derive(Clone)]
pub struct Client {
    servers: Arc<[SocketAddr]>,
    authorization: Option<HeaderValue>,
    timeout: Duration,
}

impl Client {
    /// A client of these servers that sends no key.
    pub fn new(servers: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self { servers: servers.into(), authorization: None, timeout: DEFAULT_RESPONSE_TIMEOUT }
    }

    /// Sets the operator's key.
    ///
    /// # Errors
    ///
    /// Fails if the key is not a valid header value.
    pub fn key(mut self, key: &str) -> Result<Self, Error> {
        let mut value =
            HeaderValue::try_from(format!("Bearer {key}")).map_err(|_| Error::InvalidKey)?;
        value.set_sensitive(true);
        self.authorization = Some(value);
        Ok(self)
    }

    /// Sets the time limit for connecting to one server, and again for its response.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// The status of the fleet.
    ///
    /// # Errors
    ///
    /// Fails if no server gives a valid response.
    pub async fn status(&self) -> Result<Fleet, Error> {
        self.get("/v1/status").await
    }

    /// The service orders in force.
    ///
    /// # Errors
    ///
    /// Fails if no server gives a valid response.
    pub async fn orders(&self) -> Result<order::State, Error> {
        self.get("/v1/orders").await
    }

    /// The histograms of the fleet that match a filter.
    ///
    /// # Errors
    ///
    /// Fails if no server gives a valid response.
    pub async fn histograms(&self, filter: &histogram::Filter) -> Result<histogram::Report, Error> {
        self.get(&format!("/v1/histograms?{filter}")).await
    }

    /// The quarantined requests.
    ///
    /// # Errors
    ///
    /// Fails if no server gives a valid response.
    pub async fn quarantine(&self) -> Result<quarantine::Report, Error> {
        self.get("/v1/quarantine").await
    }

    /// The readiness of the first server that responds.
    ///
    /// # Errors
    ///
    /// Fails if no server gives a valid response.
    pub async fn readiness(&self) -> Result<Readiness, Error> {
        let response = self.send_repeatable(&Method::GET, "/readyz", &Bytes::new()).await?;
        response.parse(&[StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE])
    }

    /// The document in force, byte for byte as published.
    ///
    /// # Errors
    ///
    /// Fails if no server gives a valid response.
    pub async fn document(&self) -> Result<Bytes, Error> {
        let response = self.send_repeatable(&Method::GET, "/v1/document", &Bytes::new()).await?;
        response.expect_status(&[StatusCode::OK])?;
        Ok(response.body)
    }

    /// Checks a document without publishing it.
    ///
    /// # Errors
    ///
    /// Fails if no server gives a valid response.
    pub async fn check(&self, document: Bytes) -> Result<check::Report, Error> {
        let response = self.send_repeatable(&Method::POST, "/v1/document/check", &document).await?;
        response.parse(&[StatusCode::OK])
    }

    /// Sends a service order. With `if_revision`, the order is only applied while that revision is
    /// in force.
    ///
    /// # Errors
    ///
    /// Fails if no server gives a valid response. After [`Error::Unknown`] the order may be in
    /// force.
    pub async fn apply_order(
        &self,
        target: order::Target,
        out: bool,
        if_revision: Option<Revision>,
    ) -> Result<outcome::Order, Error> {
        let order = order::Order { target, out, if_revision };
        let body = serde_json::to_vec(&order).expect("an order is serializable").into();
        let response = self.send_once(&Method::POST, "/v1/orders", &body).await?;
        let expected = [
            StatusCode::OK,
            StatusCode::CONFLICT,
            StatusCode::NOT_FOUND,
            StatusCode::GATEWAY_TIMEOUT,
        ];
        match response.parse(&expected) {
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
    /// Fails if no server gives a valid response.
    pub async fn release(&self, fingerprint: Fingerprint) -> Result<quarantine::Release, Error> {
        let path = format!("/v1/quarantine/{fingerprint}");
        let response = self.send_repeatable(&Method::DELETE, &path, &Bytes::new()).await?;
        response.parse(&[StatusCode::OK, StatusCode::NOT_FOUND])
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.send_repeatable(&Method::GET, path, &Bytes::new()).await?.parse(&[StatusCode::OK])
    }

    /// Tries the servers in turn. Several of them may receive the request.
    async fn send_repeatable(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<Response, Error> {
        let mut failures = Vec::new();
        for &server in self.servers.iter() {
            let request = self.request(server, method, path, body);
            match call(server, request, self.timeout).await {
                Ok(response) => return Ok(response),
                Err(CallError::BeforeSending(message) | CallError::AfterSending(message)) => {
                    failures.push((server, message));
                }
            }
        }
        Err(Error::Unreachable(Failures(failures)))
    }

    /// Tries the servers in turn. At most one of them receives the request.
    async fn send_once(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<Response, Error> {
        let mut failures = Vec::new();
        for &server in self.servers.iter() {
            let request = self.request(server, method, path, body);
            match call(server, request, self.timeout).await {
                Ok(response) => return Ok(response),
                Err(CallError::BeforeSending(message)) => failures.push((server, message)),
                Err(CallError::AfterSending(message)) => {
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
