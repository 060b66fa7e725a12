//! Baselines for measurements: simple routers that serve the same callers as the product.
//!
//! A baseline keeps a connection count for each backend server, passes over one that failed for a
//! while, repeats idempotent requests on another, and forwards a stream as it comes. It has no
//! knowledge of tiers, cold starts and other daemons.

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
    /// Any one, at once.
    Random,
    /// The one with the fewest connections of this daemon. When all are at their warm limit, the
    /// request waits in the daemon's one queue, first in, first out.
    LeastConnections,
}

/// The settings of a baseline's daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settings {
    /// How it chooses.
    pub strategy: Strategy,
    /// The document.
    pub document: Value,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for control.
    pub operator: SocketAddr,
    /// The addresses of all daemons for callers.
    pub all: Vec<SocketAddr>,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// The daemon of a baseline.
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
    /// Fails if an address cannot be bound.
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

/// An outcome that is no answer, in the product's form.
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

/// Answers `/readyz`, and `PUT /control/zones-out` with a JSON list of availability zones.
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
