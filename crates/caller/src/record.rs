//! The record of one run: its response chunk by chunk, written by the run and read by every caller
//! that sent the same key.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::outcome::{Execution, Outcome, Reason};

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status code.
    pub status: u16,
    /// The content type, if the backend server sent one.
    pub content_type: Option<CompactString>,
    /// Whether each chunk is a JSON object from an engine's event, and not a piece of one body.
    pub json_chunks: bool,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The response is complete.
    Complete,
    /// The run ended without a complete response.
    Incomplete(Outcome),
}

/// One chunk of a recorded response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The data for the caller.
    pub data: Bytes,
    /// The digest of the data that must be equal when the request is run again.
    pub digest: u64,
    /// Whether this is the token count at the end of a model's response.
    pub is_usage: bool,
}

/// The error for a repeated run whose response differs from chunks already delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the repeated run produced a different response")]
pub struct Mismatch;

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    chunks: Vec<Chunk>,
    /// The number of chunks that were delivered to at least one caller.
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
    /// Sets the head of the response. A repeated run replaces it.
    pub fn set_head(&self, head: Head) {
        self.state.lock().head = Some(head);
    }

    /// Writes the chunk at `position`, which is at most the number of chunks so far.
    ///
    /// A chunk with another digest replaces the old one and discards those after it.
    ///
    /// # Errors
    ///
    /// Fails if a different chunk at this position has been delivered.
    pub fn write(&self, position: usize, chunk: Chunk) -> Result<(), Mismatch> {
        let mut state = self.state.lock();
        match state.chunks.get(position) {
            Some(old) if old.digest == chunk.digest => return Ok(()),
            Some(_) if position < state.delivered => return Err(Mismatch),
            _ => state.chunks.truncate(position),
        }
        state.chunks.push(chunk);
        drop(state);
        self.notify();
        Ok(())
    }

    /// Completes the response after `length` chunks.
    ///
    /// # Errors
    ///
    /// Fails if more chunks have been delivered.
    pub fn complete(&self, length: usize) -> Result<(), Mismatch> {
        let mut state = self.state.lock();
        if state.delivered > length {
            return Err(Mismatch);
        }
        state.chunks.truncate(length);
        state.end = Some(End::Complete);
        drop(state);
        self.notify();
        Ok(())
    }

    /// Records the end of the run.
    pub fn finish(&self, end: End) {
        self.state.lock().end = Some(end);
        self.notify();
    }

    /// How the run ended, if it has.
    pub fn end(&self) -> Option<End> {
        self.state.lock().end.clone()
    }

    /// The head and the chunks so far.
    pub fn snapshot(&self) -> (Option<Head>, Vec<Chunk>) {
        let state = self.state.lock();
        (state.head.clone(), state.chunks.clone())
    }

    /// The HTTP status code, once there is a head.
    pub fn status(&self) -> Option<u16> {
        self.state.lock().head.as_ref().map(|head| head.status)
    }

    /// Whether there is a head and each chunk is a JSON object from an engine's event.
    pub fn has_json_chunks(&self) -> bool {
        self.state.lock().head.as_ref().is_some_and(|head| head.json_chunks)
    }

    /// The size of the chunks so far in bytes.
    pub fn bytes(&self) -> usize {
        self.state.lock().chunks.iter().map(|chunk| chunk.data.len()).sum()
    }

    /// Adds a reader that starts at the first chunk.
    pub fn reader(self: &Arc<Self>) -> Reader {
        self.readers.send_modify(|readers| *readers += 1);
        Reader { record: Arc::clone(self), version: self.version.subscribe(), position: 0 }
    }

    /// Waits until the record has no reader.
    pub async fn wait_until_unread(&self) {
        let mut readers = self.readers.subscribe();
        // The sender lives as long as the record, so waiting cannot fail.
        let _ = readers.wait_for(|readers| *readers == 0).await;
    }

    /// Waits until the record has a reader.
    pub async fn wait_for_reader(&self) {
        let mut readers = self.readers.subscribe();
        let _ = readers.wait_for(|readers| *readers > 0).await;
    }

    fn notify(&self) {
        self.version.send_modify(|version| *version += 1);
    }
}

/// A compact copy of a record that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    head: Option<Head>,
    chunks: Box<[Chunk]>,
    end: End,
}

impl Stored {
    /// Copies a record. A record without an end is stored as aborted.
    pub fn from_record(record: &Record) -> Self {
        let state = record.state.lock();
        let end = state.end.clone().unwrap_or_else(|| End::Incomplete(aborted()));
        // Later copies of the request get a complete response or none.
        let chunks =
            if end == End::Complete { state.chunks.clone().into() } else { Box::default() };
        Self { head: state.head.clone(), chunks, end }
    }

    /// Stores an outcome without a response.
    pub fn outcome(outcome: Outcome) -> Self {
        Self { head: None, chunks: Box::default(), end: End::Incomplete(outcome) }
    }

    /// Whether the response is complete.
    pub fn is_complete(&self) -> bool {
        self.end == End::Complete
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        !matches!(&self.end, End::Incomplete(outcome) if outcome.execution == Execution::NotRun)
    }

    /// Restores a record for readers.
    pub fn to_record(&self) -> Record {
        let record = Record::default();
        let chunks = self.chunks.to_vec();
        let end = Some(self.end.clone());
        *record.state.lock() = State { head: self.head.clone(), chunks, delivered: 0, end };
        record
    }
}

/// The outcome of a run whose task was dropped before it recorded an end.
pub fn aborted() -> Outcome {
    Outcome::failed(Execution::MayHaveRun, Reason::Internal, "the run was broken off")
}

/// The next item of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// The chunk at the reader's position.
    Chunk(Chunk),
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
    /// The record that is read.
    pub fn record(&self) -> &Arc<Record> {
        &self.record
    }

    /// The position of the next chunk.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Waits for the next chunk or the end. A returned chunk counts as delivered.
    pub async fn next(&mut self) -> Next {
        loop {
            self.version.mark_unchanged();
            if let Some(next) = self.try_next() {
                return next;
            }
            self.wait_for_change().await;
        }
    }

    /// Waits for the first JSON chunk, or for the end of a response without JSON chunks.
    ///
    /// A returned chunk counts as delivered.
    pub async fn first(&mut self) -> Next {
        loop {
            self.version.mark_unchanged();
            if !self.record.has_json_chunks()
                && let Some(end) = self.record.end()
            {
                return Next::End(end);
            }
            if self.record.has_json_chunks()
                && let Some(next) = self.try_next()
            {
                return next;
            }
            self.wait_for_change().await;
        }
    }

    /// Waits for the end without marking any chunk as delivered.
    pub async fn end(&mut self) -> End {
        loop {
            self.version.mark_unchanged();
            if let Some(end) = self.record.end() {
                return end;
            }
            self.wait_for_change().await;
        }
    }

    fn try_next(&mut self) -> Option<Next> {
        let mut state = self.record.state.lock();
        if let Some(chunk) = state.chunks.get(self.position).cloned() {
            self.position += 1;
            state.delivered = state.delivered.max(self.position);
            return Some(Next::Chunk(chunk));
        }
        state.end.clone().map(Next::End)
    }

    async fn wait_for_change(&mut self) {
        // The sender lives as long as the record, so waiting cannot fail.
        let _ = self.version.changed().await;
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.record.readers.send_modify(|readers| *readers -= 1);
    }
}
