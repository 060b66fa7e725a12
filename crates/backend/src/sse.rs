//! Incremental parser of event streams (`text/event-stream`).
//!
//! Memory is bounded: an event with more bytes than allowed is an error.

use std::mem;

use bytes::Bytes;

/// One event. Comments and fields other than `id` and `data` are skipped.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// The field `id`, if the event has one.
    pub id: Option<String>,
    /// The lines of the field `data`, joined by line feeds.
    pub data: Bytes,
}

/// Why a stream cannot be parsed further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// An event has more bytes than allowed.
    #[display("an event is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The field `id` is not UTF-8.
    #[display("an event id is not UTF-8")]
    Id,
}

/// The parser. It is fed with [`Parser::push`] and asked with [`Parser::next`].
#[derive(Debug)]
pub struct Parser {
    limit: usize,
    buffer: Vec<u8>,
    start: usize,
    /// The position up to which there is no line end.
    scanned: usize,
    after_return: bool,
    id: Option<String>,
    data: Vec<u8>,
    has_data: bool,
}

impl Parser {
    /// A parser for events of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            buffer: Vec::new(),
            start: 0,
            scanned: 0,
            after_return: false,
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

    /// The next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large or has a malformed id. The parser is of no use afterwards.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            let Some(line) = self.line() else {
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
            self.field(&line)?;
            self.check_size(0)?;
        }
    }

    /// Whether bytes of an unfinished event are left.
    pub fn is_partial(&self) -> bool {
        self.start < self.buffer.len() || self.has_data || self.id.is_some()
    }

    /// Checks the size of the unfinished event together with that of a line, finished or not.
    ///
    /// Counting both alike makes the result independent of how the stream was cut.
    fn check_size(&self, line: usize) -> Result<(), Error> {
        let id = self.id.as_ref().map_or(0, String::len);
        let size = line + self.data.len() + id;
        if size > self.limit { Err(Error::TooLarge { limit: self.limit }) } else { Ok(()) }
    }

    /// Takes one line without its end, which is CR LF, LF or CR.
    fn line(&mut self) -> Option<Vec<u8>> {
        if self.after_return && self.buffer.get(self.start) == Some(&b'\n') {
            self.start += 1;
        }
        if self.start < self.buffer.len() {
            self.after_return = false;
        }
        let from = self.start.max(self.scanned);
        let found = self.buffer[from..].iter().position(|&b| b == b'\n' || b == b'\r');
        self.scanned = found.map_or(self.buffer.len(), |offset| from + offset);
        let end = found.map(|offset| from + offset)?;
        let line = self.buffer[self.start..end].to_vec();
        self.after_return = self.buffer[end] == b'\r';
        self.start = end + 1;
        Some(line)
    }

    fn field(&mut self, line: &[u8]) -> Result<(), Error> {
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
