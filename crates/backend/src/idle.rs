//! Idle connections that idempotent requests may reuse.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyssop_document::collections::Map;
use parking_lot::Mutex;

use crate::connection::HttpConnection;

/// The maximum number of idle connections for each backend server.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// How long an idle connection may be reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// A client's idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    connections: Mutex<Map<SocketAddr, Vec<(HttpConnection, Instant)>>>,
}

impl Pool {
    /// Removes and returns the open connection that was used last.
    pub(crate) fn pop(&self, address: SocketAddr) -> Option<HttpConnection> {
        let now = Instant::now();
        let mut connections = self.connections.lock();
        let list = connections.get_mut(&address)?;
        list.retain(|(http, since)| now.duration_since(*since) < MAX_IDLE_TIME && http.is_open());
        let http = list.pop().map(|(http, _)| http);
        if list.is_empty() {
            connections.remove(&address);
        }
        http
    }

    /// Adds a connection, or closes it if the address has the maximum number already.
    pub(crate) fn push(&self, address: SocketAddr, http: HttpConnection) {
        let mut connections = self.connections.lock();
        let list = connections.entry(address).or_default();
        if list.len() < MAX_IDLE_CONNECTIONS {
            list.push((http, Instant::now()));
        }
    }
}
