//! The record of one run: its answer part by part, written by the run and read by any number of
//! callers that sent the same key.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::outcome::{Execution, Outcome, Reason};

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// The content type.
    pub content_type: Option<CompactString>,
    /// Whether the parts are an engine's chunks, and not pieces of one body.
    pub chunks: bool,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The answer is whole.
    Whole,
    /// There is no whole answer.
    Other(Outcome),
}

/// One part of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The data for the caller.
    pub data: Bytes,
    /// The digest of what must be equal when the request is run again.
    pub digest: u64,
    /// Whether this is the count at the end, which is not a token.
    pub is_usage: bool,
}

/// A repeated run differs from what a caller has already got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the repeated run gave another answer")]
pub struct Changed;

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    parts: Vec<Part>,
    /// The number of parts that some caller has got.
    delivered: usize,
    end: Option<End>,
}

/// The record of one run.
#[derive(Debug)]
pub struct Record {
    state: Mutex<State>,
    version: watch::Sender<u64>,
    readers: watch::Sender<usize>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            version: watch::Sender::new(0),
            readers: watch::Sender::new(0),
        }
    }
}

impl Record {
    /// Sets the head of the answer. A repeated run sets it again.
    pub fn set_head(&self, head: Head) {
        self.state.lock().head = Some(head);
    }

    /// Writes the part at a position, at most one behind the last.
    ///
    /// # Errors
    ///
    /// Fails if another part was there and a caller has got it.
    pub fn write(&self, position: usize, part: Part) -> Result<(), Changed> {
        let mut state = self.state.lock();
        match state.parts.get(position) {
            Some(old) if old.digest == part.digest => return Ok(()),
            Some(_) if position < state.delivered => return Err(Changed),
            _ => state.parts.truncate(position),
        }
        state.parts.push(part);
        drop(state);
        self.notify();
        Ok(())
    }

    /// Ends the answer after `length` parts.
    ///
    /// # Errors
    ///
    /// Fails if a caller has got more parts.
    pub fn complete(&self, length: usize) -> Result<(), Changed> {
        let mut state = self.state.lock();
        if state.delivered > length {
            return Err(Changed);
        }
        state.parts.truncate(length);
        state.end = Some(End::Whole);
        drop(state);
        self.notify();
        Ok(())
    }

    /// Ends the run.
    pub fn finish(&self, end: End) {
        self.state.lock().end = Some(end);
        self.notify();
    }

    /// How the run ended, if it has.
    pub fn end(&self) -> Option<End> {
        self.state.lock().end.clone()
    }

    /// The head and the parts so far.
    pub fn snapshot(&self) -> (Option<Head>, Vec<Part>) {
        let state = self.state.lock();
        (state.head.clone(), state.parts.clone())
    }

    /// The status code, once there is a head.
    pub fn status(&self) -> Option<u16> {
        self.state.lock().head.as_ref().map(|head| head.status)
    }

    /// Whether the parts are an engine's chunks.
    pub fn has_chunks(&self) -> bool {
        self.state.lock().head.as_ref().is_some_and(|head| head.chunks)
    }

    /// The bytes of the parts so far.
    pub fn bytes(&self) -> usize {
        self.state.lock().parts.iter().map(|part| part.data.len()).sum()
    }

    /// A new reader.
    pub fn reader(self: &Arc<Self>) -> Reader {
        self.readers.send_modify(|readers| *readers += 1);
        Reader { record: Arc::clone(self), version: self.version.subscribe(), position: 0 }
    }

    /// Waits until the record has no reader.
    pub async fn abandoned(&self) {
        let mut readers = self.readers.subscribe();
        // The sender lives as long as the record, so waiting cannot fail.
        let _ = readers.wait_for(|readers| *readers == 0).await;
    }

    /// Waits until the record has a reader.
    pub async fn wanted(&self) {
        let mut readers = self.readers.subscribe();
        let _ = readers.wait_for(|readers| *readers > 0).await;
    }

    fn notify(&self) {
        self.version.send_modify(|version| *version += 1);
    }
}

/// What is kept of a record that has ended, without what only a running one needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kept {
    head: Option<Head>,
    parts: Box<[Part]>,
    end: End,
}

impl Kept {
    /// Keeps a record. One that has not ended is kept as broken off.
    pub fn of(record: &Record) -> Self {
        let state = record.state.lock();
        let end = state.end.clone().unwrap_or_else(|| End::Other(broken_off()));
        // Without its end a streamed answer is of use to nobody.
        let parts = if end == End::Whole { state.parts.clone().into() } else { Box::default() };
        Self { head: state.head.clone(), parts, end }
    }

    /// Keeps an outcome other than an answer.
    pub fn outcome(outcome: Outcome) -> Self {
        Self { head: None, parts: Box::default(), end: End::Other(outcome) }
    }

    /// Whether the answer is whole.
    pub fn is_whole(&self) -> bool {
        self.end == End::Whole
    }

    /// Whether the request may have run.
    pub fn has_run(&self) -> bool {
        !matches!(&self.end, End::Other(outcome) if outcome.execution == Execution::NotRun)
    }

    /// A record that can be read.
    pub fn record(&self) -> Record {
        let record = Record::default();
        let parts = self.parts.to_vec();
        let end = Some(self.end.clone());
        *record.state.lock() = State { head: self.head.clone(), parts, delivered: 0, end };
        record
    }
}

/// The outcome of a run that ended without saying how.
pub fn broken_off() -> Outcome {
    Outcome::failed(Execution::MayHaveRun, Reason::Internal, "the run was broken off")
}

/// What a reader gets next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// A part.
    Part(Part),
    /// The end of the run.
    End(End),
}

/// A reader of a record, from its beginning.
#[derive(Debug)]
pub struct Reader {
    record: Arc<Record>,
    version: watch::Receiver<u64>,
    position: usize,
}

impl Reader {
    /// The record.
    pub fn record(&self) -> &Arc<Record> {
        &self.record
    }

    /// The position of the next part.
    pub fn position(&self) -> usize {
        self.position
    }

    /// The next part or the end. What it returns counts as delivered.
    pub async fn next(&mut self) -> Next {
        loop {
            self.version.mark_unchanged();
            if let Some(next) = self.take() {
                return next;
            }
            self.changed().await;
        }
    }

    /// The first part or the end.
    ///
    /// A piece of a body does not count as delivered.
    pub async fn first(&mut self) -> Next {
        loop {
            self.version.mark_unchanged();
            if !self.record.has_chunks()
                && let Some(end) = self.record.end()
            {
                return Next::End(end);
            }
            if self.record.has_chunks()
                && let Some(next) = self.take()
            {
                return next;
            }
            self.changed().await;
        }
    }

    /// Waits for the end. Nothing counts as delivered before.
    pub async fn end(&mut self) -> End {
        loop {
            self.version.mark_unchanged();
            if let Some(end) = self.record.end() {
                return end;
            }
            self.changed().await;
        }
    }

    fn take(&mut self) -> Option<Next> {
        let mut state = self.record.state.lock();
        if let Some(part) = state.parts.get(self.position).cloned() {
            self.position += 1;
            state.delivered = state.delivered.max(self.position);
            return Some(Next::Part(part));
        }
        state.end.clone().map(Next::End)
    }

    async fn changed(&mut self) {
        // The sender lives as long as the record, so waiting cannot fail.
        let _ = self.version.changed().await;
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.record.readers.send_modify(|readers| *readers -= 1);
    }
}
