//! Opaque requests, passed on to backend servers that published records name.
//!
//! The daemon that holds a caller's connection decides alone, on a view that daemons share
//! (`hyssop-view`). Decisions are in `hyssop_policy::local`; here are the state that they are taken
//! on, the exchange with callers and backend servers, and what is done when one of them fails.

pub mod body;
pub mod call;
pub mod dialect;
pub mod directory;
pub mod environment;
pub mod events;
pub mod follow;
pub mod gateway;
pub mod http;
pub mod intake;
pub mod knowledge;
pub mod lifecycle;
pub mod metrics;
pub mod record;
pub mod relay;
pub mod reply;
pub mod server;
pub mod share;
pub mod suspects;
