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

use parking_lot::Mutex;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::{
    Layer as _, filter::Targets, fmt::MakeWriter, layer::SubscriberExt as _,
    util::SubscriberInitExt as _,
};

/// The size of the buffer: about a second of lines under full load.
const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// The time between two writes. A few large writes use less CPU time than one write per line.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The prefix of the log targets of the project's own packages.
const TARGET_PREFIX: &str = "hyssop";

#[derive(Debug, Default)]
struct Shared {
    text: Mutex<Vec<u8>>,
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
        std::mem::take(&mut *self.0.text.lock())
    }

    /// Writes the buffered lines to standard output.
    pub fn flush(&self) {
        let text = self.take();
        // An error cannot be logged when standard output is closed.
        let _written = io::stdout().lock().write_all(&text);
    }
}

/// Appends one line to a [`Buffer`], or drops and counts the line if the buffer is full.
#[derive(Debug)]
pub struct LineWriter(Arc<Shared>);

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut text = self.0.text.lock();
        if text.len() + bytes.len() > MAX_BUFFERED_BYTES {
            self.0.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            text.extend_from_slice(bytes);
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
        let writer_buffer = buffer.clone();
        thread::spawn(move || write_periodically(&writer_buffer));
    }
    buffer
}

fn write_periodically(buffer: &Buffer) {
    let mut reported = 0;
    loop {
        thread::sleep(WRITE_INTERVAL);
        buffer.flush();
        let dropped = buffer.dropped();
        if dropped > reported {
            tracing::warn!(event = "log_lines_dropped", count = dropped - reported);
            reported = dropped;
        }
    }
}
