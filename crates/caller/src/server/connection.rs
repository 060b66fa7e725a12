//! One connection of a caller.

use std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::{Shared, connections::Slot, read, timeout_stream::TimeoutStream};
use crate::body::{self, Body};

/// Serves a connection until it ends, is evicted, or the server stops.
pub(super) async fn serve(stream: TcpStream, peer: SocketAddr, slot: Slot, shared: Arc<Shared>) {
    let limits = shared.limits;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("connection ended peer={peer} error=\"{error}\"");
        return;
    }
    let io = TokioIo::new(TimeoutStream::new(stream, limits.write_timeout, slot.write_pending()));
    let service = service_fn(|request| {
        let (shared, slot) = (&shared, &slot);
        async move { Ok::<_, Infallible>(respond(request, shared, slot).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_header_fields)
        .max_buf_size(limits.max_head_bytes.max(8192));
    let mut connection = pin!(builder.serve_connection(io, service));
    let ended = tokio::select! {
        // What has arrived comes before the reasons to close a connection.
        biased;
        ended = connection.as_mut() => ended,
        () = slot.evicted() => {
            log::debug!("connection closed peer={peer} reason=evicted");
            return;
        }
        () = shared.gate.last_read() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection ended peer={peer} error=\"{error}\"");
    }
}

async fn respond(request: Request<Incoming>, shared: &Shared, slot: &Slot) -> Response<Body> {
    let (head, incoming) = request.into_parts();
    // The body of an unauthenticated caller is not read, so that it uses no memory.
    if let Err(outcome) = shared.handler.admit(&head) {
        return shared.handler.refuse(&head, outcome);
    }
    match read::body(incoming, &shared.limits, &shared.memory).await {
        Ok(body) => {
            // The connection cannot be evicted until the response ends.
            let guard = slot.start_request();
            let response = shared.handler.serve(head, body).await;
            response.map(|body| body::guard(body, guard))
        }
        Err(outcome) => shared.handler.refuse(&head, outcome),
    }
}
