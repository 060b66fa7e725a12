//! Access to backend servers: HTTP client, attempts, validated streams, load reports and crash
//! records.
//!
//! [`client::Client`] opens connections and never retries a request. Users first obtain a
//! [`connection::Connection`], make the checks that must precede the first byte, and then send one
//! [`attempt::Attempt`]. The response arrives as validated [`chunk::Chunk`]s.

pub mod attempt;
pub mod blame;
pub mod body;
pub mod chunk;
pub mod client;
pub mod connection;
pub mod evidence;
pub mod failure;
pub mod load;
pub mod metrics;
pub mod response;
pub mod sse;

mod check;
mod idle;
