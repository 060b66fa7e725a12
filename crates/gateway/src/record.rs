//! Records: the published state, item by item, with the revision of each.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use hyssop_document::name::{Backend, Pool, Zone};

use crate::environment::Environment;

pub use hyssop_view::record::{Record, Revision};

/// What a backend server says about its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum State {
    /// It takes requests.
    #[display("ready")]
    Ready,
    /// It leaves, and must get no new requests.
    #[display("draining")]
    Draining,
}

/// A backend server as it is published.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// The name, which requests can insist on.
    pub name: Backend,
    /// The pool that it serves.
    pub pool: Pool,
    /// The address for requests.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Zone,
    /// The requests that it runs at once.
    pub slots: u32,
    /// What it says about its service.
    pub state: State,
    /// How long it stays cold, counted from when this was written.
    pub cold: Duration,
    /// The start of this incarnation in ms since 1970, if it says so.
    pub born_ms: Option<u64>,
}

/// What a record means.
#[derive(Debug, Clone)]
pub enum Fact {
    /// The newest version of the environment.
    Environment(Box<Environment>),
    /// A backend server.
    Server(Server),
    /// A zone whose backend servers get nothing.
    ZoneOut(Zone),
}

/// The kind of thing that a key names, known without its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// The environment.
    Environment,
    /// The backend server of this name.
    Server(Backend),
    /// The order to take this zone out.
    ZoneOut(Zone),
}

/// Why a record means nothing.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{_0}")]
pub struct Fault(#[error(not(source))] pub CompactString);

/// Knows how records are written. The adapter of each source implements it.
pub trait Decoder: Send + Sync {
    /// What a key names, or `None` for a key of no interest.
    fn subject(&self, key: &str) -> Option<Subject>;

    /// What a record with a value means.
    ///
    /// # Errors
    ///
    /// Returns a fault if the value can't be read or lacks what is needed.
    fn decode(&self, subject: &Subject, value: &[u8]) -> Result<Fact, Fault>;
}
