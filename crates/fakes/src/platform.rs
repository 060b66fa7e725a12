//! Fake platform: the read-only part of Consul's KV API, with injected faults.
//!
//! The control listener sets values and faults:
//!
//! - `PUT /control/kv/KEY`: publishes the body under the key at the next revision.
//! - `PUT /control/kv`: publishes a JSON object of keys and texts, all at the next revision.
//! - `PUT /control/limit`: sets the maximum number of calls per second.
//! - `PUT /control/outage`: `none`, `error` (status 500) or `hang`.
//! - `PUT /control/stale`: the latest revision that is served, or `none`.
//! - `GET /control/calls`: the call counters.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use hyssop_document::collections::Map;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

use crate::listener::{self, Body, Handler, Listener};

/// The default limit of calls per second.
pub const DEFAULT_CALLS_PER_S: u64 = 2_000;

const RATE_WINDOW: Duration = Duration::from_secs(1);
const MAX_WATCH_WAIT: Duration = Duration::from_secs(600);

/// The kind of outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Outage {
    /// All calls are served.
    #[default]
    None,
    /// Every call fails with status 500.
    Error,
    /// No call gets a response.
    Hang,
}

/// Call counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// All calls.
    pub total: u64,
    /// Calls rejected with status 429.
    pub limited: u64,
    /// Blocking queries that are waiting now.
    pub waiting: u64,
    /// The maximum load: calls in the current rate window plus waiting blocking queries.
    pub peak: u64,
}

#[derive(Debug, Clone)]
struct Version {
    index: u64,
    value: Bytes,
}

#[derive(Debug)]
struct State {
    values: Map<String, Vec<Version>>,
    index: u64,
    stale: Option<u64>,
    outage: Outage,
    limit: u64,
    calls: Calls,
    window_start: Instant,
    window_calls: u64,
}

impl State {
    /// The value of a key that is currently served, and its revision. A key without a value has the
    /// revision of the whole store.
    fn look_up(&self, key: &str) -> (Option<Bytes>, u64) {
        let max_index = self.stale.unwrap_or(u64::MAX);
        let versions = self.values.get(key).into_iter().flatten();
        match versions.rev().find(|version| version.index <= max_index) {
            Some(version) => (Some(version.value.clone()), version.index),
            None => (None, self.index.min(max_index).max(1)),
        }
    }

    /// Counts a call. Returns whether it is within the limit.
    fn admit(&mut self, now: Instant) -> bool {
        if now - self.window_start >= RATE_WINDOW {
            self.window_start = now;
            self.window_calls = 0;
        }
        self.calls.total += 1;
        self.window_calls += 1;
        let load = self.window_calls + self.calls.waiting;
        self.calls.peak = self.calls.peak.max(load);
        let admitted = load <= self.limit;
        self.calls.limited += u64::from(!admitted);
        admitted
    }
}

/// A running fake platform.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    listener: Listener,
    control: Listener,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Platform {
    /// Starts the platform with its read listener and its control listener.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(address: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let state = State {
            values: Map::default(),
            index: 0,
            stale: None,
            outage: Outage::None,
            limit: DEFAULT_CALLS_PER_S,
            calls: Calls::default(),
            window_start: Instant::now(),
            window_calls: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: watch::Sender::new(0) });
        let listener = Listener::start(address, Arc::new(ReadHandler(shared.clone()))).await?;
        let control = Listener::start(control, Arc::new(ControlHandler(shared.clone()))).await?;
        Ok(Self { shared, listener, control })
    }

    /// The address of the read listener.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// The address of the control listener.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Publishes a value and returns its new revision.
    pub fn publish(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        self.shared.publish(std::iter::once((key.to_owned(), value.into())))
    }

    /// Sets the kind of outage.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.change(|state| state.outage = outage);
    }

    /// Limits the served values to revision `index`, or removes the limit.
    pub fn set_stale(&self, index: Option<u64>) {
        self.shared.change(|state| state.stale = index);
    }

    /// The call counters.
    pub fn calls(&self) -> Calls {
        self.shared.state.lock().calls
    }
}

