//! The heartbeat datagram that a daemon sends to its peers.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use hyssop_document::name::{Host, Zone};
pub use hyssop_policy::local::admission::shares::{Report as Shortage, Usage};
pub use hyssop_policy::local::server::Load;
use hyssop_policy::local::{
    latency::Model,
    limit::{Rate, Report},
    speed::{KINDS, Report as SpeedReport},
};
use serde::{Deserialize, Serialize};

use crate::{
    member::{MIN_LIVENESS_TIMEOUT, SHARE_TTL},
    record::Position,
    watch::WatcherEntry,
};

/// The maximum size of a datagram: one packet of an Ethernet link.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Whether a daemon accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Phase {
    /// The daemon has no published state yet, or was suspended.
    #[display("starting")]
    Starting,
    /// The daemon accepts callers.
    #[display("ready")]
    Ready,
    /// The daemon is about to stop.
    #[display("leaving")]
    Leaving,
}

/// The sender's [`Load`] on one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// The [`name_hash`] of the backend server.
    pub backend_hash: u32,
    /// The requests and tokens that the sender has at the backend server.
    pub load: Load,
    /// How long the sender still treats the backend server as cold, in ms.
    pub cold_left_ms: u32,
}

impl From<(u32, Load, Duration)> for LoadEntry {
    fn from((backend_hash, load, cold): (u32, Load, Duration)) -> Self {
        Self { backend_hash, load, cold_left_ms: cold.as_millis() as u32 }
    }
}

impl From<LoadEntry> for (u32, Load, Duration) {
    fn from(entry: LoadEntry) -> Self {
        (entry.backend_hash, entry.load, Duration::from_millis(u64::from(entry.cold_left_ms)))
    }
}

/// How often a request crashed the backend server that ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blame {
    /// The request's fingerprint, the same for each repeat of the request.
    pub fingerprint: u64,
    /// The number of backend servers that the request crashed.
    pub crashes: u32,
    /// How long the sender keeps the record, in ms.
    pub expires_in_ms: u32,
}

/// What the sender knows about a segment of prompts that may crash backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceEntry {
    /// The fingerprint of the segment.
    pub segment: u64,
    /// The crashes at which requests with the segment had just begun.
    pub crashes: Vec<CrashEntry>,
    /// How long ago a request with the segment last survived, in ms.
    pub survived_ms_ago: Option<u32>,
}

/// The crash of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEntry {
    /// Identifies the incarnation of the backend server.
    pub id: u32,
    /// How long ago the crash was noticed, in ms.
    pub ms_ago: u32,
}

/// A backend server that said that it leaves, although its published record does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEntry {
    /// The [`name_hash`] of the backend server.
    pub backend_hash: u32,
    /// The start of its incarnation in ms since 1970, or 0 if it publishes none.
    pub incarnation: u64,
}

/// The limit of a backend server on the requests of all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitEntry {
    /// The [`name_hash`] of the backend server.
    pub backend_hash: u32,
    /// The start of its incarnation in ms since 1970, or 0 if it publishes none.
    pub incarnation: u64,
    /// The limit, or `None` if it has ended.
    pub limit: Option<Rate>,
    /// How long ago the backend server named the limit, or ended it, in ms.
    pub ms_ago: u32,
}

impl From<(u32, Report)> for LimitEntry {
    fn from((backend_hash, report): (u32, Report)) -> Self {
        let Report { incarnation, limit, age } = report;
        Self { backend_hash, incarnation, limit, ms_ago: age.as_millis() as u32 }
    }
}

impl From<LimitEntry> for (u32, Report) {
    fn from(entry: LimitEntry) -> Self {
        let LimitEntry { backend_hash, incarnation, limit, ms_ago } = entry;
        let age = Duration::from_millis(u64::from(ms_ago));
        (backend_hash, Report { incarnation, limit, age })
    }
}

/// The steps of [`SpeedEntry::slowness`] for a factor of two, and its value for 1.
const SLOWNESS_STEPS: f64 = 24.0;
const USUAL_SLOWNESS: f64 = 96.0;
/// The unit of [`SpeedEntry::age`] in ms.
const AGE_UNIT_MS: u64 = 50;
/// The steps of [`ModelEntry::parameters`] for a factor of two, and their value for 1.
const PARAMETER_STEPS: f64 = 512.0;
const PARAMETER_OF_ONE_MS: f64 = 8_192.0;
/// The maximum value of a parameter, which is encoded in two bytes.
const MAX_PARAMETER: f64 = 16_383.0;

