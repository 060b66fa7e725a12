//! The HTTP server for callers.

mod builder;
mod connection;
mod connections;
mod limits;
mod read;
mod timeout_stream;

use std::{io, net::SocketAddr, sync::Arc};

pub use builder::Builder;
use hyssop_listener::Gate;
pub use limits::Limits;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::handler::Handler;

/// An HTTP server for callers. It runs until its token is cancelled.
pub struct Server {
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

/// The state that all connections of a server share.
pub(crate) struct Shared {
    handler: Arc<dyn Handler>,
    limits: Limits,
    connections: connections::Connections,
    memory: read::MemoryLimit,
    gate: Gate,
    cutting: CancellationToken,
}

/// Observes and ends the requests of a server that has exceeded its time to stop.
#[derive(Clone)]
pub struct Handle(Arc<Shared>);

impl Handle {
    /// The number of connections with a request that was read and whose response is not sent.
    pub fn busy_count(&self) -> usize {
        self.0.connections.busy_count()
    }

    /// Closes all connections. From now on no request is taken.
    pub fn cut(&self) {
        self.0.cutting.cancel();
    }
}

impl Server {
    /// A builder with the default limits.
    pub fn builder(listener: TcpListener, handler: Arc<dyn Handler>) -> Builder {
        Builder::new(listener, handler)
    }

    /// The address that the server listens on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not provide the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// A handle that remains valid while the server runs.
    pub fn handle(&self) -> Handle {
        Handle(Arc::clone(&self.shared))
    }

    /// Serves until the token is cancelled, then finishes the requests that have arrived. Nothing is open
    /// when it returns.
    pub async fn run(self) {
        let Self { listener, shared, stop } = self;
        let gate = shared.gate.clone();
        gate.listen(listener, "callers", move |stream, peer| shared.serve(stream, peer));
        stop.cancelled().await;
        gate.close();
        gate.ended().await;
    }
}

impl Shared {
    /// Serves a connection if the limit on connections admits it.
    fn serve(
        self: &Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> impl Future<Output = ()> + use<> {
        let slot = self.connections.admit();
        let shared = Arc::clone(self);
        async move {
            match slot {
                Some(slot) => {
                    let cutting = shared.cutting.clone();
                    let connection = connection::serve(stream, peer, slot, shared);
                    let _ended = cutting.run_until_cancelled(connection).await;
                }
                None => {
                    log::debug!("connection closed peer={peer} reason=too_many_connections");
                }
            }
        }
    }
}
