//! Operators: administration API, its client, status and order types.
//!
//! [`server::Server`] answers operators over HTTP and asks a [`handler::Handler`] for everything it says.
//! [`client::Client`] is the other end, used by the operators' command.

pub mod check;
pub mod client;
pub mod error;
pub mod handler;
pub mod histogram;
pub mod outcome;
pub mod quarantine;
pub mod readiness;
pub mod server;
pub mod status;
