//! The client for backend servers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Request, StatusCode, header};

use crate::{
    connection::{Connection, Link},
    failure::{Failure, Kind},
    idle::Idle,
};

/// Whether a connection may have been used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Reuse {
    /// Only a fresh connection, on which a failure to connect proves that nothing was sent.
    #[display("fresh")]
    Fresh,
    /// An idle connection, if there is one.
    #[display("idle")]
    Idle,
}

/// The client. It never repeats a request by itself.
#[derive(Debug, Clone)]
pub struct Client {
    idle: Arc<Idle>,
    connect_timeout: Duration,
}

impl Client {
    /// A client that gives up connecting after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { idle: Arc::default(), connect_timeout }
    }

    /// Opens a connection, or takes an idle one if `reuse` allows it. No byte is sent.
    ///
    /// # Errors
    ///
    /// Fails if the backend server does not accept a connection.
    pub async fn connect(&self, address: SocketAddr, reuse: Reuse) -> Result<Connection, Failure> {
        let idle = match reuse {
            Reuse::Fresh => None,
            Reuse::Idle => Some(Arc::clone(&self.idle)),
        };
        let link = match idle.as_ref().and_then(|idle| idle.take(address)) {
            Some(link) => link,
            None => Link::open(address, self.connect_timeout).await?,
        };
        Ok(Connection::new(address, link, idle))
    }

    /// Reads a small resource on a fresh connection.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        limit: usize,
    ) -> Result<Bytes, Failure> {
        let mut link = Link::open(address, self.connect_timeout).await?;
        let request = Request::get(path)
            .header(header::HOST, address.to_string())
            .body(Full::default())
            .map_err(|error| Failure::not_run(Kind::Protocol, error.to_string()))?;
        let broken = |message: String| Failure::may_have_run(Kind::Broken, message);
        let response = link.send(request).await.map_err(|error| broken(error.to_string()))?;
        if response.status() != StatusCode::OK {
            let message = format!("{path} answered {}", response.status());
            return Err(Failure::answered(Kind::Protocol, message));
        }
        let body = Limited::new(response.into_body(), limit).collect().await;
        Ok(body.map_err(|error| broken(error.to_string()))?.to_bytes())
    }
}
