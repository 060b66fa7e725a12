//! Answers in JSON.

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{ALLOW, CONTENT_TYPE, HeaderValue, WWW_AUTHENTICATE},
};
use serde::{Deserialize, Serialize};

/// An answer with a body of known length.
pub(super) type Reply = Response<Full<Bytes>>;

/// Why a request was not carried out.
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
    fn status(self) -> StatusCode {
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
    pub(super) fn new(error: Kind, message: impl AsRef<str>) -> Self {
        Self { error, message: CompactString::new(message) }
    }

    /// The answer that carries the error.
    pub(super) fn reply(&self) -> Reply {
        let mut reply = json(self.error.status(), self);
        if self.error == Kind::Unauthorized {
            reply.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        reply
    }
}

/// An answer with a value as JSON.
pub(super) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).expect("the types of the API are serializable");
    raw(status, bytes.into())
}

/// An answer with bytes that are JSON already.
pub(super) fn raw(status: StatusCode, bytes: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(bytes));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// The answer to a method that the path does not have.
pub(super) fn not_allowed(allowed: &'static str) -> Reply {
    let message = format!("the path takes {allowed}");
    let mut reply = Error::new(Kind::MethodNotAllowed, message).reply();
    reply.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    reply
}
