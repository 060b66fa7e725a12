//! Bodies of answers.

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// An answer that ends early. The caller's connection is closed, so that it does not look whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the answer ends early")]
pub struct Broken;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// A body that is there.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Gives the parts of a body one by one.
pub trait Parts: Send + 'static {
    /// The next part, `None` at the end.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes, Broken>>> + Send;
}

/// A body that comes part by part.
pub fn streamed(parts: impl Parts) -> Body {
    let frames = stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        match parts.next().await? {
            Ok(data) => Some((Ok(Frame::data(data)), Some(parts))),
            Err(broken) => Some((Err(broken), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
