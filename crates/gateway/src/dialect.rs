//! The header format of requests and responses, implemented by the adapter of each platform.

use std::{net::SocketAddr, time::Duration};

use bytes::BytesMut;
use compact_str::CompactString;
use hyper::HeaderMap;
use hyssop_document::{
    name::{Backend, Workspace},
    number::Tier,
};
use hyssop_policy::local::{demand::Segment, limit::Rate};

/// The data of a caller's request headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMeta {
    /// The request id, unique for each attempt of a caller.
    pub id: CompactString,
    /// The caller's API key.
    pub key: Option<CompactString>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// The id of the request that brought the first event, if the caller takes up a stream.
    pub resumes: Option<CompactString>,
    /// The segments of the prompt in order.
    pub segments: Vec<Segment>,
    /// The number of tokens in the prompt, 0 if the caller states none, as for plain services.
    pub prompt_tokens: u32,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The caller's estimate of the number of output tokens.
    pub expected_output_tokens: Option<u32>,
}

/// The error for invalid request headers.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{_0}")]
pub struct Malformed(#[error(not(source))] pub &'static str);

/// What the daemon sends to a backend server in the headers of one attempt.
#[derive(Debug, Clone)]
pub struct AttemptMeta<'a> {
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The only backend server that may run the attempt.
    pub server: &'a Backend,
    /// The caller's workspace, absent if the request needs no API key.
    pub workspace: Option<&'a Workspace>,
    /// The tier of the workspace, or else of the route.
    pub tier: Tier,
    /// The tier of the route, which orders requests of the same tier.
    pub route_tier: Tier,
    /// The id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// The engine from which the backend server fetches the cached part of the prompt.
    pub cache_source: Option<SocketAddr>,
}

/// The data of a backend server's response headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMeta {
    /// The id of the request that the response belongs to.
    pub id: Option<CompactString>,
    /// Whether the backend server signed the response.
    pub signed: bool,
    /// Whether the backend server states that it has not run the request.
    pub not_run: bool,
    /// Whether the backend server states that it is about to stop.
    pub leaving: bool,
    /// How long the backend server wants no requests from this daemon, if it asks for that and the
    /// response is a rejection.
    pub pause: Option<Duration>,
    /// The limit that the backend server names for the requests of all daemons together.
    pub limit: Option<Rate>,
    /// How many rejections in a second the backend server bears, if it says that it falls over beyond
    /// that.
    pub tolerance: Option<Rate>,
}

/// Parses and writes the headers of one platform.
pub trait Dialect: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Names the header that is missing or invalid.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMeta, Malformed>;

    /// Writes the headers that all attempts share: the caller's, without headers that concern one
    /// connection or that the daemon sets.
    fn write_shared(&self, headers: &HeaderMap, out: &mut BytesMut);

    /// Writes the headers of a request that a peer serves: the caller's, without those that concern one
    /// connection, and the time that is left.
    fn write_forwarded(&self, headers: &HeaderMap, time_left: Duration, out: &mut BytesMut);

    /// Writes the headers that the daemon sets for one attempt.
    fn write_attempt(&self, attempt: &AttemptMeta<'_>, out: &mut BytesMut);

    /// Parses the headers of a backend server's response.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseMeta;

    /// Adds the request id to a response that the daemon itself creates.
    fn write_request_id(&self, id: &str, headers: &mut HeaderMap);
}
