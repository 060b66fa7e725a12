//! Forwards opaque requests to the backend servers of the published environment.
//!
//! The daemon that a caller is connected to decides alone where a request goes, by state that
//! daemons share (`hyssop-view`). `hyssop_policy::local` makes these decisions. This crate holds
//! the state behind them, exchanges data with callers and backend servers, and handles their
//! failures.

pub mod body;
pub mod builds;
pub mod cache;
pub mod call;
pub mod departure;
pub mod dialect;
pub mod directory;
pub mod environment;
pub mod events;
pub mod gateway;
pub mod http;
pub mod intake;
pub mod lifecycle;
pub mod metrics;
pub mod peers;
mod reach;
pub mod record;
pub mod refusal;
pub mod relay;
pub mod restore;
pub mod server;
mod silence;
pub mod source;
pub mod suspects;
mod upload;
