//! Backend servers, as the home uses them.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::BoxFuture;
use hyssop_document::{model, number::Tier};

use crate::outcome::Execution;

/// Where an attempt goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The address of the backend server.
    pub address: SocketAddr,
    /// Whether only a fresh connection may be used.
    pub fresh: bool,
}

/// One attempt to have a request answered.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The id, which the backend server echoes on every part.
    pub id: CompactString,
    /// What the backend server serves.
    pub kind: model::Kind,
    /// The path with its query.
    pub path: CompactString,
    /// The content type of the body.
    pub content_type: Option<CompactString>,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// The tier.
    pub tier: Tier,
    /// The number of the last part received, where an earlier answer is resumed.
    pub resume_after: Option<u64>,
    /// The longest silence of the backend server.
    pub silence: Duration,
}

/// A checked part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A token of a model's answer.
    Token {
        /// The number of the part, where the engine numbers its parts.
        number: Option<u64>,
        /// The chunk as JSON.
        data: Bytes,
    },
    /// The count at the end of a model's answer.
    Usage {
        /// The number of tokens in the whole answer.
        tokens: u64,
        /// The chunk as JSON.
        data: Bytes,
    },
    /// Bytes of a plain service's answer.
    Body(Bytes),
}

/// Parts that were dropped from an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Add)]
pub struct Dropped {
    /// Parts of another attempt.
    pub crossed: u64,
    /// Parts that had come before.
    pub repeated: u64,
    /// Parts that came where an earlier one was missing.
    pub gaps: u64,
}

/// The kind of a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened.
    Connect {
        /// Whether the host answered that nothing listens there, as it does after a crash.
        refused: bool,
    },
    /// The backend server is overloaded.
    Overloaded {
        /// The time after which it asks to be tried again.
        retry_after: Option<Duration>,
    },
    /// The backend server answered with an error.
    Status {
        /// The status code.
        code: u16,
        /// The content type of the body.
        content_type: Option<CompactString>,
        /// The body.
        body: Bytes,
    },
    /// The connection broke, or the answer was not whole.
    Broken,
    /// The backend server was silent for too long.
    Silent,
    /// The answer was malformed, too large, or belonged to another attempt.
    Invalid,
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The kind.
    pub kind: FailureKind,
    /// Whether the request may have run.
    pub ran: Execution,
    /// A plain message for logs.
    pub message: CompactString,
}

/// The answer to an attempt. Dropping it before its end cancels the attempt.
pub trait Answer: Send {
    /// The status code.
    fn status(&self) -> u16;

    /// The content type.
    fn content_type(&self) -> Option<CompactString>;

    /// The next part, or `None` once the whole answer has come.
    fn next(&mut self) -> BoxFuture<'_, Result<Option<Part>, Failure>>;

    /// The parts dropped so far.
    fn dropped(&self) -> Dropped;
}

/// A connection on which nothing has been sent for this request yet.
pub trait Connection: Send {
    /// Sends an attempt and waits for the head of its answer.
    fn send(
        self: Box<Self>,
        attempt: Attempt,
    ) -> BoxFuture<'static, Result<Box<dyn Answer>, Failure>>;
}

/// Where connections to backend servers come from.
pub trait Backends: Send + Sync {
    /// Opens a connection without sending anything.
    fn connect(&self, target: Target) -> BoxFuture<'_, Result<Box<dyn Connection>, Failure>>;

    /// Asks a backend server for its incarnation, by which a quick restart is told from a broken
    /// connection.
    fn incarnation(&self, address: SocketAddr) -> BoxFuture<'_, Option<u64>> {
        let _ = address;
        Box::pin(async { None })
    }
}
