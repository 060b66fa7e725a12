//! Response bodies.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use compact_str::CompactString;
use futures::{Stream, StreamExt as _};
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, SizeHint};

/// The error of a body that ends early. Its connection is closed, so that the caller detects the
/// truncation.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{message}")]
pub struct Error {
    /// The message for logs.
    pub message: CompactString,
}

/// A response body, complete or streamed.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Makes a body of known length out of its bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Makes a streamed body.
pub fn stream(chunks: Pin<Box<dyn Stream<Item = Result<Bytes, Error>> + Send>>) -> Body {
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Makes a body that drops `guard` when the body itself is dropped.
pub fn guard<G: Send + Unpin + 'static>(body: Body, guard: G) -> Body {
    Guarded { body, _guard: guard }.boxed_unsync()
}

struct Guarded<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin> hyper::body::Body for Guarded<G> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
