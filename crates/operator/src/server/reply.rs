//! Answers in JSON.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{ALLOW, CACHE_CONTROL, CONTENT_TYPE, HeaderValue, WWW_AUTHENTICATE},
};
use serde::Serialize;

use crate::error::{Error, Kind};

/// An answer with a body of known length.
pub(super) type Reply = Response<Full<Bytes>>;

/// An answer with a value as JSON.
pub(super) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).expect("the types of the API are serializable");
    raw(status, bytes.into())
}

/// An answer with bytes that are JSON already.
pub(super) fn raw(status: StatusCode, bytes: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(bytes));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

/// The answer that carries an error.
pub(super) fn error(error: &Error) -> Reply {
    let mut reply = json(error.error.status(), error);
    if error.error == Kind::Unauthorized {
        reply.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    reply
}

/// The answer to a method that the path does not have.
pub(super) fn not_allowed(allowed: &'static str) -> Reply {
    let message = format!("the path takes {allowed}");
    let mut reply = error(&Error::new(Kind::MethodNotAllowed, message));
    reply.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    reply
}
