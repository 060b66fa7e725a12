//! Operators: the administration API, its client, and the types of status and orders.
//!
//! [`server::Server`] serves the API over HTTP and gets all data from a [`handler::Handler`].
//! [`client::Client`] calls the API; the command line tool for operators uses it.

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
