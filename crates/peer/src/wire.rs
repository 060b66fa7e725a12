//! Heartbeats as UDP datagrams.

use hyssop_document::{
    digest::Digest,
    name,
    number::{Incarnation, Revision},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::{
    identity::Process,
    timing::MAX_CELL_GROUPS,
    vote::{Sequence, Vote},
};

/// The protocol version. Datagrams of any other version are dropped.
pub const VERSION: u8 = 1;
/// The size limit of a datagram, sent or received.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Identifies a cell: the hosts whose daemons vote together. Heartbeats from other cells are
/// ignored.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display,
)]
pub struct Cell(pub u32);

/// The revision of a published value and the digest of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The revision; the highest one wins.
    pub revision: Revision,
    /// Breaks ties: of two values with the same revision, every daemon uses the higher digest.
    pub digest: Digest,
}

impl Stamp {
    /// The stamp of a missing value. Every other stamp is higher.
    pub const NONE: Self = Self { revision: Revision(0), digest: Digest([0; 32]) };
}

/// Acknowledges the last heartbeat of the recipient that the sender has processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The recipient process that sent the heartbeat.
    pub incarnation: Incarnation,
    /// The number of the acknowledged heartbeat.
    pub sequence: Sequence,
}

/// The sender's state, repeated until the recipient acknowledges a heartbeat that carries it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advertisement {
    /// The sender's availability zone.
    pub zone: name::Zone,
    /// The sender's listen address for callers.
    pub caller_address: SocketAddr,
    /// The sender's listen address for peers.
    pub peer_address: SocketAddr,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether the sender's last read of the platform succeeded.
    pub platform_reached: bool,
    /// The stamp of the document in force.
    pub document: Stamp,
    /// The stamp of the service orders in force.
    pub orders: Stamp,
    /// The stamp of the list of hosts in use.
    pub list: Stamp,
    /// The number of hosts that were listed within the guard window; 0 while the sender has run for
    /// less than that.
    pub voter_count: u32,
    /// A digest over the sender's notices. Peers fetch the notices if their own digest differs.
    pub notices: u64,
}

/// One heartbeat, made for one recipient.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The protocol version; see [`VERSION`].
    pub version: u8,
    /// The sender's cell.
    pub cell: Cell,
    /// The sender's host.
    pub host: name::Host,
    /// The start of the sender's process.
    pub incarnation: Incarnation,
    /// The number of this heartbeat, ascending per process.
    pub sequence: Sequence,
    /// The sender's uptime at the beginning of the round, in milliseconds.
    pub uptime_ms: u64,
    /// The last heartbeat of the recipient that the sender has processed.
    pub ack: Option<Ack>,
    /// Whether the sender's list of hosts contains the recipient.
    pub lists_recipient: bool,
    /// The sender's state. `None` once the recipient has acknowledged the current state.
    pub advertisement: Option<Box<Advertisement>>,
    /// All votes for the recipient. A missing vote was withdrawn.
    pub votes: Vec<Vote>,
}

impl Heartbeat {
    /// The process that sent the heartbeat.
    pub fn process(&self) -> Process {
        Process { host: self.host.clone(), incarnation: self.incarnation }
    }
}

/// Why a datagram is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The datagram is larger than [`MAX_DATAGRAM_BYTES`].
    #[display("the datagram has {_0} bytes, at most {MAX_DATAGRAM_BYTES} are allowed")]
    TooLong(#[error(not(source))] usize),
    /// The datagram is not a heartbeat, or has trailing bytes.
    #[display("the datagram is not a heartbeat")]
    Malformed,
    /// The datagram has another protocol version.
    #[display("the datagram has version {_0}, this daemon requires version {VERSION}")]
    Version(#[error(not(source))] u8),
    /// The heartbeat has more votes than a cell can have groups.
    #[display("the datagram has {_0} votes, at most {MAX_CELL_GROUPS} are allowed")]
    TooManyVotes(#[error(not(source))] usize),
}

/// Encodes a heartbeat.
///
/// # Errors
///
/// Returns [`Error::TooLong`] if the result exceeds [`MAX_DATAGRAM_BYTES`].
pub fn encode(heartbeat: &Heartbeat) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_allocvec(heartbeat).expect("a heartbeat is serializable");
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a heartbeat.
///
/// # Errors
///
/// Rejects everything that [`encode`] does not produce.
pub fn decode(bytes: &[u8]) -> Result<Heartbeat, Error> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLong(bytes.len()));
    }
    match bytes.first() {
        Some(&VERSION) => {}
        Some(&other) => return Err(Error::Version(other)),
        None => return Err(Error::Malformed),
    }
    let (heartbeat, rest) =
        postcard::take_from_bytes::<Heartbeat>(bytes).map_err(|_| Error::Malformed)?;
    if !rest.is_empty() {
        return Err(Error::Malformed);
    }
    if heartbeat.votes.len() > MAX_CELL_GROUPS {
        return Err(Error::TooManyVotes(heartbeat.votes.len()));
    }
    Ok(heartbeat)
}
