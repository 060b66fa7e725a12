//! Filter for event streams that passes on complete events only.

use bytes::{Bytes, BytesMut};
use derive_more::derive::{Display, Error};

/// The maximum size of one event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The error for a stream with an event that is too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Holds back incomplete events of a stream, and drops repeated ones if the stream may be resumed.
#[derive(Debug, Default)]
pub struct EventFilter {
    /// The bytes of an incomplete event.
    partial: BytesMut,
    /// The id of the last event passed on.
    pub last_event_id: Option<u64>,
    drops_repeated: bool,
}

impl EventFilter {
    /// Creates a filter that drops events up to `last_event_id`, and later events that are repeated.
    pub fn after(last_event_id: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_event_id, drops_repeated: true }
    }

    /// Adds bytes of the stream and returns the events that are now complete, without those to drop.
    ///
    /// # Errors
    ///
    /// Fails if the incomplete event is too large.
    pub fn push(&mut self, data: &Bytes) -> Result<Bytes, TooLong> {
        let searched = self.partial.len();
        self.partial.extend_from_slice(data);
        let Some(end) = last_end(&self.partial, searched) else {
            let fits = self.partial.len() <= MAX_EVENT_BYTES;
            return if fits { Ok(Bytes::new()) } else { Err(TooLong) };
        };
        let complete = self.partial.split_to(end).freeze();
        let mut from = 0;
        while self.drops_repeated && from < complete.len() {
            let length = first_end(&complete[from..]).unwrap_or(complete.len() - from);
            match event_id(&complete[from..from + length]) {
                Some(id) if self.last_event_id.is_some_and(|last| id <= last) => from += length,
                _ => break,
            }
        }
        let new = complete.slice(from..);
        self.last_event_id = last_id(&new).or(self.last_event_id);
        Ok(new)
    }

    /// The bytes of an incomplete event.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Whether the stream so far ends inside an event. Empty lines and comments belong to none.
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.partial().split(|&byte| byte == b'\n');
        lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
    }

    /// Removes and returns the bytes after the last event.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the incomplete event, as when another backend server resumes the stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// The length of the first event, including the empty line that ends it.
fn first_end(bytes: &[u8]) -> Option<usize> {
    let mut ends = (0..bytes.len()).filter(|&at| ends_event(bytes, at));
    ends.next().map(|at| at + 1)
}

/// The end of the last complete event, if it ends at `from` or later.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).rev().find(|&at| ends_event(bytes, at)).map(|at| at + 1)
}

fn ends_event(bytes: &[u8], at: usize) -> bool {
    bytes[at] == b'\n' && (bytes[..at].ends_with(b"\n") || bytes[..at].ends_with(b"\n\r"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

fn last_id(events: &[u8]) -> Option<u64> {
    let mut last = None;
    let mut from = 0;
    while let Some(length) = first_end(&events[from..]) {
        last = event_id(&events[from..from + length]).or(last);
        from += length;
    }
    last
}
