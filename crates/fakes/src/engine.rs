//! Fake model engine: continuous batching, cold start, delayed load reports and injected faults.
//!
//! The control listener stays up while the engine is down:
//!
//! - `PUT /control/crash`: crashes the engine, which restarts after `restart_ms`.
//! - `PUT /control/down`, `PUT /control/up`: crashes the engine, and starts it again.
//! - `PUT /control/cold`: makes the engine cold.
//! - `PUT /control/slow`: multiplies the duration of each step by the number in the body.
//! - `PUT /control/faults`: sets [`Faults`].
//! - `GET /control/record`: the [`Record`] of its executions.

mod batch;
mod response;
mod stream;

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use futures::{FutureExt, future::BoxFuture};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header};
use hyssop_document::digest::Digest;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::{sync::Notify, time::Instant};
use tokio_util::sync::CancellationToken;

use self::{
    batch::{Batch, Job, Rejection, Step},
    stream::Encoder,
};
pub use self::{
    response::{expected_text, prompt, prompt_tokens, response_tokens},
    stream::Faults,
};
use crate::{
    listener::{self, Body, Handler, Listener},
    record::{Record, unix_ms},
};

/// The settings of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name in the execution records.
    pub name: CompactString,
    /// The duration of a step without any sequence, in microseconds.
    pub step_us: u64,
    /// The time that each running sequence adds to a step, in microseconds.
    pub step_per_sequence_us: u64,
    /// The time that each uncached prompt token adds to the step that admits its sequence, in
    /// microseconds.
    pub prefill_per_token_us: u64,
    /// The maximum number of running sequences.
    pub max_batch: usize,
    /// The maximum number of waiting sequences.
    pub max_waiting: usize,
    /// The KV cache capacity in tokens.
    pub kv_tokens: u64,
    /// Whether the engine starts cold at first. After a crash it always starts cold.
    pub cold_start: bool,
    /// The number of requests in flight that a cold engine sustains. One more crashes it.
    pub cold_limit: usize,
    /// The factor on the duration of a step while the engine is cold.
    pub cold_slowdown: f64,
    /// The number of completed requests after which the engine is warm.
    pub warm_after: u64,
    /// The time from a crash to the restart, in milliseconds.
    pub restart_ms: u64,
    /// The delay of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// How long a stream can be resumed after its connection closed, in milliseconds.
    pub resume_hold_ms: u64,
    /// The seed of the injected faults.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            step_us: 8_000,
            step_per_sequence_us: 250,
            prefill_per_token_us: 20,
            max_batch: 8,
            max_waiting: 64,
            kv_tokens: 8_192,
            cold_start: true,
            cold_limit: 2,
            cold_slowdown: 1.5,
            warm_after: 4,
            restart_ms: 1_000,
            report_lag_ms: 200,
            resume_hold_ms: 1_000,
            seed: 1,
        }
    }
}

impl Settings {
    fn report_lag(&self) -> Duration {
        Duration::from_millis(self.report_lag_ms)
    }

    fn resume_hold(&self) -> Duration {
        Duration::from_millis(self.resume_hold_ms)
    }
}

/// A running fake engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    control: Listener,
}

struct Shared {
    settings: Settings,
    batch: Mutex<Batch>,
    work_arrived: Notify,
    faults: Mutex<Faults>,
    random: Mutex<SmallRng>,
    started_ms: Mutex<u64>,
    crash_token: Mutex<CancellationToken>,
    listener: Mutex<Option<Arc<Listener>>>,
    stopped: CancellationToken,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("name", &self.settings.name).finish_non_exhaustive()
    }
}

impl Engine {
    /// Starts the engine with its request listener and its control listener.
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
            batch: Mutex::new(Batch::new(settings.clone())),
            work_arrived: Notify::new(),
            faults: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
            started_ms: Mutex::new(unix_ms()),
            crash_token: Mutex::default(),
            listener: Mutex::default(),
            settings,
            stopped: CancellationToken::new(),
        });
        let listener = Listener::start(address, Arc::new(RequestHandler(shared.clone()))).await?;
        *shared.listener.lock() = Some(Arc::new(listener));
        let control = Listener::start(control, Arc::new(ControlHandler(shared.clone()))).await?;
        tokio::spawn(run(shared.clone()));
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
        self.shared.batch.lock().record.clone()
    }

    /// Crashes the engine, which restarts after `restart_ms`.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Makes the engine cold.
    pub fn set_cold(&self) {
        self.shared.batch.lock().set_cold(Instant::now());
    }

    /// Multiplies the duration of each step by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.shared.batch.lock().slowdown = factor;
    }

    /// Sets the stream faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock() = faults;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.stopped.cancel();
        *self.shared.listener.lock() = None;
    }
}

/// Runs the steps of the batch until the engine is dropped.
async fn run(shared: Arc<Shared>) {
    let mut due = Instant::now();
    while !shared.stopped.is_cancelled() {
        let step = shared.batch.lock().step(Instant::now());
        match step {
            Step::Poisoned => shared.crash(),
            Step::Idle => {
                tokio::select! {
                    () = shared.stopped.cancelled() => return,
                    () = shared.work_arrived.notified() => due = Instant::now(),
                }
            }
            Step::Next(time) => {
                due += time;
                tokio::time::sleep_until(due).await;
            }
        }
    }
}

impl Shared {
    fn crash_token(&self) -> CancellationToken {
        self.crash_token.lock().clone()
    }

