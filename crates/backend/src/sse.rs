//! Incremental parser for server-sent events (`text/event-stream`).
//!
//! Memory is bounded: an event larger than the limit is an error.

use std::mem;

use bytes::Bytes;

/// One event. Comments and fields other than `id` and `data` are ignored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// The value of the field `id`, if the event has one.
    pub id: Option<String>,
    /// The values of the `data` fields, joined by line feeds.
    pub data: Bytes,
}

/// The error after which a stream cannot be parsed further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// An event exceeds the size limit.
    #[display("an event is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The field `id` is not UTF-8.
    #[display("an event id is not UTF-8")]
    Id,
}

/// An incremental parser: [`Parser::push`] adds bytes and [`Parser::next`] returns events.
#[derive(Debug)]
pub struct Parser {
    max_event_bytes: usize,
    buffer: Vec<u8>,
    start: usize,
    /// The position in `buffer` up to which there is no line end.
    scanned: usize,
    /// Whether the last line ended with CR, so that a following LF belongs to the same line end.
    after_cr: bool,
    id: Option<String>,
    data: Vec<u8>,
    has_data: bool,
}

impl Parser {
    /// Creates a parser for events of at most `max_event_bytes`.
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            max_event_bytes,
            buffer: Vec::new(),
            start: 0,
            scanned: 0,
            after_cr: false,
            id: None,
            data: Vec::new(),
            has_data: false,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.scanned = self.scanned.saturating_sub(self.start);
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large or has a malformed id. The parser cannot be used afterwards.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            let Some(line) = self.take_line() else {
                let partial = self.buffer.len() - self.start;
                return self.check_size(partial).map(|()| None);
            };
            self.check_size(line.len())?;
            if line.is_empty() {
                if let Some(event) = self.dispatch() {
                    return Ok(Some(event));
                }
                continue;
            }
            self.apply_field(&line)?;
            self.check_size(0)?;
        }
    }

    /// Whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        self.start < self.buffer.len() || self.has_data || self.id.is_some()
    }

    /// Checks the size of the incomplete event plus that of a line, terminated or not.
    ///
    /// Counting both kinds of line makes the result independent of how the stream was split into
    /// reads.
    fn check_size(&self, line: usize) -> Result<(), Error> {
        let id = self.id.as_ref().map_or(0, String::len);
        let size = line + self.data.len() + id;
        if size > self.max_event_bytes {
            Err(Error::TooLarge { limit: self.max_event_bytes })
        } else {
            Ok(())
        }
    }

    /// Removes one line from the buffer and returns it without its end, which is CR LF, LF or CR.
    fn take_line(&mut self) -> Option<Vec<u8>> {
        if self.after_cr && self.buffer.get(self.start) == Some(&b'\n') {
            self.start += 1;
        }
        if self.start < self.buffer.len() {
            self.after_cr = false;
        }
        let from = self.start.max(self.scanned);
        let found = self.buffer[from..].iter().position(|&b| b == b'\n' || b == b'\r');
        self.scanned = found.map_or(self.buffer.len(), |offset| from + offset);
        let end = found.map(|offset| from + offset)?;
        let line = self.buffer[self.start..end].to_vec();
        self.after_cr = self.buffer[end] == b'\r';
        self.start = end + 1;
        Some(line)
    }

    fn apply_field(&mut self, line: &[u8]) -> Result<(), Error> {
        let colon = line.iter().position(|&b| b == b':').unwrap_or(line.len());
        let value = line.get(colon + 1..).unwrap_or_default();
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match &line[..colon] {
            b"data" => {
                if self.has_data {
                    self.data.push(b'\n');
                }
                self.data.extend_from_slice(value);
                self.has_data = true;
            }
            b"id" => {
                let text = str::from_utf8(value).map_err(|_| Error::Id)?;
                self.id = Some(text.to_owned());
            }
            _ => {}
        }
        Ok(())
    }

    fn dispatch(&mut self) -> Option<Event> {
        let id = self.id.take();
        if !mem::take(&mut self.has_data) {
            return None;
        }
        Some(Event { id, data: mem::take(&mut self.data).into() })
    }
}
