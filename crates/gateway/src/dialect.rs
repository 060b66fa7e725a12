//! How requests and answers are written on the wire. The adapter of each platform implements it.

use std::time::Duration;

use bytes::BytesMut;
use compact_str::CompactString;
use hyper::HeaderMap;
use hyssop_document::{
    name::{Backend, Workspace},
    number::Tier,
};
use hyssop_policy::local::demand::Segment;

/// What a caller says about its request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ask {
    /// The id, unique for each attempt of a caller.
    pub id: CompactString,
    /// The caller's key.
    pub key: Option<CompactString>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The parts of its prompt in order.
    pub parts: Vec<Segment>,
    /// The tokens of its prompt.
    pub prompt_tokens: u32,
    /// The most tokens that it may generate.
    pub max_output_tokens: u32,
    /// The caller's estimate of the tokens generated.
    pub likely_output_tokens: Option<u32>,
}

/// Why a request can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{_0}")]
pub struct Malformed(#[error(not(source))] pub &'static str);

/// What the daemon tells a backend server about one attempt.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    /// The time left.
    pub left: Duration,
    /// The only backend server that may run it.
    pub server: &'a Backend,
    /// The workspace of the caller.
    pub workspace: Option<&'a Workspace>,
    /// Its tier: that of its workspace, or else that of its route.
    pub tier: Tier,
    /// The tier of its route, which orders requests of one tier.
    pub route_tier: Tier,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What an answer's head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Mark {
    /// The request that it answers.
    pub id: Option<CompactString>,
    /// Whether it bears the backend server's signature.
    pub signed: bool,
    /// Whether the backend server states that the request has not run there.
    pub not_run: bool,
}

/// Reads and writes the headers of one platform.
pub trait Dialect: Send + Sync {
    /// Reads what a caller says.
    ///
    /// # Errors
    ///
    /// Returns what is missing or can't be read.
    fn ask(&self, headers: &HeaderMap) -> Result<Ask, Malformed>;

    /// Writes the headers of a request that all attempts share: what the caller sent, without what
    /// concerns one connection or is the daemon's to set.
    fn write_shared(&self, headers: &HeaderMap, out: &mut BytesMut);

    /// Writes the headers of one attempt.
    fn write_attempt(&self, attempt: &Attempt<'_>, out: &mut BytesMut);

    /// Reads an answer's head.
    fn mark(&self, headers: &HeaderMap) -> Mark;

    /// Writes the request's id into an answer of the daemon's own.
    fn echo(&self, id: &str, headers: &mut HeaderMap);
}
