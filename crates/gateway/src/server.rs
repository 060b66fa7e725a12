//! HTTP listeners for callers' requests, the directory, readiness and metrics.

use std::{
    convert::Infallible,
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::{
    Request, Response, StatusCode, Version,
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
    http, intake,
};

/// The idle timeout until the environment is loaded, and for listeners other than the callers'.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the declared idle time, so that callers close idle connections first.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// How long connections are still read once they are to be closed, so that requests that had arrived
/// by then are answered.
const LAST_READ_TIME: Duration = Duration::from_millis(50);
/// The minimum buffer size for request heads.
const MIN_HEAD_BUFFER_BYTES: usize = 32 << 10;

/// Serves callers' requests until the task is cancelled. A failed accept is retried after 50 ms.
pub async fn serve_requests(gateway: Arc<Gateway>, listener: TcpListener) {
    let serve = move |stream| serve_caller(Arc::clone(&gateway), stream);
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

async fn serve_caller(gateway: Arc<Gateway>, stream: TcpStream) {
    gateway.metrics.connections.inc();
    let limits = gateway.cache.snapshot().environment.as_ref().map(|env| env.limits);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout + IDLE_SLACK);
    let head_bytes = limits.map_or(0, |limits| limits.max_head_bytes).max(MIN_HEAD_BUFFER_BYTES);
    // Whether the close of the connection may be what marks the end of the response.
    let delimited_by_close = AtomicBool::new(false);
    let service = service_fn(|request| {
        let gateway = Arc::clone(&gateway);
        delimited_by_close.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
        async move { Ok::<_, Infallible>(intake::handle(gateway, request).await) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout covers both a head that arrives slowly and an idle connection.
        .header_read_timeout(idle)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        // A host that was late to run finds its timers due and bytes in its sockets at once. The bytes
        // come first.
        biased;
        served = &mut connection => Some(served),
        () = wait_for_close(&gateway) => {
            // Closes an idle connection at once, and a connection in use after its response.
            Pin::new(&mut connection).graceful_shutdown();
            gateway.cutting.run_until_cancelled(&mut connection).await
        }
    };
    let is_incomplete =
        served.as_ref().is_none_or(|served| served.as_ref().is_err_and(hyper::Error::is_user));
    if let Some(Err(error)) = served {
        tracing::debug!(event = "connection_ended", %error);
    }
    let stream = connection.into_parts().io.into_inner();
    if is_incomplete && delimited_by_close.load(Ordering::Relaxed) {
        // The caller can tell a reset from the end of a response.
        http::reset_on_close(&stream);
    }
    report_unread(&gateway, &stream);
    gateway.metrics.connections.dec();
}

/// Waits until an idle connection may be closed.
async fn wait_for_close(gateway: &Gateway) {
    gateway.closing.cancelled().await;
    tokio::time::sleep(LAST_READ_TIME).await;
}

/// Logs and counts bytes of a caller that its connection is closed with: perhaps a request.
fn report_unread(gateway: &Gateway, stream: &TcpStream) {
    match rustix::io::ioctl_fionread(stream) {
        Ok(0) => {}
        Ok(bytes) => {
            tracing::info!(event = "closed_unread", bytes, leaving = gateway.is_leaving());
            gateway.metrics.count_unread();
        }
        Err(error) => tracing::debug!(event = "unread_bytes_unknown", %error),
    }
}

/// Handles a request to the directory, readiness or metrics listener. The adapter of each platform
/// defines the paths.
pub type Responder = Arc<dyn Fn(&Request<Incoming>) -> Response<Body> + Send + Sync>;

/// Serves requests that need no I/O, such as readiness, until the task is cancelled. `name` is the
/// listener's name in logs.
pub async fn serve_local(listener: TcpListener, name: &'static str, responder: Responder) {
    let serve = move |stream| serve_local_connection(Arc::clone(&responder), stream);
    accept(listener, name, serve).await;
}

async fn serve_local_connection(responder: Responder, stream: TcpStream) {
    let service = service_fn(|request| {
        let response = responder(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(event = "connection_ended", %error);
    }
}

/// The readiness response: 200 if the daemon accepts callers' requests, else 503, with the phase as
/// text.
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

/// The metrics in the OpenMetrics text format.
pub fn metrics(gateway: &Gateway) -> Response<Body> {
    let mut response = Response::new(full(gateway.metrics.text()));
    let kind = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
