//! A process that ends after a flush has lost no lines, and a reader of its log that hangs can't keep it
//! from ending.

use std::{
    io::{self, Write},
    mem,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use hyssop_logging::{Buffer, FLUSH_TIMEOUT};
use tracing_subscriber::fmt::MakeWriter as _;

const LINE: &[u8] = b"line\n";
const LAST_LINE: &[u8] = b"last\n";
/// How long the slow output takes for a write.
const WRITE_TIME: Duration = Duration::from_millis(100);
/// By how much a busy machine may be late.
const LATENESS: Duration = Duration::from_secs(1);
/// Makes flushes overlap.
const SHORT_WRITE_TIME: Duration = Duration::from_micros(20);
const ROUND_COUNT: usize = 2000;

#[derive(Debug, Clone, Default)]
struct Output {
    text: Arc<Mutex<Vec<u8>>>,
    write_time: Duration,
}

impl Output {
    fn text(&self) -> MutexGuard<'_, Vec<u8>> {
        self.text.lock().expect("no thread panics")
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        thread::sleep(self.write_time);
        self.text().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Blocks until its sender is dropped.
#[derive(Debug)]
struct StuckOutput(mpsc::Receiver<()>);

impl Write for StuckOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _released = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn buffer(output: impl Write + Send + 'static) -> Buffer {
    let buffer = Buffer::default();
    buffer.start_writer(output);
    buffer
}

fn log(buffer: &Buffer, line: &[u8]) {
    buffer.make_writer().write_all(line).expect("writing never fails");
}

/// The last lines are lost if a flush returns while another has taken them and not yet written them.
#[test]
fn a_flush_returns_once_the_lines_that_another_flush_took_are_written() {
    let output = Output { write_time: SHORT_WRITE_TIME, ..Output::default() };
    let buffer = buffer(output.clone());
    let ended = Arc::new(AtomicBool::new(false));
    let others = [(); 3].map(|()| {
        let (buffer, ended) = (buffer.clone(), Arc::clone(&ended));
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                log(&buffer, LINE);
                buffer.flush();
            }
        })
    });
    let mut missing = 0;
    for _ in 0..ROUND_COUNT {
        log(&buffer, LAST_LINE);
        // Meanwhile another flush may take the line.
        thread::sleep(SHORT_WRITE_TIME);
        buffer.flush();
        let written = mem::take(&mut *output.text());
        missing += usize::from(!written.windows(LAST_LINE.len()).any(|line| line == LAST_LINE));
    }
    ended.store(true, Ordering::Relaxed);
    for other in others {
        other.join().expect("flushing never panics");
    }
    assert_eq!(missing, 0, "flushes of {ROUND_COUNT} that returned before their line was written");
}

#[test]
fn a_flush_waits_for_a_slow_output() {
    let output = Output { write_time: WRITE_TIME, ..Output::default() };
    let buffer = buffer(output.clone());
    log(&buffer, LINE);
    let flush = thread::spawn({
        let buffer = buffer.clone();
        move || buffer.flush()
    });
    thread::sleep(WRITE_TIME / 2);
    log(&buffer, LINE);
    buffer.flush();
    assert_eq!(*output.text(), LINE.repeat(2));
    flush.join().expect("flushing never panics");
}

/// A pipe whose reader has stopped reading blocks the process forever when it flushes its last lines.
#[test]
fn a_flush_gives_up_on_an_output_that_is_stuck() {
    let (release, stuck) = mpsc::channel();
    let buffer = buffer(StuckOutput(stuck));
    log(&buffer, LINE);
    let (flushed, result) = mpsc::channel();
    let flush = thread::spawn({
        let buffer = buffer.clone();
        move || {
            buffer.flush();
            // A line that comes while an earlier one is stuck.
            log(&buffer, LINE);
            buffer.flush();
            flushed.send(()).expect("the test waits");
        }
    });
    let ended = result.recv_timeout(FLUSH_TIMEOUT * 2 + LATENESS);
    drop(release);
    flush.join().expect("flushing never panics");
    ended.expect("two flushes end in time");
}
