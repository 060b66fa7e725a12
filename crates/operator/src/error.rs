//! Why a request of an operator was not carried out.

use compact_str::CompactString;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// The kind of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// There is nothing at that path.
    #[display("not found")]
    NotFound,
    /// The path has no such method.
    #[display("method not allowed")]
    MethodNotAllowed,
    /// The body or the path is malformed.
    #[display("bad request")]
    BadRequest,
    /// The body is too large.
    #[display("too large")]
    TooLarge,
    /// The body did not arrive in time.
    #[display("body timeout")]
    BodyTimeout,
    /// The daemon did not find an answer in time.
    #[display("answer timeout")]
    AnswerTimeout,
}

impl Kind {
    /// The status code of an answer that carries the error.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::AnswerTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The body of an answer to a request that was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{error}: {message}")]
pub struct Error {
    /// The kind.
    pub error: Kind,
    /// What was wrong, in one sentence.
    pub message: CompactString,
}

impl Error {
    /// An error of a kind with a message.
    pub fn new(error: Kind, message: impl AsRef<str>) -> Self {
        Self { error, message: CompactString::new(message) }
    }
}
