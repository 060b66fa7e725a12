//! A read-only client of the platform's configuration service: reads, watches, backoff.
//!
//! The service offers the Consul KV HTTP interface with blocking queries. This crate only sends
//! `GET` requests, so it can't change a published value.

pub mod backoff;
pub mod client;
pub mod hosts;
pub mod reader;

use serde::{Deserialize, Serialize};

/// A value that the platform publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Key {
    /// The operators' document.
    #[display("document")]
    Document,
    /// The list of live and leaving hosts.
    #[display("hosts")]
    Hosts,
    /// The operators' orders: availability zones and hosts that are out of service.
    #[display("orders")]
    Orders,
}

impl Key {
    /// All keys.
    pub const ALL: [Self; 3] = [Self::Document, Self::Hosts, Self::Orders];
}
