//! Fake plain service, which records its executions.
//!
//! It handles `POST` on any path. The response body is a function of the path and the request body.
//! The control listener stays up while the service is down:
//!
//! - `PUT /control/crash`: crashes the service.
//! - `PUT /control/faults`: sets [`Faults`].
//! - `GET /control/record`: the [`Record`] of its executions.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use futures::{FutureExt, future::BoxFuture};
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use hyssop_document::digest::Digest;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::{
    engine::request_id,
    listener::{self, Body, Handler, Listener},
    record::{End, Execution, Record, unix_ms},
};

/// The settings of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name in the execution records.
    pub name: CompactString,
    /// The duration of an execution, in milliseconds.
    pub time_ms: u64,
    /// The time from a crash to the restart, in milliseconds.
    pub restart_ms: u64,
    /// The seed of the injected faults.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { name: "service".into(), time_ms: 5, restart_ms: 1_000, seed: 1 }
    }
}

/// Faults of a plain service. Except for `delay_ms`, each is a probability per call, 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The response is delayed.
    pub delay: f64,
    /// The duration of a delay, in milliseconds.
    pub delay_ms: u64,
    /// The service crashes after it executed the call and before it responds.
    pub crash: f64,
    /// The response has the request id of another call.
    pub cross: f64,
    /// The call is rejected with status 503 and not executed.
    pub refuse: f64,
}

/// The response body to a request with `body` on `path`.
pub fn expected_body(path: &str, body: &[u8]) -> String {
    format!("{{\"path\":\"{path}\",\"sha256\":\"{}\"}}", Digest::of(body))
}

/// A running fake service.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    control: Listener,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    record: Mutex<Record>,
    faults: Mutex<Faults>,
    random: Mutex<SmallRng>,
    started_ms: Mutex<u64>,
    running: Mutex<u32>,
    listener: Mutex<Option<Arc<Listener>>>,
}

impl Service {
    /// Starts the service with its request listener and its control listener.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(
        settings: Settings,
        address: SocketAddr,
        control: SocketAddr,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            record: Mutex::default(),
            faults: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
            started_ms: Mutex::new(unix_ms()),
            running: Mutex::new(0),
            listener: Mutex::default(),
            settings,
        });
        let listener = Listener::start(address, Arc::new(CallHandler(shared.clone()))).await?;
        *shared.listener.lock() = Some(Arc::new(listener));
        let control = Listener::start(control, Arc::new(ControlHandler(shared.clone()))).await?;
        Ok(Self { shared, control })
    }

    /// The address of the request listener.
    pub fn address(&self) -> SocketAddr {
        let listener = self.shared.listener.lock();
        listener.as_ref().expect("start() sets the listener").address()
    }

    /// The address of the control listener.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// The executions of all incarnations.
    pub fn record(&self) -> Record {
        self.shared.record.lock().clone()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock() = faults;
    }

    /// Crashes the service, which restarts after `restart_ms`.
    pub fn crash(&self) {
        self.shared.crash();
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        *self.shared.listener.lock() = None;
    }
}

impl Shared {
    fn fault_occurs(&self, probability: f64) -> bool {
        probability > 0.0 && self.random.lock().random_bool(probability.min(1.0))
    }

    async fn execute(
        self: Arc<Self>,
        path: &str,
        id: CompactString,
        body: Bytes,
    ) -> Response<Body> {
        let faults = *self.faults.lock();
        if self.fault_occurs(faults.refuse) {
            self.record.lock().refused += 1;
            return listener::text(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let position = self.begin(id.clone(), &body);
        let _running = RunningGuard::new(&self.running);
        tokio::time::sleep(Duration::from_millis(self.settings.time_ms)).await;
        self.end(position);
        if self.fault_occurs(faults.delay) {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.fault_occurs(faults.crash) {
            self.crash();
            return std::future::pending().await;
        }
        let id = if self.fault_occurs(faults.cross) { "other".into() } else { id };
        let mut response = listener::text(StatusCode::OK, expected_body(path, &body));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("x-request-id", id.parse().expect("the id was read from a header"));
        response
    }

    /// Records the start of an execution. It runs to its end even if the client disconnects.
    fn begin(&self, request_id: CompactString, body: &[u8]) -> usize {
        let now = unix_ms();
        let mut record = self.record.lock();
        record.executions.push(Execution {
            backend: self.settings.name.clone(),
            request_id,
            content: Digest::of(body),
            priority: 0,
            arrived_ms: now,
            started_ms: Some(now),
            ended_ms: None,
            tokens: 0,
            end: End::Running,
        });
        record.executions.len() - 1
    }

    fn end(&self, position: usize) {
        let execution = &mut self.record.lock().executions[position];
        execution.ended_ms = Some(unix_ms());
        execution.end = End::Completed;
    }

    fn crash(self: &Arc<Self>) {
        let shared = self.clone();
        let Some(listener) = self.listener.lock().clone() else { return };
        listener.crash();
        self.record.lock().crashes += 1;
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(shared.settings.restart_ms)).await;
            *shared.started_ms.lock() = unix_ms();
            if listener.restart().await.is_err() {
                log::error!("cannot restart the service's listener name={}", shared.settings.name);
            }
        });
    }

    fn metrics(&self) -> Response<Body> {
        let started = *self.started_ms.lock() as f64 / 1_000.0;
        let running = *self.running.lock();
        let text = format!(
            "process_start_time_seconds {started:.3}\nvllm:num_requests_running {running}\n\
             vllm:num_requests_waiting 0\n"
        );
        listener::text(StatusCode::OK, text)
    }
}

/// Counts a call while it runs.
struct RunningGuard<'a>(&'a Mutex<u32>);

impl<'a> RunningGuard<'a> {
    fn new(count: &'a Mutex<u32>) -> Self {
        *count.lock() += 1;
        Self(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
    }
}

struct CallHandler(Arc<Shared>);

impl Handler for CallHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        async move {
            let (head, body) = request.into_parts();
            match head.method {
                Method::GET if head.uri.path() == "/metrics" => self.0.metrics(),
                Method::POST => match body.collect().await {
                    Ok(body) => {
                        let id = request_id(&head.headers);
                        self.0.clone().execute(head.uri.path(), id, body.to_bytes()).await
                    }
                    Err(_) => listener::text(StatusCode::BAD_REQUEST, "body"),
                },
                _ => listener::text(StatusCode::METHOD_NOT_ALLOWED, ""),
            }
        }
        .boxed()
    }
}

struct ControlHandler(Arc<Shared>);

impl Handler for ControlHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        async move {
            let path = request.uri().path().to_owned();
            let Ok(body) = request.into_body().collect().await else {
                return listener::text(StatusCode::BAD_REQUEST, "body");
            };
            match path.as_str() {
                "/control/record" => return listener::json(&*self.0.record.lock()),
                "/control/crash" => self.0.crash(),
                "/control/faults" => match serde_json::from_slice(&body.to_bytes()) {
                    Ok(faults) => *self.0.faults.lock() = faults,
                    Err(error) => {
                        return listener::text(StatusCode::BAD_REQUEST, error.to_string());
                    }
                },
                _ => return listener::text(StatusCode::NOT_FOUND, ""),
            }
            listener::text(StatusCode::OK, "")
        }
        .boxed()
    }
}
