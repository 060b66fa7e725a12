//! Structured log lines: JSON on standard output, bounded in volume, never blocking the caller.
//!
//! Lines are gathered in memory and written by a thread of their own. When the buffer is full, new
//! lines are dropped and counted; the count is written as a line of its own.

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

/// The largest amount of text that waits to be written: about a second of lines under full load.
const BUFFER_BYTES: usize = 512 << 10;
/// The time between two writes. Few large writes cost less processor time than one for each line.
const WRITE_PERIOD: Duration = Duration::from_millis(250);

/// How the names of the project's packages begin.
const OWN_PACKAGES: &str = "hyssop";

#[derive(Debug, Default)]
struct Shared {
    text: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

/// Takes lines. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Buffer(Arc<Shared>);

impl Buffer {
    /// The number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Takes what has gathered.
    pub fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.0.text.lock())
    }

    /// Writes what has gathered to standard output.
    pub fn flush(&self) {
        let text = self.take();
        // Nobody is left to tell when standard output is closed.
        let _written = io::stdout().lock().write_all(&text);
    }
}

/// Adds one line to the buffer.
#[derive(Debug)]
pub struct Line(Arc<Shared>);

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut text = self.0.text.lock();
        if text.len() + bytes.len() > BUFFER_BYTES {
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
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        Line(Arc::clone(&self.0))
    }
}

/// Starts logging for the process and the thread that writes. A second call in one process only gives
/// a buffer that stays empty.
///
/// Only lines of the project's own packages are written, those that use the `log` crate included.
pub fn start(level: LevelFilter) -> Buffer {
    let buffer = Buffer::default();
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(buffer.clone())
        .with_filter(Targets::new().with_target(OWN_PACKAGES, level));
    if tracing_subscriber::registry().with(lines).try_init().is_ok() {
        let writer = buffer.clone();
        thread::spawn(move || write(&writer));
    }
    buffer
}

fn write(buffer: &Buffer) {
    let mut reported = 0;
    loop {
        thread::sleep(WRITE_PERIOD);
        buffer.flush();
        let dropped = buffer.dropped();
        if dropped > reported {
            tracing::warn!(event = "log_lines_dropped", count = dropped - reported);
            reported = dropped;
        }
    }
}
