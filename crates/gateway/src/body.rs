//! Response bodies for callers.

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// The error that ends an incomplete body. The error closes the caller's connection, so that the
/// response does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the response body is incomplete")]
pub struct Aborted;

/// A response body.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// Creates a body from bytes in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A source of body chunks.
pub trait Chunks: Send + 'static {
    /// Returns the next chunk, or `None` at the end.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes, Aborted>>> + Send;
}

/// Creates a body that is produced chunk by chunk.
pub fn streamed(chunks: impl Chunks) -> Body {
    let frames = stream::unfold(Some(chunks), |chunks| async move {
        let mut chunks = chunks?;
        match chunks.next().await? {
            Ok(data) => Some((Ok(Frame::data(data)), Some(chunks))),
            Err(aborted) => Some((Err(aborted), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
