//! Backend servers: HTTP client, attempts, checked streams, load reports, blame for crashes.
//!
//! [`client::Client`] opens connections itself and never repeats a request. A caller first gets a
//! [`connection::Connection`], checks what it must check right before the bytes go out, and then
//! sends one [`attempt::Attempt`]. The answer comes as checked [`part::Part`]s.

pub mod answer;
pub mod attempt;
pub mod blame;
pub mod body;
pub mod client;
pub mod connection;
pub mod failure;
pub mod load;
pub mod metrics;
pub mod part;
pub mod sse;

mod check;
mod idle;
