//! The HTTP server for callers.

mod builder;
mod connection;
mod connections;
mod limits;
mod read;
mod timeout_stream;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

pub use builder::Builder;
pub use limits::Limits;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::handler::Handler;

/// The delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    stop: CancellationToken,
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

    /// Serves until the token is cancelled, then finishes the requests in progress.
    pub async fn run(self) {
        let tasks = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => self.accept(stream, peer, &tasks),
                Err(error) => {
                    log::warn!("accept failed error=\"{error}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(self.listener);
        tasks.close();
        tasks.wait().await;
    }

    fn accept(&self, stream: TcpStream, peer: SocketAddr, tasks: &TaskTracker) {
        let Some(slot) = self.shared.connections.admit() else {
            log::debug!("connection closed peer={peer} reason=too_many_connections");
            return;
        };
        let shared = Arc::clone(&self.shared);
        tasks.spawn(connection::serve(stream, peer, slot, shared));
    }
}
