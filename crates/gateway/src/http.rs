//! HTTP/1.1 towards backend servers.
//!
//! The server side uses `hyper`. Here its client does not do: an answer to an earlier request can
//! stand before the one that is waited for, on a connection that is good otherwise
//! (`tests/library.rs` shows what becomes of it), and whether a byte of a request has left decides if
//! it may be sent again.

pub mod connection;
pub mod framing;
pub mod head;
pub mod pool;
