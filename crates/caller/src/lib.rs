//! Callers: HTTP server, idempotency keys, outcomes, addresses, and the handling of requests.
//!
//! [`server::Server`] accepts connections, reads requests within limits and hands them to a
//! [`handler::Handler`]. [`home::Home`] is the handler of a daemon: it authenticates the caller,
//! joins repeated requests by their keys, requests permits and dispatches to backend servers. The
//! rest of the daemon implements the traits that the home depends on, in [`directory`],
//! [`permits`], [`backends`], [`quarantine`], [`relay`], [`retries`] and [`observer`].

pub mod backends;
pub mod body;
pub mod directory;
pub mod handler;
pub mod home;
pub mod key;
pub mod observer;
pub mod outcome;
pub mod permits;
pub mod quarantine;
pub mod record;
pub mod registry;
pub mod relay;
pub mod render;
pub mod request;
pub mod retries;
pub mod server;
