//! Why an attempt failed, and whether the backend server may have run it.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

/// Whether a request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Execution {
    /// No byte of the request can have reached a backend server.
    #[display("not_run")]
    NotRun,
    /// At least one byte may have reached a backend server, and no response states whether it ran.
    #[display("may_have_run")]
    MayHaveRun,
    /// The backend server has responded.
    #[display("ran")]
    Ran,
}

/// What went wrong in a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Kind {
    /// No connection could be opened.
    #[display("connect")]
    Connect {
        /// Whether the host refused the connection, as it does after the server process crashed.
        refused: bool,
    },
    /// The backend server responded with 503: it is overloaded or in cold start.
    #[display("overloaded")]
    Overloaded {
        /// The value of `Retry-After`, if it was sent in seconds.
        retry_after: Option<Duration>,
    },
    /// An engine responded with another status than 200 or 503.
    #[display("status {code}")]
    Status {
        /// The HTTP status code.
        code: u16,
        /// The content type of the error body.
        content_type: Option<CompactString>,
        /// The error body, empty if it could not be read.
        body: Bytes,
    },
    /// The connection was lost, or the response ended before its end mark or with a gap.
    #[display("broken")]
    Interrupted,
    /// The reported token count is missing or does not match the tokens received.
    #[display("count")]
    TokenCount,
    /// The response carries the id of another attempt, or none.
    #[display("crossed")]
    Mismatched,
    /// No data arrived within the timeout.
    #[display("timeout")]
    Timeout,
    /// The response is larger than allowed.
    #[display("too large")]
    TooLarge,
    /// The request or the response violates the protocol.
    #[display("protocol")]
    Protocol,
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{kind}: {message}")]
pub struct Failure {
    /// What went wrong.
    pub kind: Kind,
    /// Whether the request may have run.
    pub execution: Execution,
    /// The detail for logs and outcomes.
    pub message: CompactString,
}

impl Failure {
    /// A failure before any byte of the request was sent.
    pub fn not_run(kind: Kind, message: impl AsRef<str>) -> Self {
        Self { kind, execution: Execution::NotRun, message: CompactString::new(message) }
    }

    /// A failure after which the request may have run.
    pub fn may_have_run(kind: Kind, message: impl AsRef<str>) -> Self {
        Self { kind, execution: Execution::MayHaveRun, message: CompactString::new(message) }
    }

    /// A failure reported by the backend server's own response.
    pub fn ran(kind: Kind, message: impl AsRef<str>) -> Self {
        Self { kind, execution: Execution::Ran, message: CompactString::new(message) }
    }
}
