//! Events of a stream: whole ones only, each once.

use bytes::{Bytes, BytesMut};

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    tail: BytesMut,
    /// The id of the last event that was let through.
    pub last: Option<u64>,
}

impl Splitter {
    /// A splitter that lets through events after `last` only.
    pub fn after(last: Option<u64>) -> Self {
        Self { tail: BytesMut::new(), last }
    }

    /// Takes bytes of a stream. Returns the whole events among them that were not let through yet.
    pub fn push(&mut self, data: &Bytes) -> Bytes {
        self.tail.extend_from_slice(data);
        let Some(end) = last_end(&self.tail) else { return Bytes::new() };
        let whole = self.tail.split_to(end).freeze();
        let mut from = 0;
        while from < whole.len() {
            let length = first_end(&whole[from..]).unwrap_or(whole.len() - from);
            match event_id(&whole[from..from + length]) {
                Some(id) if self.last.is_some_and(|last| id <= last) => from += length,
                _ => break,
            }
        }
        let new = whole.slice(from..);
        self.last = last_id(&new).or(self.last);
        new
    }

    /// Bytes of an event whose end has not come.
    pub fn tail(&self) -> &[u8] {
        &self.tail
    }

    /// Forgets the begun event, as when another backend server goes on.
    pub fn restart(&mut self) {
        self.tail.clear();
    }
}

/// The length of the first event with the empty line that ends it.
fn first_end(bytes: &[u8]) -> Option<usize> {
    let mut ends = (0..bytes.len()).filter(|&at| ends_event(bytes, at));
    ends.next().map(|at| at + 1)
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find(|&at| ends_event(bytes, at)).map(|at| at + 1)
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
