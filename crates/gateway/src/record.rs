//! Records of the published state, and how they are decoded.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use hyssop_document::{
    build::Build,
    name::{Backend, Pool, Zone},
};

use crate::environment::Environment;

pub use hyssop_view::record::{Changes, Era, Listing, Position, Record, Revision};

/// Whether a backend server accepts requests, by its own record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum State {
    /// The server accepts requests.
    #[display("ready")]
    Ready,
    /// The server is about to stop and must get no new requests.
    #[display("draining")]
    Draining,
}

/// A backend server, as published.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// The server's name. Each attempt names the server that is to run it, and other servers reject
    /// the attempt.
    pub name: Backend,
    /// The pool that the server belongs to.
    pub pool: Pool,
    /// Where the server accepts requests.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Zone,
    /// The version of the server's software.
    pub build: Build,
    /// The number of requests that the server runs at a time, or 0 if it is not declared.
    pub slots: u32,
    /// Whether the server accepts requests.
    pub state: State,
    /// How long the server stays cold, counted from when the record was written.
    pub cold_for: Duration,
    /// The start of the server's incarnation in ms since 1970, if published.
    pub started_ms: Option<u64>,
}

/// The decoded value of a record.
#[derive(Debug, Clone)]
pub enum Value {
    /// A version of the environment.
    Environment(Box<Environment>),
    /// A backend server.
    Server(Server),
    /// An availability zone whose backend servers must get no requests.
    ZoneOut(Zone),
}

/// The parsed key of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    /// The declared environment.
    Environment,
    /// The backend server of this name.
    Server(Backend),
    /// The order to take this availability zone out of service.
    ZoneOut(Zone),
}

/// Why a value can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{_0}")]
pub struct Error(#[error(not(source))] pub CompactString);

/// Decodes the records of a source. The adapter of each platform implements it.
pub trait Decoder: Send + Sync {
    /// Parses a key. Returns `None` for keys that the gateway does not use.
    fn parse_key(&self, key: &str) -> Option<Key>;

    /// Decodes a value by its parsed key.
    ///
    /// # Errors
    ///
    /// Returns what is malformed or missing in the value.
    fn decode(&self, key: &Key, value: &[u8]) -> Result<Value, Error>;
}
