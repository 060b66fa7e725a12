//! Responses with a JSON body.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{ALLOW, CACHE_CONTROL, CONTENT_TYPE, HeaderValue, WWW_AUTHENTICATE},
};
use serde::Serialize;

use crate::error::{Error, Kind};

/// A response with a body of known length.
pub(super) type Reply = Response<Full<Bytes>>;

/// A response with a value serialized as JSON.
pub(super) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).expect("the types of the API are serializable");
    raw_json(status, bytes.into())
}

/// A response with bytes that are already JSON.
pub(super) fn raw_json(status: StatusCode, bytes: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(bytes));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

/// The response for an error.
pub(super) fn error(error: &Error) -> Reply {
    let mut reply = json(error.error.status(), error);
    if error.error == Kind::Unauthorized {
        reply.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    reply
}

/// The response for a method that the path does not allow.
pub(super) fn not_allowed(allowed: &'static str) -> Reply {
    let message = format!("the path takes {allowed}");
    let mut reply = error(&Error::new(Kind::MethodNotAllowed, message));
    reply.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    reply
}
