//! Stand-ins for tests: platform, engine, plain service, link forwarder, load source, history; not shipped.
//!
//! Each stand-in is a library type that starts in the caller's runtime, and a subcommand of the
//! binary `node`, which can also be the daemon or the operators' command.

pub mod baseline;
pub mod client;
pub mod cluster;
pub mod engine;
pub mod history;
pub mod link;
pub mod listener;
pub mod load;
pub mod node;
pub mod platform;
pub mod process;
pub mod quickstart;
pub mod record;
pub mod service;
pub mod shape;