/// The sender's measurement of the speed of a backend server. Takes 8 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedEntry {
    /// The [`name_hash`] of the backend server, without the variable length of a number.
    pub backend_hash: [u8; 4],
    /// The [`hyssop_policy::local::speed::incarnation_tag`] of the backend server.
    pub incarnation: u8,
    /// How many times longer than usual it took for each kind of measurement, on a logarithmic
    /// scale. 0 if it was not measured.
    pub slowness: [u8; KINDS],
    /// How long ago it was measured, in units of 50 ms.
    pub age: u8,
}

impl From<(u32, SpeedReport)> for SpeedEntry {
    fn from((backend_hash, report): (u32, SpeedReport)) -> Self {
        let encode = |slowness: f64| match slowness {
            0.0 => 0,
            _ => {
                let steps = slowness.log2() * SLOWNESS_STEPS + USUAL_SLOWNESS;
                steps.round().clamp(1.0, f64::from(u8::MAX)) as u8
            }
        };
        let age = report.age.as_millis() as u64 / AGE_UNIT_MS;
        Self {
            backend_hash: backend_hash.to_le_bytes(),
            incarnation: report.incarnation,
            slowness: report.slowness.map(encode),
            age: u8::try_from(age).unwrap_or(u8::MAX),
        }
    }
}

impl From<SpeedEntry> for (u32, SpeedReport) {
    fn from(entry: SpeedEntry) -> Self {
        let decode = |steps: u8| match steps {
            0 => 0.0,
            _ => ((f64::from(steps) - USUAL_SLOWNESS) / SLOWNESS_STEPS).exp2(),
        };
        let report = SpeedReport {
            incarnation: entry.incarnation,
            slowness: entry.slowness.map(decode),
            age: Duration::from_millis(u64::from(entry.age) * AGE_UNIT_MS),
        };
        (u32::from_le_bytes(entry.backend_hash), report)
    }
}

/// The sender's model of a pool. Takes 12 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The hash of the pool's name.
    pub pool_hash: [u8; 4],
    /// The [`Model::parameters`], on a logarithmic scale; 0 stands for 0.
    pub parameters: [u16; Model::PARAMETERS],
}

impl From<(u32, [f64; Model::PARAMETERS])> for ModelEntry {
    fn from((pool_hash, parameters): (u32, [f64; Model::PARAMETERS])) -> Self {
        let encode = |parameter: f64| match parameter {
            0.0 => 0,
            _ => {
                let steps = parameter.log2() * PARAMETER_STEPS + PARAMETER_OF_ONE_MS;
                steps.round().clamp(1.0, MAX_PARAMETER) as u16
            }
        };
        Self { pool_hash: pool_hash.to_le_bytes(), parameters: parameters.map(encode) }
    }
}

impl From<ModelEntry> for (u32, [f64; Model::PARAMETERS]) {
    fn from(entry: ModelEntry) -> Self {
        let decode = |steps: u16| match steps {
            0 => 0.0,
            _ => ((f64::from(steps) - PARAMETER_OF_ONE_MS) / PARAMETER_STEPS).exp2(),
        };
        (u32::from_le_bytes(entry.pool_hash), entry.parameters.map(decode))
    }
}

/// A member of the sender's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The member's address.
    pub address: IpAddr,
    /// The [`name_hash`] of the member's host.
    pub host_hash: u32,
    /// How long the member still holds its share of the divided limits, in seconds.
    pub share_left_s: u16,
}

/// One daemon's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's host.
    pub host: Host,
    /// The sender's availability zone.
    pub zone: Zone,
    /// The start of the sender's process: ms since 1970, above 8 random bits that make it unique.
    pub incarnation: u64,
    /// Where the sender accepts callers.
    pub caller_address: SocketAddr,
    /// Whether the sender accepts callers.
    pub phase: Phase,
    /// The capacity of the sender's host, in requests per second.
    pub weight: u16,
    /// The last position that the sender has applied.
    pub applied: Position,
    /// Whether the sender receives changes from the source itself.
    pub watches_source: bool,
    /// Whether the sender's membership has converged, see [`crate::member::Table::has_converged`].
    pub converged: bool,
    /// A random sample of the other members that hold a share.
    pub members: Vec<MemberEntry>,
    /// The sender's load on backend servers. Backend servers that are left out have none.
    pub loads: Vec<LoadEntry>,
    /// Requests that crashed backend servers.
    pub blames: Vec<Blame>,
    /// Segments of prompts that may crash backend servers.
    pub evidence: Vec<EvidenceEntry>,
    /// Backend servers that said that they leave.
    pub leaving: Vec<LeavingEntry>,
    /// Backend servers that named limits to the sender, or ended them.
    pub limits: Vec<LimitEntry>,
    /// A sample of the sender's recent measurements of backend servers.
    pub speeds: Vec<SpeedEntry>,
    /// The sender's models of pools, if they have changed recently.
    pub models: Vec<ModelEntry>,
    /// Classes of requests whose capacity is short, with the workspaces that ask for the most.
    pub shortages: Vec<Shortage>,
}

