//! Errors of the administration API.

use compact_str::CompactString;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// The kind of an error, which determines the status code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operator's key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// No resource has the path.
    #[display("not found")]
    NotFound,
    /// The path does not allow the method.
    #[display("method not allowed")]
    MethodNotAllowed,
    /// The body or the path is malformed.
    #[display("bad request")]
    BadRequest,
    /// The body is too large.
    #[display("too large")]
    TooLarge,
    /// The body did not arrive within its time limit.
    #[display("body timeout")]
    BodyTimeout,
    /// The daemon exceeded the time limit for a response.
    #[display("answer timeout")]
    AnswerTimeout,
}

impl Kind {
    /// The status code of the response.
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

/// An error in the form that is the body of its response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{error}: {message}")]
pub struct Error {
    /// The kind of the error.
    pub error: Kind,
    /// The description of the error in one sentence.
    pub message: CompactString,
}

impl Error {
    /// Makes an error.
    pub fn new(error: Kind, message: impl AsRef<str>) -> Self {
        Self { error, message: CompactString::new(message) }
    }
}
