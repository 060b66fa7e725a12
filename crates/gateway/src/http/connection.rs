//! A connection to a backend server.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::{Buf as _, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::Interest,
    net::TcpStream,
    time::{error::Elapsed, timeout},
};

/// The time for a new connection. A full accept queue drops the first packet, which is sent again
/// after a second; another backend server is quicker.
const CONNECT_TIME: Duration = Duration::from_millis(350);
/// How long sent bytes may stay without acknowledgement before the connection counts as broken.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(2_500);
/// The time until the first probe of a silent connection, and between probes.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// Probes without answer after which a connection counts as broken.
const PROBES: u32 = 2;
/// The room for one read.
const READ_BYTES: usize = 4 << 10;

/// What all connections to one backend server share.
#[derive(Debug)]
pub struct Activity {
    open: AtomicUsize,
    started: Instant,
    /// When bytes came last, in ms since `started`.
    heard_ms: AtomicU64,
}

impl Default for Activity {
    fn default() -> Self {
        let started = Instant::now();
        Self { open: AtomicUsize::new(0), started, heard_ms: AtomicU64::new(0) }
    }
}

impl Activity {
    /// Whether the backend server has sent anything since `since`.
    pub fn heard_since(&self, since: Instant) -> bool {
        let since_ms = since.duration_since(self.started).as_millis() as u64;
        self.heard_ms.load(Ordering::Relaxed) > since_ms
    }

    fn heard(&self) {
        self.heard_ms.store(self.started.elapsed().as_millis() as u64, Ordering::Relaxed);
    }
}

/// Counts one open connection for as long as it lives.
#[derive(Debug)]
pub struct Counted(Arc<Activity>);

impl Counted {
    /// Counts one more if fewer than `most` are open.
    pub fn take(activity: &Arc<Activity>, most: usize) -> Option<Self> {
        if activity.open.load(Ordering::Relaxed) >= most {
            return None;
        }
        activity.open.fetch_add(1, Ordering::Relaxed);
        Some(Self(Arc::clone(activity)))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that are read and not taken.
    pub buffer: BytesMut,
    head: Bytes,
    body: Bytes,
    written: usize,
    write_error: Option<io::ErrorKind>,
    /// Whether an earlier request used it.
    pub reused: bool,
    /// When its last exchange ended.
    pub idle_since: Instant,
    /// How long the backend server keeps it idle.
    pub keep_alive: Option<Duration>,
    counted: Counted,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, or a timeout.
    pub async fn open(address: SocketAddr, counted: Counted) -> io::Result<Self> {
        let connect = timeout(CONNECT_TIME, TcpStream::connect(address));
        let stream =
            connect.await.map_err(|_: Elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))?;
        let probes = TcpKeepalive::new().with_time(PROBE_TIME).with_interval(PROBE_TIME);
        socket.set_tcp_keepalive(&probes.with_retries(PROBES))?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            head: Bytes::new(),
            body: Bytes::new(),
            written: 0,
            write_error: None,
            reused: false,
            idle_since: Instant::now(),
            keep_alive: None,
            counted,
        })
    }

    /// Whether an idle connection is still open and holds no stray bytes.
    pub fn is_clean(&mut self) -> bool {
        let mut byte = [0];
        let nothing_to_read = matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        nothing_to_read && self.buffer.is_empty() && !self.is_writing()
    }

    /// Sets the bytes of a request, to be written while the answer is read.
    pub fn send(&mut self, head: Bytes, body: Bytes) {
        self.head = head;
        self.body = body;
        self.written = 0;
        self.write_error = None;
    }

    /// Whether no byte of the request can have reached the backend server.
    pub fn is_unsent(&self) -> bool {
        self.written == 0
    }

    /// Whether bytes of the request are still to be written.
    pub fn is_writing(&self) -> bool {
        !self.head.is_empty() || !self.body.is_empty()
    }

    /// Writes what can be written and reads more bytes into the buffer. Returns 0 at the end of the
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the system. A failed write is an error only when nothing can be read,
    /// since the answer may have come before.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            if self.is_writing() {
                self.write();
            }
            let writing = self.is_writing();
            let interest =
                if writing { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
                self.buffer.reserve(READ_BYTES);
                match self.stream.try_read_buf(&mut self.buffer) {
                    Ok(0) => return self.write_error.map_or(Ok(0), |kind| Err(kind.into())),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Ok(count) => {
                        self.counted.0.heard();
                        return Ok(count);
                    }
                    Err(error) => return Err(error),
                }
            }
        }
    }

    /// Whether the backend server has sent anything on any connection since `since`.
    pub fn server_heard_since(&self, since: Instant) -> bool {
        self.counted.0.heard_since(since)
    }

    fn write(&mut self) {
        while self.is_writing() {
            let parts = [io::IoSlice::new(&self.head), io::IoSlice::new(&self.body)];
            match self.stream.try_write_vectored(&parts) {
                Ok(count) => {
                    self.written += count;
                    let of_head = count.min(self.head.len());
                    self.head.advance(of_head);
                    self.body.advance(count - of_head);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    self.write_error = Some(error.kind());
                    self.head.clear();
                    self.body.clear();
                }
            }
        }
    }
}
