//! Baselines for measurements: simple load balancers that serve the same callers as the product.
//!
//! A baseline counts its connections to each backend server, avoids a failed one for a while,
//! retries idempotent requests on another one, and forwards streams as they arrive. It has neither
//! tiers nor cold start limits nor communication between daemons.

mod balancer;
mod exchange;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Result, anyhow};
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use hyssop_document::{collections::Set, load, model::Document, name};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::Instant;

use self::{balancer::Balancer, exchange::Exchange};
use crate::listener::{self, Body, Handler, Listener};

/// How a baseline chooses a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// A random backend server, without a connection limit.
    Random,
    /// The backend server with the fewest connections from this daemon. When all are at their warm
    /// limit, the request waits in the daemon's single FIFO queue.
    LeastConnections,
}

/// The settings of a baseline daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settings {
    /// How the daemon chooses a backend server.
    pub strategy: Strategy,
    /// The document, as JSON.
    pub document: Value,
    /// The listen address for callers.
    pub caller: SocketAddr,
    /// The listen address for operators and control calls.
    pub operator: SocketAddr,
    /// The caller addresses of all daemons.
    pub all: Vec<SocketAddr>,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// A running baseline daemon.
#[derive(Debug)]
pub struct Daemon {
    _caller: Listener,
    _operator: Listener,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    document: Document,
    balancer: Arc<Balancer>,
}

impl Daemon {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Fails if the document is not valid or an address cannot be bound.
    pub async fn start(settings: Settings) -> Result<Self> {
        let bytes = settings.document.to_string();
        let checked = load::parse(bytes.as_bytes()).map_err(|faults| anyhow!("{faults:?}"))?;
        let document = checked.document;
        let balancer = Arc::new(Balancer::new(&settings, &document));
        let (caller, operator) = (settings.caller, settings.operator);
        let shared = Arc::new(Shared { settings, document, balancer });
        Ok(Self {
            _caller: Listener::start(caller, Arc::new(CallerHandler(shared.clone()))).await?,
            _operator: Listener::start(operator, Arc::new(OperatorHandler(shared))).await?,
        })
    }
}

impl Shared {
    fn addresses(&self) -> Response<Body> {
        let entry =
            |address: &SocketAddr| json!({"address": address, "incarnation": "0000000000000000"});
        let addresses: Vec<_> = self.settings.all.iter().map(entry).collect();
        listener::json(&json!({"lifetime_ms": 60_000, "addresses": addresses}))
    }

    async fn route(&self, path: &str, headers: &HeaderMap, body: Bytes) -> Response<Body> {
        let Some(mut exchange) = self.exchange(path, headers, body) else {
            return outcome("failed", "ran", "bad request");
        };
        let limit = exchange.deadline;
        let result = tokio::time::timeout_at(limit, exchange.run(&self.balancer)).await;
        match result {
            Ok(response) => response,
            Err(_) if exchange.dispatched => outcome("unknown", "may_have_run", "deadline"),
            Err(_) => outcome("refused", "not_run", "deadline"),
        }
    }

    fn exchange(&self, path: &str, headers: &HeaderMap, body: Bytes) -> Option<Exchange> {
        let header = |name: &str| headers.get(name)?.to_str().ok();
        let class = header("request-class")?;
        let class = self.document.classes.iter().find(|entry| entry.name.as_str() == class)?;
        let seconds: f64 = header("prefer")?.strip_prefix("wait=")?.parse().ok()?;
        let deadline = Instant::now() + Duration::from_secs_f64(seconds);
        let id = header("idempotency-key")?.into();
        let (pool, path) = match path.strip_prefix("/v1/services/") {
            Some(rest) => {
                let (service, path) = rest.split_once('/')?;
                (service.to_owned(), format!("/{path}"))
            }
            None => {
                let value: Value = serde_json::from_slice(&body).ok()?;
                (value["model"].as_str()?.to_owned(), path.to_owned())
            }
        };
        let pool: name::Pool = pool.parse().ok()?;
        Some(Exchange {
            pool,
            path,
            id,
            body,
            idempotent: class.idempotent,
            deadline,
            dispatched: false,
        })
    }
}

/// An outcome without a response from a backend server, in the product's JSON format.
fn outcome(outcome: &str, ran: &str, reason: &str) -> Response<Body> {
    let value = json!({"outcome": outcome, "ran": ran, "reason": reason, "retry_after_ms": 1_000});
    let mut response = listener::json(&value);
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

#[derive(Debug)]
struct CallerHandler(Arc<Shared>);

impl Handler for CallerHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        async move {
            let (head, body) = request.into_parts();
            let path = head.uri.path();
            if path == "/v1/addresses" {
                return self.0.addresses();
            }
            match body.collect().await {
                Ok(body) => self.0.route(path, &head.headers, body.to_bytes()).await,
                Err(_) => outcome("refused", "not_run", "body"),
            }
        }
        .boxed()
    }
}

/// Serves `/readyz`, and `PUT /control/zones-out` with a JSON list of availability zones.
#[derive(Debug)]
struct OperatorHandler(Arc<Shared>);

impl Handler for OperatorHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        async move {
            if request.uri().path() == "/control/zones-out" {
                let Ok(body) = request.into_body().collect().await else {
                    return listener::text(StatusCode::BAD_REQUEST, "body");
                };
                match serde_json::from_slice::<Set<name::Zone>>(&body.to_bytes()) {
                    Ok(zones) => self.0.balancer.set_zones_out(zones),
                    Err(error) => {
                        return listener::text(StatusCode::BAD_REQUEST, error.to_string());
                    }
                }
            }
            listener::text(StatusCode::OK, "")
        }
        .boxed()
    }
}
