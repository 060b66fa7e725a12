//! The answer to an attempt, read part by part.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    check::{Check, Verdict},
    connection::Lease,
    failure::{Failure, Kind},
    part::Part,
    sse,
};

/// The largest event of an engine in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// The largest answer in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Counts of parts that were dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Add, derive_more::Sum)]
pub struct Dropped {
    /// Parts of another attempt.
    pub crossed: u64,
    /// Parts that had come before.
    pub repeated: u64,
    /// Parts that came where an earlier one was missing.
    pub gaps: u64,
}

/// The answer to an attempt.
///
/// Dropping it before its end closes the connection, which cancels the request at an engine.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The content type.
    pub content_type: Option<CompactString>,
    reader: Reader,
}

#[derive(Debug)]
enum Reader {
    Events { body: Body, parser: sse::Parser, check: Check, done: bool },
    Bytes { body: Body, done: bool },
}

#[derive(Debug)]
struct Body {
    incoming: Incoming,
    lease: Option<Lease>,
    silence: Duration,
    received: usize,
}

impl Body {
    fn new(incoming: Incoming, lease: Lease, silence: Duration) -> Self {
        Self { incoming, lease: Some(lease), silence, received: 0 }
    }

    /// The next piece, or `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let frame = timeout(self.silence, self.incoming.frame()).await.map_err(|_| {
                Failure::may_have_run(Kind::Timeout, "the backend server fell silent")
            })?;
            let Some(frame) = frame else { return Ok(None) };
            let frame =
                frame.map_err(|error| Failure::may_have_run(Kind::Broken, error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            self.received += data.len();
            if self.received > MAX_ANSWER_BYTES {
                let message = "the answer is larger than allowed";
                return Err(Failure::may_have_run(Kind::TooLarge, message));
            }
            return Ok(Some(data));
        }
    }

    /// Gives the connection back once the body has been read to its end.
    async fn finish(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.finish().await;
        }
    }
}

impl Answer {
    pub(crate) fn events(
        status: u16,
        incoming: Incoming,
        lease: Lease,
        silence: Duration,
        check: Check,
    ) -> Self {
        let body = Body::new(incoming, lease, silence);
        let parser = sse::Parser::new(MAX_EVENT_BYTES);
        let content_type = Some(CompactString::const_new("text/event-stream"));
        Self { status, content_type, reader: Reader::Events { body, parser, check, done: false } }
    }

    pub(crate) fn bytes(
        status: u16,
        content_type: Option<CompactString>,
        incoming: Incoming,
        lease: Lease,
        silence: Duration,
    ) -> Self {
        let body = Body::new(incoming, lease, silence);
        let reader = Reader::Bytes { body, done: false };
        Self { status, content_type, reader }
    }

    /// The next part, or `None` once the whole answer has come.
    ///
    /// # Errors
    ///
    /// Fails if the answer is broken, does not come on, or is not whole at its end.
    pub async fn next(&mut self) -> Result<Option<Part>, Failure> {
        match &mut self.reader {
            Reader::Events { body, parser, check, done } => {
                next_event(body, parser, check, done).await
            }
            Reader::Bytes { body, done } => next_bytes(body, done).await,
        }
    }

    /// The parts dropped so far.
    pub fn dropped(&self) -> Dropped {
        match &self.reader {
            Reader::Events { check, .. } => check.dropped(),
            Reader::Bytes { .. } => Dropped::default(),
        }
    }
}

async fn next_event(
    body: &mut Body,
    parser: &mut sse::Parser,
    check: &mut Check,
    done: &mut bool,
) -> Result<Option<Part>, Failure> {
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
                return Err(Failure::may_have_run(Kind::Broken, message));
            };
            parser.push(&data);
            continue;
        };
        match check.event(&event)? {
            Verdict::Part(part) => return Ok(Some(part)),
            Verdict::Dropped => {}
            Verdict::End => {
                *done = true;
                // Bytes after the end mark mean that the stream is not in step, so only a
                // connection whose body has ended right there is used again.
                if matches!(body.next().await, Ok(None)) {
                    body.finish().await;
                }
                return Ok(None);
            }
        }
    }
}

async fn next_bytes(body: &mut Body, done: &mut bool) -> Result<Option<Part>, Failure> {
    if *done {
        return Ok(None);
    }
    match body.next().await? {
        Some(data) => Ok(Some(Part::Body(data))),
        None => {
            *done = true;
            body.finish().await;
            Ok(None)
        }
    }
}
