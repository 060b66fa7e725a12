//! The response to an attempt, read chunk by chunk.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    check::{Checked, Checker},
    chunk::Chunk,
    connection::PooledConnection,
    failure::{Failure, Kind},
    sse,
};

/// The maximum size of one event from an engine.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// The maximum size of a response body.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Counts of chunks that were dropped or out of sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Add, derive_more::Sum)]
pub struct Dropped {
    /// Chunks that carry the id of another attempt.
    pub mismatched: u64,
    /// Chunks received a second time.
    pub repeated: u64,
    /// Chunks that arrived while an earlier one was missing.
    pub gaps: u64,
}

/// The response to an attempt.
///
/// Dropping it before its end closes the connection, which cancels the request at an engine.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status code. Always 200 for an engine: its other statuses are failures.
    pub status: u16,
    /// The content type, if the backend server sent a valid one.
    pub content_type: Option<CompactString>,
    reader: Reader,
}

#[derive(Debug)]
enum Reader {
    Events { body: Body, parser: sse::Parser, checker: Checker, done: bool },
    Bytes { body: Body, done: bool },
}

#[derive(Debug)]
struct Body {
    incoming: Incoming,
    connection: Option<PooledConnection>,
    read_timeout: Duration,
    received_bytes: usize,
}

impl Body {
    fn new(incoming: Incoming, connection: PooledConnection, read_timeout: Duration) -> Self {
        Self { incoming, connection: Some(connection), read_timeout, received_bytes: 0 }
    }

    /// Reads the next data frame. Returns `None` at the end of the body.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let frame = timeout(self.read_timeout, self.incoming.frame()).await.map_err(|_| {
                Failure::may_have_run(Kind::Timeout, "the backend server fell silent")
            })?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame
                .map_err(|error| Failure::may_have_run(Kind::Interrupted, error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            self.received_bytes += data.len();
            if self.received_bytes > MAX_RESPONSE_BYTES {
                let message = "the answer is larger than allowed";
                return Err(Failure::may_have_run(Kind::TooLarge, message));
            }
            return Ok(Some(data));
        }
    }

    /// Returns the connection to its pool. Called once the body has been read to its end.
    async fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release().await;
        }
    }
}

impl Response {
    pub(crate) fn events(
        status: u16,
        incoming: Incoming,
        connection: PooledConnection,
        read_timeout: Duration,
        checker: Checker,
    ) -> Self {
        let body = Body::new(incoming, connection, read_timeout);
        let parser = sse::Parser::new(MAX_EVENT_BYTES);
        let content_type = Some(CompactString::const_new("text/event-stream"));
        Self { status, content_type, reader: Reader::Events { body, parser, checker, done: false } }
    }

    pub(crate) fn bytes(
        status: u16,
        content_type: Option<CompactString>,
        incoming: Incoming,
        connection: PooledConnection,
        read_timeout: Duration,
    ) -> Self {
        let body = Body::new(incoming, connection, read_timeout);
        let reader = Reader::Bytes { body, done: false };
        Self { status, content_type, reader }
    }

    /// Reads the next chunk. Returns `None` once the response is complete.
    ///
    /// # Errors
    ///
    /// Fails if the response is interrupted, malformed or too large, if no data arrives within the
    /// read timeout, or if the response is incomplete at its end.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Failure> {
        match &mut self.reader {
            Reader::Events { body, parser, checker, done } => {
                next_event(body, parser, checker, done).await
            }
            Reader::Bytes { body, done } => next_bytes(body, done).await,
        }
    }

    /// The counts of chunks dropped so far.
    pub fn dropped(&self) -> Dropped {
        match &self.reader {
            Reader::Events { checker, .. } => checker.dropped(),
            Reader::Bytes { .. } => Dropped::default(),
        }
    }
}

async fn next_event(
    body: &mut Body,
    parser: &mut sse::Parser,
    checker: &mut Checker,
    done: &mut bool,
) -> Result<Option<Chunk>, Failure> {
    if *done {
        return Ok(None);
    }
    loop {
        let event = parser
            .next()
            .map_err(|error| Failure::may_have_run(Kind::Protocol, error.to_string()))?;
        let Some(event) = event else {
            let Some(data) = body.next().await? else {
                let message = "the answer ended before its end mark";
                return Err(Failure::may_have_run(Kind::Interrupted, message));
            };
            parser.push(&data);
            continue;
        };
        match checker.check(&event)? {
            Checked::Chunk(chunk) => return Ok(Some(chunk)),
            Checked::Dropped => {}
            Checked::End => {
                *done = true;
                // Bytes after the end mark mean that the stream is out of sync, so the connection
                // is reused only if the body ends right after the mark.
                if matches!(body.next().await, Ok(None)) {
                    body.release_connection().await;
                }
                return Ok(None);
            }
        }
    }
}

async fn next_bytes(body: &mut Body, done: &mut bool) -> Result<Option<Chunk>, Failure> {
    if *done {
        return Ok(None);
    }
    match body.next().await? {
        Some(data) => Ok(Some(Chunk::Body(data))),
        None => {
            *done = true;
            body.release_connection().await;
            Ok(None)
        }
    }
}
