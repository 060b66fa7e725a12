//! Listeners: requests, directory, readiness, metrics.

use std::{convert::Infallible, future::Future, pin::pin, sync::Arc, time::Duration};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyssop_view::heartbeat::Phase;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    body::{Body, full},
    gateway::Gateway,
    intake,
};

/// How long a connection may be idle before the environment is known.
const IDLE_UNKNOWN: Duration = Duration::from_secs(15);
/// How much longer than declared a connection is kept, so that callers close first.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// The room for a request's head, where the declared limit is smaller or not known.
const HEAD_BYTES: usize = 32 << 10;

/// Serves requests of callers until the listener fails for good.
pub async fn requests(gateway: Arc<Gateway>, listener: TcpListener) {
    let serve = move |stream| serve_requests(Arc::clone(&gateway), stream);
    accept(listener, "requests", serve).await;
}

async fn accept<F>(listener: TcpListener, name: &'static str, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    tracing::debug!(event = "connection_lost", listener = name, %error);
                }
                tokio::spawn(serve(stream));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", listener = name, %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_requests(gateway: Arc<Gateway>, stream: TcpStream) {
    gateway.metrics.connections.inc();
    let limits = gateway.cache.snapshot().environment.as_ref().map(|env| env.limits);
    let idle = limits.map_or(IDLE_UNKNOWN, |limits| limits.idle_timeout + IDLE_SLACK);
    let head_bytes = limits.map_or(0, |limits| limits.max_head_bytes).max(HEAD_BYTES);
    let service = service_fn(|request| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(intake::handle(gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The same timer bounds a head that comes slowly and a connection that is idle.
        .header_read_timeout(idle)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = gateway.closing.cancelled() => {
            // Ends an idle connection at once, and one in use after its answer.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        tracing::debug!(event = "connection_ended", %error);
    }
    gateway.metrics.connections.dec();
}

/// Answers a call that is not a caller's request. The adapter of each platform names them.
pub type Answerer = Arc<dyn Fn(&Request<Incoming>) -> Response<Body> + Send + Sync>;

/// Serves calls that need no I/O, such as readiness, until the listener fails for good.
pub async fn calls(listener: TcpListener, name: &'static str, answer: Answerer) {
    let serve = move |stream| serve_calls(Arc::clone(&answer), stream);
    accept(listener, name, serve).await;
}

async fn serve_calls(answer: Answerer, stream: TcpStream) {
    let service = service_fn(|request| {
        let response = answer(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_UNKNOWN)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(event = "connection_ended", %error);
    }
}

/// The answer about readiness: 200 for a daemon that takes callers.
pub fn readiness(gateway: &Gateway) -> Response<Body> {
    let phase = gateway.phase();
    let status = match phase {
        Phase::Ready => StatusCode::OK,
        Phase::Starting | Phase::Leaving => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(full(phase.to_string()));
    *response.status_mut() = status;
    if gateway.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The metrics as text.
pub fn metrics(gateway: &Gateway) -> Response<Body> {
    let mut response = Response::new(full(gateway.metrics.text()));
    let kind = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
