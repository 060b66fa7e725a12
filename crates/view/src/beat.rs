//! The datagram that a daemon sends to its peers.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use hyssop_document::name::{Host, Zone};
pub use hyssop_policy::local::server::Load;
use serde::{Deserialize, Serialize};

use crate::{
    member::{PART_KEPT, SILENT_AFTER},
    record::Revision,
};

/// The largest datagram in bytes: fits into one packet of an Ethernet link.
pub const MAX_BYTES: usize = 1400;

/// Whether a daemon takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Phase {
    /// It has no published state yet.
    #[display("starting")]
    Starting,
    /// It takes callers.
    #[display("ready")]
    Ready,
    /// It is about to stop.
    #[display("leaving")]
    Leaving,
}

/// A [`Load`] with the backend server that it is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The hash of the backend server's name.
    pub backend: u32,
    /// The load.
    pub load: Load,
    /// How long the backend server stays cold by the sender's knowledge, in ms.
    pub cold_ms: u32,
}

impl From<(u32, Load, Duration)> for Entry {
    fn from((backend, load, cold): (u32, Load, Duration)) -> Self {
        Self { backend, load, cold_ms: cold.as_millis() as u32 }
    }
}

impl From<Entry> for (u32, Load, Duration) {
    fn from(entry: Entry) -> Self {
        (entry.backend, entry.load, Duration::from_millis(u64::from(entry.cold_ms)))
    }
}

/// How often a request broke the backend server that ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blame {
    /// The hash of what makes the request the same when it comes again.
    pub fingerprint: u64,
    /// The number of backend servers that it broke.
    pub crashes: u32,
    /// How long the sender will remember it, in ms.
    pub left_ms: u32,
}

/// A member that the sender knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Named {
    /// Its address.
    pub address: IpAddr,
    /// The hash of its name.
    pub host: u32,
    /// How long it keeps its part of what is divided among all, in seconds.
    pub kept_s: u16,
}

/// One daemon's beat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub host: Host,
    /// The sender's availability zone.
    pub zone: Zone,
    /// The start of the sender's process: ms since 1970, made unique by its random low bits.
    pub incarnation: u64,
    /// Where callers reach the sender.
    pub callers: SocketAddr,
    /// Whether the sender takes callers.
    pub phase: Phase,
    /// What the sender can carry, in requests a second.
    pub weight: u16,
    /// The highest revision that the sender has applied.
    pub applied: Revision,
    /// Whether the sender hears of changes from the source itself.
    pub follows: bool,
    /// Whether the sender knows all members that may use a part of what is divided.
    pub settled: bool,
    /// Other members, a few at a time.
    pub members: Vec<Named>,
    /// All that the sender has at backend servers: where it tells nothing it has nothing.
    pub loads: Vec<Entry>,
    /// Requests that broke backend servers.
    pub blames: Vec<Blame>,
}

impl Named {
    /// Whether the sender heard of the member lately.
    pub fn is_heard(&self) -> bool {
        Duration::from_secs(u64::from(self.kept_s)) + 2 * SILENT_AFTER >= PART_KEPT
    }
}

impl Beat {
    /// The bytes of a datagram.
    ///
    /// # Errors
    ///
    /// Returns the codec's error; a beat of bounded lists always fits.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns the codec's error for bytes that are no beat.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// The hash of a name, the same in all daemons.
pub fn name_hash(name: &str) -> u32 {
    // FNV-1a: small, fixed, and good enough for some thousands of names.
    name.bytes()
        .fold(0x811c_9dc5_u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