    /// Draws whether a fault with this probability occurs.
    fn fault_occurs(&self, probability: f64) -> bool {
        probability > 0.0 && self.random.lock().random_bool(probability.min(1.0))
    }

    /// Ends this incarnation and starts the next one after `restart_ms`.
    fn crash(self: &Arc<Self>) {
        let shared = self.clone();
        self.kill();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(shared.settings.restart_ms)).await;
            shared.restart().await;
        });
    }

    fn kill(&self) {
        let listener = self.listener.lock().clone();
        if let Some(listener) = listener {
            listener.crash();
        }
        self.crash_token.lock().cancel();
        self.batch.lock().crash();
    }

    async fn restart(&self) {
        let listener = self.listener.lock().clone();
        let Some(listener) = listener else { return };
        if !self.crash_token().is_cancelled() {
            return;
        }
        *self.crash_token.lock() = CancellationToken::new();
        *self.started_ms.lock() = unix_ms();
        if listener.restart().await.is_err() {
            log::error!("cannot restart the engine's listener name={}", self.settings.name);
        }
    }

    /// Submits a request to the batch. Returns `None` if the request crashed the engine.
    fn generate(
        self: &Arc<Self>,
        path: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Option<Response<Body>> {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return Some(listener::text(StatusCode::BAD_REQUEST, "no JSON"));
        };
        let Some(prompt) = prompt(&body) else {
            return Some(listener::text(StatusCode::BAD_REQUEST, "no prompt"));
        };
        let id = request_id(headers);
        let chat = path.ends_with("/chat/completions");
        let received =
            headers.get("last-event-id").and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(received) = received {
            return Some(self.resume(&id, chat, received));
        }
        let digest = Digest::of(prompt.as_bytes());
        let max_tokens = body.get("max_tokens").and_then(Value::as_u64);
        let priority = body.get("priority").and_then(Value::as_u64).unwrap_or(0);
        let job = Job { id: id.clone(), prompt, max_tokens, priority };
        let submitted = self.batch.lock().submit(&job, Instant::now());
        let response = match submitted {
            Ok(progress) => {
                self.work_arrived.notify_one();
                let encoder = Encoder { id, digest, chat, received: 0 };
                streaming(&encoder.id.clone(), stream::start(self.clone(), encoder, progress))
            }
            Err(Rejection::QueueFull) => {
                let mut response = listener::text(StatusCode::SERVICE_UNAVAILABLE, "queue full");
                response
                    .headers_mut()
                    .insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
                response
            }
            Err(Rejection::ColdOverload) => {
                self.crash();
                return None;
            }
        };
        Some(response)
    }

    fn resume(self: &Arc<Self>, id: &CompactString, chat: bool, received: u64) -> Response<Body> {
        let resumed = self.batch.lock().resume(id, Instant::now());
        let Some((progress, digest)) = resumed else {
            return listener::text(StatusCode::NOT_FOUND, "no such stream");
        };
        self.work_arrived.notify_one();
        let encoder = Encoder { id: id.clone(), digest, chat, received };
        streaming(id, stream::start(self.clone(), encoder, progress))
    }

    fn metrics(&self) -> Response<Body> {
        let report = self.batch.lock().lagged_report(Instant::now());
        let started = *self.started_ms.lock() as f64 / 1_000.0;
        let text = format!(
            "process_start_time_seconds {started:.3}\n\
             vllm:num_requests_running {}\n\
             vllm:num_requests_waiting {}\n\
             vllm:kv_cache_usage_perc {:.4}\n\
             hyssop_engine_cold {}\n",
            report.running,
            report.waiting,
            report.kv_used,
            u8::from(report.cold),
        );
        listener::text(StatusCode::OK, text)
    }
}

/// The value of the `X-Request-Id` header, empty if missing.
pub(crate) fn request_id(headers: &HeaderMap) -> CompactString {
    let value = headers.get("x-request-id").and_then(|value| value.to_str().ok());
    CompactString::new(value.unwrap_or_default())
}

fn streaming(id: &str, body: Body) -> Response<Body> {
    let response = Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header("x-request-id", id)
        .body(body);
    response.expect("the id was read from a header")
}

struct RequestHandler(Arc<Shared>);

impl Handler for RequestHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        async move {
            let (head, body) = request.into_parts();
            match (&head.method, head.uri.path()) {
                (&Method::GET, "/metrics") => self.0.metrics(),
                (&Method::POST, path @ ("/v1/chat/completions" | "/v1/completions")) => {
                    match body.collect().await {
                        Ok(body) => match self.0.generate(path, &head.headers, &body.to_bytes()) {
                            Some(response) => response,
                            // The engine crashed: its listener is about to reset this connection.
                            None => std::future::pending().await,
                        },
                        Err(_) => listener::text(StatusCode::BAD_REQUEST, "body"),
                    }
                }
                _ => listener::text(StatusCode::NOT_FOUND, ""),
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
            let body = body.to_bytes();
            match path.as_str() {
                "/control/record" => return listener::json(&self.0.batch.lock().record),
                "/control/crash" => self.0.crash(),
                "/control/down" => self.0.kill(),
                "/control/up" => self.0.restart().await,
                "/control/cold" => self.0.batch.lock().set_cold(Instant::now()),
                "/control/slow" => match String::from_utf8_lossy(&body).parse() {
                    Ok(factor) => self.0.batch.lock().slowdown = factor,
                    Err(_) => return listener::text(StatusCode::BAD_REQUEST, "factor"),
                },
                "/control/faults" => match serde_json::from_slice(&body) {
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
