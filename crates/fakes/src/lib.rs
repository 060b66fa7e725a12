//! Fakes for tests: platform, model engine, plain service, network link, load generator, history.
//! The crate is not shipped.
//!
//! Each fake is a library type that runs in the caller's Tokio runtime. The binary `node` starts
//! most of them as subcommands, and can also run the daemon or the operators' command.

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
