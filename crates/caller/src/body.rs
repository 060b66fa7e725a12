//! Bodies of responses.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use compact_str::CompactString;
use futures::{Stream, StreamExt as _};
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, SizeHint};

/// A body that breaks off: its connection is closed, so that the caller notices.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{message}")]
pub struct Error {
    /// A plain message for logs.
    pub message: CompactString,
}

/// A body of a response.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// A body that is known whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that comes in pieces.
pub fn stream(pieces: Pin<Box<dyn Stream<Item = Result<Bytes, Error>> + Send>>) -> Body {
    StreamBody::new(pieces.map(|piece| piece.map(Frame::data))).boxed_unsync()
}

/// A body that keeps a guard until it is dropped.
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
