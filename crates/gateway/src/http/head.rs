//! The head of an answer.

use bytes::{Buf as _, BytesMut};
use derive_more::{Display, Error};
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING},
};

use super::framing::Framing;

/// The largest number of headers of an answer.
const MAX_HEADERS: usize = 64;
/// The largest head of an answer in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why bytes are no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// They are no head of HTTP/1.1.
    #[display("the bytes are no answer")]
    Malformed,
    /// The head is too long.
    #[display("the answer's head is too long")]
    TooLong,
    /// Lengths contradict each other, or the transfer coding is not known.
    #[display("the answer's framing is ambiguous")]
    Framing,
}

/// An answer's head.
#[derive(Debug, Clone)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the connection can be used again after the body.
    pub reusable: bool,
}

/// Takes a head out of `buffer`, or returns `None` until all of it is there.
///
/// # Errors
///
/// See [`Fault`].
pub fn parse(buffer: &mut BytesMut, method: &Method) -> Result<Option<Head>, Fault> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut slots);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return Err(Fault::TooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Fault::Malformed),
    };
    let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(Fault::Malformed)?;
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| Fault::Malformed)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| Fault::Malformed)?;
        headers.append(name, value);
    }
    let old = response.version != Some(1);
    let framing = framing(status, &headers, method)?;
    let closes = old || framing == Framing::UntilClose || has_token(&headers, "close");
    buffer.advance(length);
    Ok(Some(Head { status, headers, framing, reusable: !closes }))
}

fn has_token(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case(token))
}

fn framing(status: StatusCode, headers: &HeaderMap, method: &Method) -> Result<Framing, Fault> {
    let empty = *method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if empty {
        return Ok(Framing::Done);
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::UntilClose),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
            let only = codings.next().is_none();
            if chunked && only { Ok(Framing::ChunkSize) } else { Err(Fault::Framing) }
        }
        (None, Some(length)) if lengths.all(|other| other == length) => {
            let text = length.to_str().map_err(|_| Fault::Framing)?;
            let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = digits.then(|| text.parse().ok()).flatten().ok_or(Fault::Framing)?;
            Ok(Framing::Length(length))
        }
        _ => Err(Fault::Framing),
    }
}
