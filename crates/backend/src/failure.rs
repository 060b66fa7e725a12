//! Why an attempt at a backend server failed, and whether it may have run.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

/// What is known about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Ran {
    /// No byte of the request can have reached a backend server.
    #[display("not_run")]
    NotRun,
    /// At least one byte may have reached a backend server, and no answer tells more.
    #[display("may_have_run")]
    MayHaveRun,
    /// The backend server has answered.
    #[display("ran")]
    Ran,
}

/// The kind of a failure.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Kind {
    /// No connection could be opened.
    #[display("connect")]
    Connect {
        /// Whether the host answered that nothing listens there, as it does after a crash.
        refused: bool,
    },
    /// The backend server answered 503: it is overloaded or in cold start.
    #[display("overloaded")]
    Overloaded {
        /// The value of `Retry-After`, where there was one.
        retry_after: Option<Duration>,
    },
    /// The backend server answered with an error.
    #[display("status {code}")]
    Status {
        /// The status code.
        code: u16,
        /// The content type of the body.
        content_type: Option<CompactString>,
        /// The body.
        body: Bytes,
    },
    /// The connection broke, or the answer ended before its end mark.
    #[display("broken")]
    Broken,
    /// The answer's end mark came, but its count of tokens does not fit.
    #[display("count")]
    Count,
    /// The answer belongs to another attempt.
    #[display("crossed")]
    Crossed,
    /// The backend server was silent for too long.
    #[display("timeout")]
    Timeout,
    /// The answer is larger than allowed.
    #[display("too large")]
    TooLarge,
    /// The answer does not follow the protocol.
    #[display("protocol")]
    Protocol,
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{kind}: {message}")]
pub struct Failure {
    /// The kind.
    pub kind: Kind,
    /// Whether the request may have run.
    pub ran: Ran,
    /// A plain message for logs.
    pub message: CompactString,
}

impl Failure {
    /// A failure before any byte of the request went out.
    pub fn not_run(kind: Kind, message: impl AsRef<str>) -> Self {
        Self { kind, ran: Ran::NotRun, message: CompactString::new(message) }
    }

    /// A failure after which the request may have run.
    pub fn may_have_run(kind: Kind, message: impl AsRef<str>) -> Self {
        Self { kind, ran: Ran::MayHaveRun, message: CompactString::new(message) }
    }

    /// A failure that the backend server itself has answered with.
    pub fn answered(kind: Kind, message: impl AsRef<str>) -> Self {
        Self { kind, ran: Ran::Ran, message: CompactString::new(message) }
    }
}
