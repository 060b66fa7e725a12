//! TCP listeners that close in order: what has arrived is served, and then nothing more can arrive.
//!
//! A process that ends while a listener is open drops the connections in the accept queue, and those that
//! it accepts meanwhile. Whether any are open is only certain once the listener is closed.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};

use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// The delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often a listener that closes tries to read its accept queue. The connections that are left are reset.
const MAX_CLOSE_TRIES: u32 = 4;

/// How long connections are still read once they are to be closed, so that requests that had arrived
/// by then are answered.
pub const LAST_READ_TIME: Duration = Duration::from_millis(50);

/// Listeners that close together, and their connections. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    closing: CancellationToken,
    listeners: TaskTracker,
    connections: TaskTracker,
}

impl Gate {
    /// Starts a task that accepts connections until the gate closes, and a task for each connection, on
    /// the current tokio runtime. `name` is the listener's name in logs.
    pub fn listen<F>(
        &self,
        listener: TcpListener,
        name: &'static str,
        serve: impl Fn(TcpStream, SocketAddr) -> F + Send + Sync + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let gate = self.clone();
        self.listeners.spawn(async move {
            let serve = |stream, peer| {
                gate.connections.spawn(serve(stream, peer));
            };
            gate.closing.run_until_cancelled(accept(&listener, name, &serve)).await;
            accept_queued(listener, name, &serve).await;
        });
    }

    /// The number of connections that are open.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Closes the listeners, after the connections in their accept queues have been accepted.
    pub fn close(&self) {
        self.closing.cancel();
    }

    /// Waits until the gate is to be closed.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Waits until an idle connection may be closed, some time after the gate is to be closed. Poll the
    /// connection first: a host that was late to run finds its timers due and bytes in its sockets at once.
    pub async fn last_read(&self) {
        self.closing().await;
        tokio::time::sleep(LAST_READ_TIME).await;
    }

    /// Waits until the listeners are closed and all connections have ended. None can be opened then.
    pub async fn ended(&self) {
        self.closing.cancelled().await;
        self.listeners.close();
        self.listeners.wait().await;
        self.connections.close();
        self.connections.wait().await;
    }
}

async fn accept(
    listener: &TcpListener,
    name: &'static str,
    serve: &impl Fn(TcpStream, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => serve(stream, peer),
            Err(error) => {
                tracing::warn!(event = "accept_failed", listener = name, %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts what is in the accept queue, and closes the listener. Asks the system and not the runtime, which
/// learns of new connections only when it polls.
async fn accept_queued(
    listener: TcpListener,
    name: &'static str,
    serve: &impl Fn(TcpStream, SocketAddr),
) {
    let warn = |error: &io::Error| {
        tracing::warn!(event = "accept_failed", listener = name, %error);
    };
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => return warn(&error),
    };
    for _ in 0..MAX_CLOSE_TRIES {
        match accept_all(&listener, serve) {
            Ok(()) => return,
            Err(error) => warn(&error),
        }
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

fn accept_all(
    listener: &std::net::TcpListener,
    serve: &impl Fn(TcpStream, SocketAddr),
) -> io::Result<()> {
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                serve(TcpStream::from_std(stream)?, peer);
            }
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock => return Ok(()),
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted => {}
                _ => return Err(error),
            },
        }
    }
}
