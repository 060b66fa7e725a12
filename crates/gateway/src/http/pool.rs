//! Connections that are kept for further requests.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::{Display, Error, From};
use hyssop_document::{collections::Map, name::Backend};
use parking_lot::Mutex;

use super::connection::{Activity, Connection, Counted};

/// How long a connection is kept when the backend server does not say how long it does.
const KEPT: Duration = Duration::from_secs(4);
/// The part of the backend server's time after which a connection is not used again, so that a
/// request does not cross its close.
const KEPT_PART: f64 = 0.7;
/// The part for requests that must not be sent twice.
const KEPT_PART_ONCE: f64 = 0.4;

/// Why there is no connection. No byte was sent.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// This daemon's share of the backend server's connections is in use.
    #[display("all connections of this daemon are in use")]
    #[from(skip)]
    Share,
    /// The backend server can't be reached.
    #[display("{_0}")]
    Connect(io::Error),
}

#[derive(Debug, Default)]
struct Kept {
    address: Option<SocketAddr>,
    idle: Vec<Connection>,
    activity: Arc<Activity>,
}

/// The connections of a daemon to all backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    kept: Mutex<Map<Backend, Kept>>,
}

impl Pool {
    /// A connection to `server`: a kept one, or a new one if fewer than `most` are open.
    ///
    /// # Errors
    ///
    /// See [`Fault`].
    pub async fn take(
        &self,
        server: &Backend,
        address: SocketAddr,
        most: usize,
        once: bool,
    ) -> Result<Connection, Fault> {
        let counted = {
            let mut all = self.kept.lock();
            let kept = all.entry(server.clone()).or_default();
            if kept.address != Some(address) {
                kept.idle.clear();
                kept.address = Some(address);
            }
            while let Some(mut connection) = kept.idle.pop() {
                if is_fresh(&connection, once) && connection.is_clean() {
                    connection.reused = true;
                    return Ok(connection);
                }
            }
            Counted::take(&kept.activity, most).ok_or(Fault::Share)?
        };
        Ok(Connection::open(address, counted).await?)
    }

    /// Keeps a connection whose exchange is over.
    pub fn put(&self, server: &Backend, mut connection: Connection) {
        connection.idle_since = Instant::now();
        if let Some(kept) = self.kept.lock().get_mut(server) {
            kept.idle.push(connection);
        }
    }

    /// Closes idle connections that would not be used again, and those to other backend servers
    /// than `servers`.
    pub fn expire(&self, is_known: impl Fn(&Backend) -> bool) {
        self.kept.lock().retain(|server, kept| {
            kept.idle.retain(|connection| is_fresh(connection, false));
            is_known(server) || !kept.idle.is_empty()
        });
    }

    /// Closes all idle connections to one backend server.
    pub fn close_idle(&self, server: &Backend) {
        if let Some(kept) = self.kept.lock().get_mut(server) {
            kept.idle.clear();
        }
    }
}

fn is_fresh(connection: &Connection, once: bool) -> bool {
    let part = if once { KEPT_PART_ONCE } else { KEPT_PART };
    connection.idle_since.elapsed() < connection.keep_alive.unwrap_or(KEPT).mul_f64(part)
}