impl MemberEntry {
    /// Whether the sender received a heartbeat of the member recently.
    pub fn is_alive(&self) -> bool {
        Duration::from_secs(u64::from(self.share_left_s)) + 2 * MIN_LIVENESS_TIMEOUT >= SHARE_TTL
    }
}

/// What a daemon sends in one datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    /// The sender's heartbeat.
    pub heartbeat: Heartbeat,
    /// What follows it, which older versions lack.
    pub extension: Extension,
    /// The pools of which the sender reaches no backend server. They follow the extension if there are
    /// any, and are ignored by versions that don't know them.
    pub lost_pools: LostPools,
}

/// The pools of which a daemon reaches no backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LostPools {
    /// Those with these [`name_hash`]es.
    Listed(Vec<u32>),
    /// All that have backend servers.
    All,
}

impl Default for LostPools {
    fn default() -> Self {
        Self::Listed(Vec::new())
    }
}

impl LostPools {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Whether the pool with this hash is among them.
    pub fn contains(&self, pool_hash: u32) -> bool {
        match self {
            Self::Listed(hashes) => hashes.contains(&pool_hash),
            Self::All => true,
        }
    }
}

/// What a datagram carries behind the heartbeat. New fields are appended to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// The last signs of life of daemons that watch the source.
    pub watchers: Vec<WatcherEntry>,
    /// The digest of the records that a sender that watches the source has at
    /// [`Heartbeat::applied`].
    pub digest: Option<u64>,
}

impl Datagram {
    /// Encodes the datagram. The extension is left out if it does not fit.
    ///
    /// # Errors
    ///
    /// Returns the codec's error.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = self.heartbeat.encode()?;
        let lost_pools = match self.lost_pools.is_empty() {
            true => Vec::new(),
            false => postcard::to_allocvec(&self.lost_pools)?,
        };
        let extension = postcard::to_allocvec(&self.extension)?;
        if bytes.len() + extension.len() + lost_pools.len() <= MAX_DATAGRAM_BYTES {
            bytes.extend(extension);
        } else if !lost_pools.is_empty() {
            bytes.extend(postcard::to_allocvec(&Extension::default())?);
        }
        bytes.extend(lost_pools);
        Ok(bytes)
    }

    /// Decodes a datagram, which may end after the heartbeat or the extension.
    ///
    /// # Errors
    ///
    /// Returns the codec's error for bytes that are not a heartbeat.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (heartbeat, rest) = postcard::take_from_bytes(bytes)?;
        let (extension, rest) = take_or_default(rest)?;
        let (lost_pools, _) = take_or_default(rest)?;
        Ok(Self { heartbeat, extension, lost_pools })
    }
}

/// Decodes the next part of a datagram, which may end before it.
fn take_or_default<'a, T: Default + Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), postcard::Error> {
    if bytes.is_empty() { Ok((T::default(), bytes)) } else { postcard::take_from_bytes(bytes) }
}

/// The start of the process with an incarnation, in ms since 1970.
pub fn started_ms(incarnation: u64) -> u64 {
    incarnation >> 8
}

impl Heartbeat {
    /// The start of the sender's process in ms since 1970.
    pub fn started_ms(&self) -> u64 {
        started_ms(self.incarnation)
    }

    /// Encodes the heartbeat as the payload of one datagram.
    ///
    /// # Errors
    ///
    /// Returns the codec's error. The payload fits into a datagram if the lists are bounded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes the payload of a datagram.
    ///
    /// # Errors
    ///
    /// Returns the codec's error for bytes that are not a heartbeat.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// The hash of a name, the same in all daemons.
pub fn name_hash(name: &str) -> u32 {
    // FNV-1a: few collisions among some thousands of names.
    name.bytes()
        .fold(0x811c_9dc5_u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
