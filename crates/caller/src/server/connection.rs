//! One connection of a caller.

use std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::{Shared, read, table::Seat, writer::Writer};
use crate::body::{self, Body};

/// Serves a connection until it ends, loses its place, or the server stops.
pub(super) async fn serve(stream: TcpStream, peer: SocketAddr, seat: Seat, shared: Arc<Shared>) {
    let limits = shared.limits;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("connection ended peer={peer} error=\"{error}\"");
        return;
    }
    let io = TokioIo::new(Writer::new(stream, limits.write_stall));
    let service = service_fn(|request| {
        let (shared, seat) = (&shared, &seat);
        async move { Ok::<_, Infallible>(answer(request, shared, seat).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_headers(limits.header_fields)
        .max_buf_size(limits.head_bytes.max(8192));
    let mut connection = pin!(builder.serve_connection(io, service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = seat.evicted() => {
            log::debug!("connection closed peer={peer} reason=place_taken");
            return;
        }
        () = shared.stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection ended peer={peer} error=\"{error}\"");
    }
}

async fn answer(request: Request<Incoming>, shared: &Shared, seat: &Seat) -> Response<Body> {
    let (head, incoming) = request.into_parts();
    // Whoever has no key takes no memory for a body.
    if let Err(outcome) = shared.handler.admit(&head) {
        return shared.handler.refuse(&head, outcome);
    }
    match read::body(incoming, &shared.limits, &shared.memory).await {
        Ok(body) => {
            // From here to the end of its answer the request keeps the connection its place.
            let running = seat.run();
            let response = shared.handler.serve(head, body).await;
            response.map(|body| body::guard(body, running))
        }
        Err(outcome) => shared.handler.refuse(&head, outcome),
    }
}
