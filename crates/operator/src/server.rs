//! The HTTP server for operators.

mod connections;
mod reply;
mod route;

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyssop_document::digest::Digest;
use hyssop_listener::Gate;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use self::connections::{Connections, Slot};
use crate::handler::Handler;

const DEFAULT_MAX_CONNECTIONS: usize = 256;
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEAD_BYTES: usize = 16 << 10;

#[derive(Debug, Clone, Copy)]
struct Limits {
    max_connections: usize,
    head_timeout: Duration,
    body_timeout: Duration,
    response_timeout: Duration,
    stop_timeout: Duration,
}

/// Builds a [`Server`].
pub struct Builder {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    keys: Vec<Digest>,
    limits: Limits,
}

impl Builder {
    /// Sets the digests of the operators' keys. Without keys, only the health checks are served.
    pub fn keys(mut self, keys: Vec<Digest>) -> Self {
        self.keys = keys;
        self
    }

    /// Sets the maximum number of concurrent connections.
    pub fn max_connections(mut self, count: usize) -> Self {
        self.limits.max_connections = count.max(1);
        self
    }

    /// Sets the time limit for the head of a request.
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.limits.head_timeout = timeout;
        self
    }

    /// Sets the time limit for the body of a request.
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.limits.body_timeout = timeout;
        self
    }

    /// Sets the time limit for a response. A request that exceeds the limit gets a timeout error.
    pub fn response_timeout(mut self, timeout: Duration) -> Self {
        self.limits.response_timeout = timeout;
        self
    }

    /// Sets the time limit for requests in progress when the server stops.
    pub fn stop_timeout(mut self, timeout: Duration) -> Self {
        self.limits.stop_timeout = timeout;
        self
    }

    /// Makes the server, which accepts connections once [`Server::run`] is called.
    pub fn build(self) -> Server {
        let routes = route::Routes {
            handler: self.handler,
            keys: self.keys,
            body_timeout: self.limits.body_timeout,
            response_timeout: self.limits.response_timeout,
        };
        Server { listener: self.listener, routes: Arc::new(routes), limits: self.limits }
    }
}

/// An HTTP server for the administration API.
pub struct Server {
    listener: TcpListener,
    routes: Arc<route::Routes>,
    limits: Limits,
}

impl Server {
    /// A builder with the default limits and no keys.
    pub fn builder(listener: TcpListener, handler: Arc<dyn Handler>) -> Builder {
        let limits = Limits {
            max_connections: DEFAULT_MAX_CONNECTIONS,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            body_timeout: DEFAULT_BODY_TIMEOUT,
            response_timeout: DEFAULT_RESPONSE_TIMEOUT,
            stop_timeout: DEFAULT_STOP_TIMEOUT,
        };
        Builder { listener, handler, keys: Vec::new(), limits }
    }

    /// The address that the server listens on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not provide the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then finishes requests in progress, at most until the stop
    /// timeout.
    pub async fn run(self, stop: CancellationToken) {
        let Self { listener, routes, limits } = self;
        let connections = Connections::new(limits.max_connections);
        let gate = Gate::default();
        let (open, connection_gate) = (connections.clone(), gate.clone());
        gate.listen(listener, "operators", move |stream, _| {
            let slot = open.admit();
            if slot.is_none() {
                log::warn!("operator connection refused open={}", open.count());
            }
            let gate = connection_gate.clone();
            let connection = slot.map(|slot| Connection { stream, slot, gate });
            let routes = routes.clone();
            async move {
                if let Some(connection) = connection {
                    connection.serve(routes, limits).await;
                }
            }
        });
        stop.cancelled().await;
        gate.close();
        if tokio::time::timeout(limits.stop_timeout, gate.ended()).await.is_err() {
            log::warn!("operator connections closed at stop count={}", connections.count());
            connections.close_all();
            gate.ended().await;
        }
    }
}

/// One connection of an operator.
struct Connection {
    stream: TcpStream,
    slot: Slot,
    gate: Gate,
}

impl Connection {
    async fn serve(self, routes: Arc<route::Routes>, limits: Limits) {
        let slot = &self.slot;
        let service = service_fn(|request: hyper::Request<Incoming>| {
            let routes = routes.clone();
            async move { Ok::<_, Infallible>(routes.respond(request, slot).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(self.stream), service);
        let mut connection = pin!(connection);
        let ended = tokio::select! {
            // What has arrived comes before the reasons to close a connection.
            biased;
            ended = connection.as_mut() => ended,
            () = slot.closed() => return,
            () = self.gate.last_read() => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    biased;
                    ended = connection => ended,
                    () = slot.closed() => return,
                }
            }
        };
        if let Err(error) = ended {
            log::debug!("operator connection ended error={error}");
        }
    }
}