impl Shared {
    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock());
        self.changed.send_modify(|changes| *changes += 1);
    }

    /// Publishes values at the same new revision.
    fn publish(&self, values: impl Iterator<Item = (String, Bytes)>) -> u64 {
        let mut index = 0;
        self.change(|state| {
            state.index += 1;
            index = state.index;
            for (key, value) in values {
                state.values.entry(key).or_default().push(Version { index, value });
            }
        });
        index
    }

    async fn read(&self, key: &str, query: &Query) -> Response<Body> {
        {
            let mut state = self.state.lock();
            if !state.admit(Instant::now()) {
                return rate_limited();
            }
        }
        let mut changed = self.changed.subscribe();
        let end = Instant::now() + query.wait;
        let _waiting = query.index.map(|_| WaitingGuard::new(self));
        loop {
            changed.mark_unchanged();
            let outage = self.state.lock().outage;
            match outage {
                Outage::Error => {
                    return listener::text(StatusCode::INTERNAL_SERVER_ERROR, "outage");
                }
                Outage::Hang => {
                    _ = changed.changed().await;
                    continue;
                }
                Outage::None => {}
            }
            let (served, index) = self.state.lock().look_up(key);
            let fresh = query.index.is_none_or(|seen| index > seen);
            if fresh || Instant::now() >= end {
                return value_response(served, index);
            }
            _ = tokio::time::timeout_at(end, changed.changed()).await;
        }
    }
}

/// Counts a blocking query while it waits.
struct WaitingGuard<'a>(&'a Shared);

impl<'a> WaitingGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.state.lock().calls.waiting += 1;
        Self(shared)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.state.lock().calls.waiting -= 1;
    }
}

fn rate_limited() -> Response<Body> {
    let mut response = listener::text(StatusCode::TOO_MANY_REQUESTS, "too many calls");
    response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    response
}

fn value_response(value: Option<Bytes>, index: u64) -> Response<Body> {
    let mut response = match value {
        Some(value) => listener::text(StatusCode::OK, value),
        None => listener::text(StatusCode::NOT_FOUND, ""),
    };
    response.headers_mut().insert("X-Consul-Index", header::HeaderValue::from(index));
    response
}

#[derive(Debug)]
struct Query {
    index: Option<u64>,
    wait: Duration,
}

impl Query {
    fn parse(text: &str) -> Self {
        let mut query = Self { index: None, wait: Duration::from_secs(300) };
        for pair in text.split('&') {
            match pair.split_once('=') {
                Some(("index", index)) => query.index = index.parse().ok(),
                Some(("wait", wait)) => query.wait = parse_wait(wait).unwrap_or(query.wait),
                _ => {}
            }
        }
        query.index = query.index.filter(|&index| index > 0);
        query.wait = query.wait.min(MAX_WATCH_WAIT);
        query
    }
}

fn parse_wait(text: &str) -> Option<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?.parse().ok().map(Duration::from_secs)
}

#[derive(Debug)]
struct ReadHandler(Arc<Shared>);

impl Handler for ReadHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        async move {
            let Some(key) = request.uri().path().strip_prefix("/v1/kv/") else {
                return listener::text(StatusCode::NOT_FOUND, "");
            };
            if request.method() != Method::GET {
                return listener::text(StatusCode::METHOD_NOT_ALLOWED, "read only");
            }
            let query = Query::parse(request.uri().query().unwrap_or_default());
            self.0.read(key, &query).await
        }
        .boxed()
    }
}

#[derive(Debug)]
struct ControlHandler(Arc<Shared>);

impl Handler for ControlHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        async move {
            let path = request.uri().path().to_owned();
            let Ok(body) = request.into_body().collect().await else {
                return listener::text(StatusCode::BAD_REQUEST, "body");
            };
            let body = body.to_bytes();
            if let Some(key) = path.strip_prefix("/control/kv/") {
                let value = std::iter::once((key.to_owned(), body));
                return listener::json(&self.0.publish(value));
            }
            if path == "/control/kv" {
                let Ok(values) = serde_json::from_slice::<Map<String, String>>(&body) else {
                    return listener::text(StatusCode::BAD_REQUEST, "body");
                };
                let values = values.into_iter().map(|(key, value)| (key, Bytes::from(value)));
                return listener::json(&self.0.publish(values));
            }
            let text = String::from_utf8_lossy(&body);
            match path.as_str() {
                "/control/calls" => return listener::json(&self.0.state.lock().calls),
                "/control/limit" => {
                    self.0.change(|state| state.limit = text.parse().unwrap_or(state.limit));
                }
                "/control/stale" => self.0.change(|state| state.stale = text.parse().ok()),
                "/control/outage" => self.0.change(|state| state.outage = parse_outage(&text)),
                _ => return listener::text(StatusCode::NOT_FOUND, ""),
            }
            listener::text(StatusCode::OK, "")
        }
        .boxed()
    }
}

fn parse_outage(text: &str) -> Outage {
    match text {
        "error" => Outage::Error,
        "hang" => Outage::Hang,
        _ => Outage::None,
    }
}
