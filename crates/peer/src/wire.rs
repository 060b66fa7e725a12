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

/// The version of the protocol. Datagrams of another version are dropped.
pub const VERSION: u8 = 1;
/// The largest datagram that is sent or accepted.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// The cell that hosts belong to. Datagrams of another cell are dropped.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display,
)]
pub struct Cell(pub u32);

/// The revision of a value and the digest of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The revision.
    pub revision: Revision,
    /// The digest. Of two values with one revision the higher digest wins on every daemon.
    pub digest: Digest,
}

impl Stamp {
    /// The stamp before any value: every value replaces it.
    pub const NONE: Self = Self { revision: Revision(0), digest: Digest([0; 32]) };
}

/// The last heartbeat of the recipient that the sender has processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The run of the recipient.
    pub incarnation: Incarnation,
    /// The number of the heartbeat.
    pub sequence: Sequence,
}

/// What a daemon tells until the recipient has answered a heartbeat that had it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advertisement {
    /// The sender's availability zone.
    pub zone: name::Zone,
    /// The address on which the sender serves callers.
    pub caller_address: SocketAddr,
    /// The address on which the sender serves peers.
    pub peer_address: SocketAddr,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether the sender reached the platform lately.
    pub platform_reached: bool,
    /// The document in force.
    pub document: Stamp,
    /// The service orders in force.
    pub orders: Stamp,
    /// The list of hosts in use.
    pub list: Stamp,
    /// The number of hosts that were listed within the guard window, 0 if the sender has not run as
    /// long.
    pub voter_count: u32,
    /// A digest over the notices, by which a difference is seen.
    pub notices: u64,
}

/// One heartbeat, made for one recipient.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The version of the protocol.
    pub version: u8,
    /// The cell.
    pub cell: Cell,
    /// The sender's host.
    pub host: name::Host,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The number of this heartbeat.
    pub sequence: Sequence,
    /// The sender's uptime before it sent the heartbeat, in milliseconds.
    pub uptime_ms: u64,
    /// What the sender has processed of the recipient.
    pub ack: Option<Ack>,
    /// Whether the sender's list of hosts has the recipient on it.
    pub lists_recipient: bool,
    /// What has changed since the recipient last answered. `None`: nothing.
    pub advertisement: Option<Box<Advertisement>>,
    /// All votes for the recipient. One that is missing was withdrawn.
    pub votes: Vec<Vote>,
}

impl Heartbeat {
    /// The sender.
    pub fn process(&self) -> Process {
        Process { host: self.host.clone(), incarnation: self.incarnation }
    }
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// It is larger than [`MAX_DATAGRAM_BYTES`].
    #[display("the datagram has {_0} bytes, at most {MAX_DATAGRAM_BYTES} are allowed")]
    TooLong(#[error(not(source))] usize),
    /// It is no heartbeat.
    #[display("the datagram is no heartbeat")]
    Malformed,
    /// It is of another version of the protocol.
    #[display("the datagram has version {_0}, this daemon speaks version {VERSION}")]
    Version(#[error(not(source))] u8),
    /// It has more votes than there can be groups.
    #[display("the datagram has {_0} votes, at most {MAX_CELL_GROUPS} are allowed")]
    TooManyVotes(#[error(not(source))] usize),
}

/// Writes a heartbeat.
///
/// # Errors
///
/// Fails if the heartbeat is larger than a datagram may be.
pub fn encode(heartbeat: &Heartbeat) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_allocvec(heartbeat).expect("a heartbeat is serializable");
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Reads a heartbeat.
///
/// # Errors
///
/// Fails on everything that [`encode`] would not write.
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
