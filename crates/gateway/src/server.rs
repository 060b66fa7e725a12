//! HTTP listeners for callers' requests, the directory, readiness and metrics.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::{
    Request, Response, StatusCode, Version,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyssop_listener::{Gate, LAST_READ_TIME};
use hyssop_view::heartbeat::Phase;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    body::{Body, full},
    departure::{Departure, FIRST_REQUEST_TIME},
    gateway::Gateway,
    http,
    intake::{self, Sender},
};

/// The idle timeout until the environment is loaded, and for listeners other than the callers'.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the declared idle time, so that callers close idle connections first.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// The minimum buffer size for request heads.
const MIN_HEAD_BUFFER_BYTES: usize = 32 << 10;

/// Serves callers' requests until the daemon ends.
pub fn serve_requests(gateway: Arc<Gateway>, listener: TcpListener) {
    serve(gateway, listener, "requests", Sender::Caller);
}

/// Serves the requests that peers forward, like those of callers, until the daemon ends.
pub fn serve_forwarded(gateway: Arc<Gateway>, listener: TcpListener) {
    serve(gateway, listener, "forwarded", Sender::Peer);
}

fn serve(gateway: Arc<Gateway>, listener: TcpListener, name: &'static str, sender: Sender) {
    let callers = gateway.departure.callers.clone();
    callers.listen(listener, name, move |stream, _| {
        set_nodelay(&stream, name);
        serve_connection(Arc::clone(&gateway), stream, sender)
    });
}

fn set_nodelay(stream: &TcpStream, listener: &'static str) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(event = "connection_lost", listener, %error);
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, sender: Sender) {
    gateway.metrics.connections.inc();
    let limits = gateway.cache.snapshot().environment.as_ref().map(|env| env.limits);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout + IDLE_SLACK);
    let head_bytes = limits.map_or(0, |limits| limits.max_head_bytes).max(MIN_HEAD_BUFFER_BYTES);
    let (accepted, has_request) = (Instant::now(), AtomicBool::new(false));
    // Whether the close of the connection may be what marks the end of the response.
    let delimited_by_close = AtomicBool::new(false);
    let service = service_fn(|request| {
        let gateway = Arc::clone(&gateway);
        has_request.store(true, Ordering::Relaxed);
        delimited_by_close.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
        async move { Ok::<_, Infallible>(intake::handle(gateway, request, sender).await) }
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
        () = wait_for_close(&gateway.departure, accepted, &has_request) => {
            // Closes an idle connection at once, and a connection in use after its response.
            Pin::new(&mut connection).graceful_shutdown();
            gateway.departure.run_until_cut(&mut connection).await
        }
    };
    let is_incomplete =
        served.as_ref().is_none_or(|served| served.as_ref().is_err_and(hyper::Error::is_user));
    if let Some(Err(error)) = served {
        tracing::debug!(event = "connection_ended", %error);
    }
    let http1::Parts { io, read_buf, .. } = connection.into_parts();
    let stream = io.into_inner();
    if is_incomplete && delimited_by_close.load(Ordering::Relaxed) {
        // The caller can tell a reset from the end of a response.
        http::reset_on_close(&stream);
    }
    report_unread(&gateway, &stream, read_buf.len());
    gateway.metrics.connections.dec();
}

/// Waits until a connection of a caller may be closed while it is idle, some time after it is to be closed. A
/// new one is kept until its first request, unless responses are cut before.
async fn wait_for_close(departure: &Departure, accepted: Instant, has_request: &AtomicBool) {
    departure.idle_closing().await;
    tokio::time::sleep(LAST_READ_TIME).await;
    if !has_request.load(Ordering::Relaxed) {
        let first_request = tokio::time::sleep_until((accepted + FIRST_REQUEST_TIME).into());
        departure.run_until_cut(first_request).await;
    }
}

/// Logs and counts bytes of a caller that its connection is closed with: perhaps a request. `buffered` of
/// them were read and not used.
fn report_unread(gateway: &Gateway, stream: &TcpStream, buffered: usize) {
    let unread = rustix::io::ioctl_fionread(stream).unwrap_or_else(|error| {
        tracing::debug!(event = "unread_bytes_unknown", %error);
        0
    });
    if unread > 0 || buffered > 0 {
        let leaving = gateway.departure.has_begun();
        tracing::info!(event = "closed_unread", bytes = unread, buffered, leaving);
        gateway.metrics.count_unread();
    }
}

/// Handles a request to the directory, readiness or metrics listener. The adapter of each platform
/// defines the paths.
pub type Responder = Arc<dyn Fn(&Request<Incoming>) -> Response<Body> + Send + Sync>;

/// Serves requests that need no I/O, such as readiness, until `gate` closes. `name` is the listener's
/// name in logs.
pub fn serve_local(gate: &Gate, listener: TcpListener, name: &'static str, responder: Responder) {
    let connections = gate.clone();
    gate.listen(listener, name, move |stream, _| {
        set_nodelay(&stream, name);
        serve_local_connection(connections.clone(), Arc::clone(&responder), stream)
    });
}

async fn serve_local_connection(gate: Gate, responder: Responder, stream: TcpStream) {
    let service = service_fn(|request| {
        let response = responder(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        biased;
        served = &mut connection => served,
        () = gate.last_read() => {
            Pin::new(&mut connection).graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
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
    if gateway.departure.has_begun() {
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
