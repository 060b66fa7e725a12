//! The HTTP client for backend servers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Request, StatusCode, header};

use crate::{
    connection::{Connection, HttpConnection},
    failure::{Failure, Kind},
    idle,
};

/// Whether a request may be sent on a connection that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Reuse {
    /// Always a new connection, on which a failure to connect proves that nothing was sent.
    #[display("fresh")]
    Fresh,
    /// An idle connection if there is one, else a new one.
    #[display("idle")]
    Idle,
}

/// An HTTP client that never retries a request.
#[derive(Debug, Clone)]
pub struct Client {
    idle: Arc<idle::Pool>,
    connect_timeout: Duration,
}

impl Client {
    /// Creates a client without idle connections.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { idle: Arc::default(), connect_timeout }
    }

    /// Opens a connection, or reuses an idle one if `reuse` allows it. Sends nothing.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened within the connect timeout.
    pub async fn connect(&self, address: SocketAddr, reuse: Reuse) -> Result<Connection, Failure> {
        let idle = match reuse {
            Reuse::Fresh => None,
            Reuse::Idle => Some(Arc::clone(&self.idle)),
        };
        let http = match idle.as_ref().and_then(|idle| idle.pop(address)) {
            Some(http) => http,
            None => HttpConnection::open(address, self.connect_timeout).await?,
        };
        Ok(Connection::new(address, http, idle))
    }

    /// Fetches a resource of at most `max_bytes` on a new connection.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        max_bytes: usize,
    ) -> Result<Bytes, Failure> {
        let mut http = HttpConnection::open(address, self.connect_timeout).await?;
        let request = Request::get(path)
            .header(header::HOST, address.to_string())
            .body(Full::default())
            .map_err(|error| Failure::not_run(Kind::Protocol, error.to_string()))?;
        let interrupted = |message: String| Failure::may_have_run(Kind::Interrupted, message);
        let response = http.send(request).await.map_err(|error| interrupted(error.to_string()))?;
        if response.status() != StatusCode::OK {
            let message = format!("{path} returned status {}", response.status());
            return Err(Failure::ran(Kind::Protocol, message));
        }
        let body = Limited::new(response.into_body(), max_bytes).collect().await;
        Ok(body.map_err(|error| interrupted(error.to_string()))?.to_bytes())
    }
}
