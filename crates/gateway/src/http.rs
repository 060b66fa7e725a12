//! HTTP/1.1 client for backend servers.
//!
//! `hyper` serves callers, but its client is unsuitable for backend servers for two reasons. The
//! response to an earlier request can precede the awaited one on a connection that is otherwise
//! usable (`tests/library.rs` shows the effect). And a request may be sent again only if it is
//! certain that no byte of it was written.

pub mod connection;
pub mod framing;
pub mod head;
pub mod pool;

use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Makes the close of a connection a reset, which drops the bytes that the other side has not received.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(event = "connection_not_reset", %error);
    }
}
