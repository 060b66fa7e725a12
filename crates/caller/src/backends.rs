//! Backend servers, as the home uses them.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::BoxFuture;
use hyssop_document::{model, number::Tier};

use crate::outcome::Execution;

/// The backend server of an attempt and how to connect to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The address to connect to.
    pub address: SocketAddr,
    /// Whether to open a new connection instead of reusing an idle one.
    pub fresh: bool,
}

/// One try to run a request at a backend server.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The id of the attempt, which an engine repeats in every chunk.
    pub id: CompactString,
    /// Whether the backend server is an engine or a plain service.
    pub kind: model::Kind,
    /// The path and query at the backend server.
    pub path: CompactString,
    /// The content type of the body.
    pub content_type: Option<CompactString>,
    /// The unchanged body of the caller's request.
    pub body: Bytes,
    /// The tier of the request's class.
    pub tier: Tier,
    /// The number of the last chunk received, if an earlier response is resumed.
    pub resume_after: Option<u64>,
    /// The maximum time without data from the backend server.
    pub read_timeout: Duration,
}

/// One validated chunk of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// A chunk of a model's response that carries output tokens.
    Token {
        /// The number of the chunk. Absent if the engine does not number its chunks.
        number: Option<u64>,
        /// The chunk as JSON.
        data: Bytes,
    },
    /// The token count at the end of a model's response.
    Usage {
        /// The number of tokens in the complete response.
        tokens: u64,
        /// The chunk as JSON.
        data: Bytes,
    },
    /// Bytes of a plain service's response body.
    Body(Bytes),
}

/// Counts of chunks that were dropped or out of sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Add)]
pub struct Dropped {
    /// Chunks that carry the id of another attempt.
    pub mismatched: u64,
    /// Chunks received a second time.
    pub repeated: u64,
    /// Chunks that arrived while an earlier one was missing.
    pub gaps: u64,
}

/// The cause of a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened.
    Connect {
        /// Whether the host refused the connection, as it does when the process has exited.
        refused: bool,
    },
    /// The backend server is overloaded.
    Overloaded {
        /// The delay that the backend server requests.
        retry_after: Option<Duration>,
    },
    /// The backend server returned an error status.
    Status {
        /// The status code.
        code: u16,
        /// The content type of the body.
        content_type: Option<CompactString>,
        /// The body.
        body: Bytes,
    },
    /// The connection was lost or closed before the response was complete.
    Interrupted,
    /// No data arrived within the read timeout.
    Timeout,
    /// The response was malformed, too large, or belonged to another attempt.
    Invalid,
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The cause.
    pub kind: FailureKind,
    /// Whether the request may have run.
    pub execution: Execution,
    /// A message for logs.
    pub message: CompactString,
}

/// The response to an attempt. Dropping it before its end cancels the attempt.
pub trait Response: Send {
    /// The HTTP status code.
    fn status(&self) -> u16;

    /// The content type, if the backend server sent one.
    fn content_type(&self) -> Option<CompactString>;

    /// Waits for the next chunk, or returns `None` at the end of a complete response.
    ///
    /// # Errors
    ///
    /// Fails if the response is interrupted, invalid or too slow.
    fn next(&mut self) -> BoxFuture<'_, Result<Option<Chunk>, Failure>>;

    /// The chunks dropped so far.
    fn dropped(&self) -> Dropped;
}

/// An open connection on which no byte of the attempt has been sent.
pub trait Connection: Send {
    /// Sends an attempt and waits for the head of its response.
    fn send(
        self: Box<Self>,
        attempt: Attempt,
    ) -> BoxFuture<'static, Result<Box<dyn Response>, Failure>>;
}

/// Opens connections to backend servers.
pub trait Backends: Send + Sync {
    /// Opens a connection without sending any byte of a request.
    fn connect(&self, target: Target) -> BoxFuture<'_, Result<Box<dyn Connection>, Failure>>;

    /// Queries the incarnation of a backend server, which distinguishes a fast restart from a lost
    /// connection. Returns `None` if the backend server does not report one.
    fn incarnation(&self, address: SocketAddr) -> BoxFuture<'_, Option<u64>> {
        let _ = address;
        Box::pin(async { None })
    }
}
