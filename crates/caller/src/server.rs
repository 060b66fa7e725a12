//! The HTTP server for callers.

mod builder;
mod connection;
mod limits;
mod read;
mod table;
mod writer;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

pub use builder::Builder;
pub use limits::Limits;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::handler::Handler;

/// The pause after an error of the listener, such as no file descriptor being left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The server. It is made by [`Server::builder`] and runs until its token is cancelled.
pub struct Server {
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

/// What all connections of a server share.
pub(crate) struct Shared {
    handler: Arc<dyn Handler>,
    limits: Limits,
    table: table::Table,
    memory: read::Memory,
    stop: CancellationToken,
}

impl Server {
    /// Starts to build a server.
    pub fn builder(listener: TcpListener, handler: Arc<dyn Handler>) -> Builder {
        Builder::new(listener, handler)
    }

    /// The address that the server listens on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the token is cancelled, then finishes the requests that run.
    pub async fn run(self) {
        let tasks = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => self.take(stream, peer, &tasks),
                Err(error) => {
                    log::warn!("accept failed error=\"{error}\"");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(self.listener);
        tasks.close();
        tasks.wait().await;
    }

    fn take(&self, stream: TcpStream, peer: SocketAddr, tasks: &TaskTracker) {
        let Some(seat) = self.shared.table.seat() else {
            log::debug!("connection closed peer={peer} reason=too_many_connections");
            return;
        };
        let shared = Arc::clone(&self.shared);
        tasks.spawn(connection::serve(stream, peer, seat, shared));
    }
}
