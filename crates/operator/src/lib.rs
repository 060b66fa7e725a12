//! Operators: administration API, its client, status and order types.
//!
//! [`server::Server`] answers operators over HTTP and asks a [`desk::Desk`] for everything it says.

pub mod check;
pub mod desk;
pub mod histogram;
pub mod outcome;
pub mod quarantine;
pub mod readiness;
pub mod server;
pub mod status;
