//! Parsing of response heads.

use bytes::{Buf as _, BytesMut};
use derive_more::derive::{Display, Error};
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING},
};

use super::framing::Framing;

/// The maximum number of headers in a response.
const MAX_HEADERS: usize = 64;
/// The maximum size of an incomplete response head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The error for bytes that are not a valid response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The bytes are not an HTTP/1.1 response head.
    #[display("the response head is malformed")]
    Malformed,
    /// The head exceeds 64 KiB.
    #[display("the response head is too long")]
    TooLong,
    /// Lengths contradict each other, or the transfer coding is unsupported.
    #[display("the response framing is ambiguous or unsupported")]
    Framing,
}

/// A response head.
#[derive(Debug, Clone)]
pub struct Head {
    /// The status code, which may be informational.
    pub status: StatusCode,
    /// All headers, including those that concern only the connection.
    pub headers: HeaderMap,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection can be reused after the body.
    pub reusable: bool,
}

/// Parses a head and removes it from `buffer`. Returns `None` if the head is incomplete.
///
/// # Errors
///
/// See [`Error`].
pub fn parse(buffer: &mut BytesMut, method: &Method) -> Result<Option<Head>, Error> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut slots);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return Err(Error::TooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed),
    };
    let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(Error::Malformed)?;
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| Error::Malformed)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| Error::Malformed)?;
        headers.append(name, value);
    }
    let not_http_1_1 = response.version != Some(1);
    let framing = body_framing(status, &headers, method)?;
    let closes =
        not_http_1_1 || framing == Framing::UntilClose || connection_has_token(&headers, "close");
    buffer.advance(length);
    Ok(Some(Head { status, headers, framing, reusable: !closes }))
}

fn connection_has_token(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case(token))
}

fn body_framing(
    status: StatusCode,
    headers: &HeaderMap,
    method: &Method,
) -> Result<Framing, Error> {
    let no_body = *method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if no_body {
        return Ok(Framing::Done);
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::UntilClose),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
            let only = codings.next().is_none();
            if chunked && only { Ok(Framing::ChunkSize) } else { Err(Error::Framing) }
        }
        (None, Some(length)) if lengths.all(|other| other == length) => {
            let text = length.to_str().map_err(|_| Error::Framing)?;
            let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = digits.then(|| text.parse().ok()).flatten().ok_or(Error::Framing)?;
            Ok(Framing::Length(length))
        }
        _ => Err(Error::Framing),
    }
}
