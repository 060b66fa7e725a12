//! Pool of connections to backend servers.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::derive::{Display, Error, From};
use hyssop_document::{collections::Map, name::Backend};
use hyssop_policy::local::{reach::Outcome, silence::Contact};
use parking_lot::Mutex;

use super::connection::{Activity, Connection, OpenGuard};

/// The assumed keep-alive time of a backend server that does not announce one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// The fraction of the keep-alive time within which an idle connection is reused, so that a request
/// is not sent while the backend server closes the connection.
const REUSE_RATIO: f64 = 0.7;
/// The fraction for requests that must not be sent twice.
const NON_IDEMPOTENT_REUSE_RATIO: f64 = 0.4;
/// How long a backend server may have been silent before a request that must not be sent twice gets
/// a new connection. A kept connection does not show that the backend server has lost power.
const NON_IDEMPOTENT_SILENCE_LIMIT: Duration = Duration::from_millis(150);

/// Why no connection is available. Nothing was sent.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// All connections of this daemon's share are in use.
    #[display("all connections of this daemon are in use")]
    #[from(skip)]
    Share,
    /// The connection could not be opened.
    #[display("{_0}")]
    Connect(io::Error),
}

/// What a failed attempt to open a connection tells about the way.
pub fn outcome(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::ConnectionReset
        | io::ErrorKind::ConnectionAborted
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::NetworkDown => Outcome::Refused,
        io::ErrorKind::TimedOut => Outcome::Silent,
        // For example, no file descriptors are left.
        _ => Outcome::Untried,
    }
}

impl Error {
    /// What the attempt tells about the way to the backend server.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Share => Outcome::Untried,
            Self::Connect(error) => outcome(error),
        }
    }

    /// What happened, as a label of metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Share => "share",
            Self::Connect(error) => match error.kind() {
                io::ErrorKind::ConnectionRefused => "refused",
                io::ErrorKind::TimedOut => "timeout",
                _ => "failed",
            },
        }
    }
}

#[derive(Debug, Default)]
struct ServerConnections {
    address: Option<SocketAddr>,
    idle: Vec<Connection>,
    activity: Arc<Activity>,
}

impl ServerConnections {
    /// Closes idle connections to another address than this one.
    fn set_address(&mut self, address: SocketAddr) {
        if self.address != Some(address) {
            self.idle.clear();
            self.address = Some(address);
        }
    }

    /// Counts a new connection. Closes idle ones for it while `max_connections` or more are open:
    /// the limit falls when more daemons share it.
    fn guard(&mut self, max_connections: usize) -> Result<OpenGuard, Error> {
        loop {
            if let Some(guard) = OpenGuard::acquire(&self.activity, max_connections) {
                return Ok(guard);
            }
            self.idle.pop().ok_or(Error::Share)?;
        }
    }
}

/// A daemon's connections to all backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Mutex<Map<Backend, ServerConnections>>,
}

impl Pool {
    /// Returns an idle connection to `server`, or opens one unless `max_connections` are open.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn acquire(
        &self,
        server: &Backend,
        address: SocketAddr,
        max_connections: usize,
        non_idempotent: bool,
    ) -> Result<Connection, Error> {
        let guard = {
            let mut servers = self.servers.lock();
            let connections = servers.entry(server.clone()).or_default();
            connections.set_address(address);
            let silent_for = connections.activity.silent_for(Instant::now());
            let is_in_doubt = non_idempotent && silent_for > NON_IDEMPOTENT_SILENCE_LIMIT;
            while !is_in_doubt && let Some(mut connection) = connections.idle.pop() {
                if is_reusable(&connection, non_idempotent) && connection.is_clean() {
                    connection.reused = true;
                    return Ok(connection);
                }
            }
            connections.guard(max_connections)?
        };
        Ok(Connection::open(address, guard).await?)
    }

    /// Opens a connection to `server` and keeps it as an idle one.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn add(
        &self,
        server: &Backend,
        address: SocketAddr,
        max_connections: usize,
    ) -> Result<(), Error> {
        let guard = {
            let mut servers = self.servers.lock();
            let connections = servers.entry(server.clone()).or_default();
            connections.set_address(address);
            connections.guard(max_connections)?
        };
        let connection = Connection::open(address, guard).await?;
        self.release(server, connection);
        Ok(())
    }

    /// When `server` was last heard of, or just now if this daemon has not connected to it.
    pub fn contact(&self, server: &Backend, now: Instant) -> Contact {
        let servers = self.servers.lock();
        servers.get(server).map_or(Contact::default(), |server| server.activity.contact(now))
    }

    /// Returns a connection to the pool after its exchange.
    pub fn release(&self, server: &Backend, mut connection: Connection) {
        connection.idle_since = Instant::now();
        if let Some(connections) = self.servers.lock().get_mut(server) {
            connections.idle.push(connection);
        }
    }

    /// Closes idle connections that are too old for reuse, and removes backend servers that are no
    /// longer in service once they have no idle connections.
    pub fn expire(&self, in_service: impl Fn(&Backend) -> bool) {
        self.servers.lock().retain(|server, connections| {
            connections.idle.retain(|connection| is_reusable(connection, false));
            in_service(server) || !connections.idle.is_empty()
        });
    }

    /// Closes all idle connections to `server`.
    pub fn close_idle(&self, server: &Backend) {
        if let Some(connections) = self.servers.lock().get_mut(server) {
            connections.idle.clear();
        }
    }
}

fn is_reusable(connection: &Connection, non_idempotent: bool) -> bool {
    let ratio = if non_idempotent { NON_IDEMPOTENT_REUSE_RATIO } else { REUSE_RATIO };
    connection.idle_since.elapsed()
        < connection.keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).mul_f64(ratio)
}
