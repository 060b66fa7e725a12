//! Structured log lines: JSON on standard output, bounded in volume, never blocking the caller.
//!
//! Lines are buffered in memory and written by a dedicated thread. When the buffer is full, new
//! lines are dropped and counted, and the count is logged.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use parking_lot::{Condvar, Mutex};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::{
    Layer as _, filter::Targets, fmt::MakeWriter, layer::SubscriberExt as _,
    util::SubscriberInitExt as _,
};

/// The size of the buffer: about a second of lines under full load.
const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// The time between two writes. A few large writes use less CPU time than one write per line.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum wait of [`Buffer::flush`], so that a reader of the log that hangs can't keep a process from
/// ending.
pub const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The prefix of the log targets of the project's own packages.
const TARGET_PREFIX: &str = "hyssop";

/// The lines that are not yet taken for writing. Positions count the bytes of all lines so far.
#[derive(Debug, Default)]
struct Pending {
    text: Vec<u8>,
    /// The position after `text`.
    end: u64,
    /// The position up to which lines are written.
    written_end: u64,
    flush_requested: bool,
}

impl Pending {
    fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.text)
    }
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Pending>,
    flush_requested: Condvar,
    written: Condvar,
    dropped: AtomicU64,
}

/// A bounded buffer of log lines. Clones share one buffer.
#[derive(Debug, Clone, Default)]
pub struct Buffer(Arc<Shared>);

impl Buffer {
    /// The number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Removes and returns the buffered lines.
    pub fn take(&self) -> Vec<u8> {
        let mut pending = self.0.pending.lock();
        pending.written_end = pending.end;
        pending.take()
    }

    /// Starts a thread that writes the lines to `output`. Only this thread writes, so that the order of
    /// lines is kept and a thread that flushes can't block in a write.
    pub fn start_writer(&self, output: impl Write + Send + 'static) {
        let buffer = self.clone();
        thread::spawn(move || buffer.write_periodically(output));
    }

    /// Waits until the writer has written all lines that were added before the call, also those that it
    /// had already taken, for at most [`FLUSH_TIMEOUT`].
    pub fn flush(&self) {
        let mut pending = self.0.pending.lock();
        let end = pending.end;
        pending.flush_requested = true;
        self.0.flush_requested.notify_one();
        let is_unwritten = |pending: &mut Pending| pending.written_end < end;
        // A timeout can't be logged, as the log is what is stuck.
        let _result = self.0.written.wait_while_for(&mut pending, is_unwritten, FLUSH_TIMEOUT);
    }

    fn write_periodically(&self, mut output: impl Write) {
        let mut reported = 0;
        loop {
            self.write_next(&mut output);
            let dropped = self.dropped();
            if dropped > reported {
                tracing::warn!(event = "log_lines_dropped", count = dropped - reported);
                reported = dropped;
            }
        }
    }

    /// Waits until lines are due to be written, and writes them.
    fn write_next(&self, output: &mut impl Write) {
        let mut pending = self.0.pending.lock();
        let is_idle = |pending: &mut Pending| !pending.flush_requested;
        let _result = self.0.flush_requested.wait_while_for(&mut pending, is_idle, WRITE_INTERVAL);
        pending.flush_requested = false;
        let (text, end) = (pending.take(), pending.end);
        drop(pending);
        // An error cannot be logged when standard output is closed.
        let _written = output.write_all(&text).and_then(|()| output.flush());
        self.0.pending.lock().written_end = end;
        self.0.written.notify_all();
    }
}

/// Appends one line to a [`Buffer`], or drops and counts the line if the buffer is full.
#[derive(Debug)]
pub struct LineWriter(Arc<Shared>);

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut pending = self.0.pending.lock();
        if pending.text.len() + bytes.len() > MAX_BUFFERED_BYTES {
            self.0.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            pending.text.extend_from_slice(bytes);
            pending.end += bytes.len() as u64;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Buffer {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter(Arc::clone(&self.0))
    }
}

/// Installs the process-wide logger and starts the writer thread. A second call in one process
/// only returns a buffer that stays empty.
///
/// Only lines of the project's own packages are written, including those from the `log` crate.
pub fn start(level: LevelFilter) -> Buffer {
    let buffer = Buffer::default();
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(buffer.clone())
        .with_filter(Targets::new().with_target(TARGET_PREFIX, level));
    if tracing_subscriber::registry().with(layer).try_init().is_ok() {
        buffer.start_writer(io::stdout());
    }
    buffer
}
