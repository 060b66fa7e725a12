//! The HTTP server for operators.

mod connections;
mod reply;
mod route;

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyssop_document::digest::Digest;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use self::connections::{Connections, Slot};
use crate::handler::Handler;

const DEFAULT_MAX_CONNECTIONS: usize = 256;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEADER_BYTES: usize = 16 << 10;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits of the server.
#[derive(Debug, Clone, Copy)]
struct Limits {
    max_connections: usize,
    header_timeout: Duration,
    body_timeout: Duration,
    answer_timeout: Duration,
    stop_timeout: Duration,
}

/// Sets up a [`Server`].
pub struct Builder {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    keys: Vec<Digest>,
    limits: Limits,
}

impl Builder {
    /// Sets the digests of the keys that operators present. Without one, nobody is let in.
    pub fn keys(mut self, keys: Vec<Digest>) -> Self {
        self.keys = keys;
        self
    }

    /// Sets the number of connections that are served at once.
    pub fn max_connections(mut self, count: usize) -> Self {
        self.limits.max_connections = count.max(1);
        self
    }

    /// Sets the time in which a request's header must arrive.
    pub fn header_timeout(mut self, timeout: Duration) -> Self {
        self.limits.header_timeout = timeout;
        self
    }

    /// Sets the time in which a request's body must arrive.
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.limits.body_timeout = timeout;
        self
    }

    /// Sets the time after which an answer that is still not there becomes a timeout.
    pub fn answer_timeout(mut self, timeout: Duration) -> Self {
        self.limits.answer_timeout = timeout;
        self
    }

    /// Sets the time that requests in progress get to finish when the server stops.
    pub fn stop_timeout(mut self, timeout: Duration) -> Self {
        self.limits.stop_timeout = timeout;
        self
    }

    /// Makes the server. It serves nobody before [`Server::run`].
    pub fn build(self) -> Server {
        let routes = route::Routes {
            handler: self.handler,
            keys: self.keys,
            body_timeout: self.limits.body_timeout,
            answer_timeout: self.limits.answer_timeout,
        };
        Server { listener: self.listener, routes: Arc::new(routes), limits: self.limits }
    }
}

/// The HTTP server for operators.
pub struct Server {
    listener: TcpListener,
    routes: Arc<route::Routes>,
    limits: Limits,
}

impl Server {
    /// Starts to set up a server on a listener.
    pub fn builder(listener: TcpListener, handler: Arc<dyn Handler>) -> Builder {
        let limits = Limits {
            max_connections: DEFAULT_MAX_CONNECTIONS,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            body_timeout: DEFAULT_BODY_TIMEOUT,
            answer_timeout: DEFAULT_ANSWER_TIMEOUT,
            stop_timeout: DEFAULT_STOP_TIMEOUT,
        };
        Builder { listener, handler, keys: Vec::new(), limits }
    }

    /// The address that the server listens on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then lets requests in progress finish.
    pub async fn run(self, stop: CancellationToken) {
        let connections = Connections::new(self.limits.max_connections);
        let tracker = TaskTracker::new();
        loop {
            let stream = tokio::select! {
                () = stop.cancelled() => break,
                stream = accept(&self.listener) => stream,
            };
            match connections.admit() {
                Some(slot) => {
                    let connection = Connection { stream, slot, stop: stop.clone() };
                    tracker.spawn(connection.serve(self.routes.clone(), self.limits));
                }
                None => log::warn!("operator connection refused open={}", connections.count()),
            }
        }
        drop(self.listener);
        tracker.close();
        if tokio::time::timeout(self.limits.stop_timeout, tracker.wait()).await.is_err() {
            log::warn!("operator connections cut off at stop count={}", connections.count());
            connections.cut_all();
            tracker.wait().await;
        }
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("operator connection not accepted error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// One connection of an operator.
struct Connection {
    stream: TcpStream,
    slot: Slot,
    stop: CancellationToken,
}

impl Connection {
    async fn serve(self, routes: Arc<route::Routes>, limits: Limits) {
        let slot = &self.slot;
        let service = service_fn(|request: hyper::Request<Incoming>| {
            let routes = routes.clone();
            async move { Ok::<_, Infallible>(routes.answer(request, slot).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(TokioIo::new(self.stream), service);
        let mut connection = pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = slot.cut() => return,
            () = self.stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    ended = connection => ended,
                    () = slot.cut() => return,
                }
            }
        };
        if let Err(error) = ended {
            log::debug!("operator connection ended error={error}");
        }
    }
}
