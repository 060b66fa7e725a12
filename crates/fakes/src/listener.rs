//! An HTTP listener that can simulate a crash: it resets all connections and can restart.

use std::{
    fmt, io,
    net::SocketAddr,
    os::fd::{AsFd, OwnedFd},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The body of a fake's response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Handles the requests of a [`Listener`].
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;
}

/// An HTTP listener that can crash and restart.
pub struct Listener {
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    crash_token: Mutex<CancellationToken>,
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Listener {
    /// Starts to listen on `address`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let crash_token = CancellationToken::new();
        tokio::spawn(accept(socket, handler.clone(), crash_token.clone()));
        Ok(Self { address, handler, crash_token: Mutex::new(crash_token) })
    }

    /// The address that the listener is bound to, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Resets all connections and refuses new ones until [`Listener::restart`].
    pub fn crash(&self) {
        self.crash_token.lock().cancel();
    }

    /// Listens again after a crash.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        let socket = TcpListener::bind(self.address).await?;
        let crash_token = CancellationToken::new();
        tokio::spawn(accept(socket, self.handler.clone(), crash_token.clone()));
        *self.crash_token.lock() = crash_token;
        Ok(())
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.crash();
    }
}

async fn accept(socket: TcpListener, handler: Arc<dyn Handler>, crash_token: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = crash_token.cancelled() => return,
            accepted = socket.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(connection(stream, handler.clone(), crash_token.clone()));
        }
    }
}

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>, crash_token: CancellationToken) {
    _ = stream.set_nodelay(true);
    // Hyper owns the stream, so a crash needs a second descriptor of the socket to close the
    // connection with a reset.
    let Ok(handle) = stream.as_fd().try_clone_to_owned() else { return };
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, io::Error>(handler.handle(request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = crash_token.cancelled() => reset(&handle),
        _ = served => {}
    }
}

/// Makes the following close of the socket send a reset.
fn reset(socket: &OwnedFd) {
    _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// A body with known contents.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A plain response with a status and a body.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

/// A response with status 200 and a JSON body.
pub fn json(value: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("control values are serializable");
    let mut response = text(StatusCode::OK, bytes);
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
