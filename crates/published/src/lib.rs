//! The platform's configuration service: reads, watches, back-off.
//!
//! The service is met through the read part of the Consul KV HTTP interface with blocking queries.
//! Nothing here can write: the only method used is `GET`.

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
    /// The availability zones and hosts that operators have taken out of service.
    #[display("orders")]
    Orders,
}

impl Key {
    /// All keys.
    pub const ALL: [Self; 3] = [Self::Document, Self::Hosts, Self::Orders];
}
