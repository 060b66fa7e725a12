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
