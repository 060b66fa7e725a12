//! A connection to a backend server.

use std::{
    io,
    net::{Shutdown, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::{Buf as _, Bytes, BytesMut};
use hyssop_policy::local::silence::Contact;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::Interest,
    net::TcpStream,
    time::{error::Elapsed, timeout},
};

/// A full accept queue drops the SYN, which is sent again only after 1 s. Trying another backend
/// server is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long sent data may stay unacknowledged before the kernel drops the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The idle time before the first TCP keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unacknowledged keepalive probes after which the connection is dropped.
const KEEPALIVE_PROBES: u32 = 2;
/// The buffer space reserved for one read.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// The divisor of the part by which [`Activity::longest_gap_ms`] falls with each shorter gap. A pause
/// counts for the next ten or so parts of responses.
const GAP_DECAY_DIVISOR: u64 = 8;

/// State shared by all connections to one backend server.
#[derive(Debug)]
pub struct Activity {
    open_connections: AtomicUsize,
    /// The open connections whose attempts are over, see [`Connection::linger`].
    lingering_connections: AtomicUsize,
    started: Instant,
    /// When data was last received, in ms since `started`.
    last_received_ms: AtomicU64,
    /// When a connection was last accepted, in ms since `started`.
    last_accepted_ms: AtomicU64,
    /// The longest recent time between two parts of one response.
    longest_gap_ms: AtomicU64,
}

impl Default for Activity {
    fn default() -> Self {
        let started = Instant::now();
        Self {
            open_connections: AtomicUsize::new(0),
            lingering_connections: AtomicUsize::new(0),
            started,
            last_received_ms: AtomicU64::new(0),
            last_accepted_ms: AtomicU64::new(0),
            longest_gap_ms: AtomicU64::new(0),
        }
    }
}

impl Activity {
    /// Whether the backend server has sent anything since `since`.
    pub fn received_since(&self, since: Instant) -> bool {
        let since_ms = since.duration_since(self.started).as_millis() as u64;
        self.last_received_ms.load(Ordering::Relaxed) > since_ms
    }

    /// How long ago the backend server last sent anything or accepted a connection. If it never
    /// did, how long ago this record was created.
    pub fn silent_for(&self, now: Instant) -> Duration {
        let last = [&self.last_received_ms, &self.last_accepted_ms];
        let last_ms = last.map(|at_ms| at_ms.load(Ordering::Relaxed)).into_iter().max();
        let last = Duration::from_millis(last_ms.unwrap_or(0));
        now.duration_since(self.started).saturating_sub(last)
    }

    /// When the backend server was last heard of.
    pub fn contact(&self, now: Instant) -> Contact {
        let received = Duration::from_millis(self.last_received_ms.load(Ordering::Relaxed));
        Contact {
            silent_for: self.silent_for(now),
            sent_nothing_for: now.duration_since(self.started).saturating_sub(received),
            usual_gap: Duration::from_millis(self.longest_gap_ms.load(Ordering::Relaxed)),
        }
    }

    /// Records that data was received, and the time since the previous part of the response.
    fn record_received(&self, gap: Option<Duration>) {
        self.last_received_ms.store(self.elapsed_ms(), Ordering::Relaxed);
        if let Some(gap) = gap {
            let longest = self.longest_gap_ms.load(Ordering::Relaxed);
            let decayed = longest - longest.div_ceil(GAP_DECAY_DIVISOR);
            // A part that another task records meanwhile may be lost; the next one counts again.
            self.longest_gap_ms.store(decayed.max(gap.as_millis() as u64), Ordering::Relaxed);
        }
    }

    fn record_accepted(&self) {
        self.last_accepted_ms.store(self.elapsed_ms(), Ordering::Relaxed);
    }

    fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
pub struct OpenGuard(Arc<Activity>);

impl OpenGuard {
    /// Counts a new connection if fewer than `max_connections` are open.
    pub fn acquire(activity: &Arc<Activity>, max_connections: usize) -> Option<Self> {
        if activity.open_connections.load(Ordering::Relaxed) >= max_connections {
            return None;
        }
        activity.open_connections.fetch_add(1, Ordering::Relaxed);
        Some(Self(Arc::clone(activity)))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a connection that lingers until it is dropped.
#[derive(Debug)]
pub struct LingerGuard(Arc<Activity>);

impl Drop for LingerGuard {
    fn drop(&mut self) {
        self.0.lingering_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes read and not yet consumed.
    pub buffer: BytesMut,
    head: Bytes,
    body: Bytes,
    written_bytes: usize,
    write_error: Option<io::ErrorKind>,
    /// When the last part of the current response was received.
    last_received: Option<Instant>,
    /// Whether an earlier request used the connection.
    pub reused: bool,
    /// When its last exchange ended.
    pub idle_since: Instant,
    /// How long the backend server keeps the connection idle, if it announces that.
    pub keep_alive: Option<Duration>,
    guard: OpenGuard,
}

impl Connection {
    /// Connects to a backend server.
    ///
    /// # Errors
    ///
    /// Returns the I/O error, or [`io::ErrorKind::TimedOut`] after 350 ms.
    pub async fn open(address: SocketAddr, guard: OpenGuard) -> io::Result<Self> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream =
            connect.await.map_err(|_: Elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        guard.0.record_accepted();
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let probes =
            TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&probes.with_retries(KEEPALIVE_PROBES))?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            head: Bytes::new(),
            body: Bytes::new(),
            written_bytes: 0,
            write_error: None,
            last_received: None,
            reused: false,
            idle_since: Instant::now(),
            keep_alive: None,
            guard,
        })
    }

    /// Whether an idle connection is open and has no unread bytes.
    pub fn is_clean(&mut self) -> bool {
        let mut byte = [0];
        let nothing_to_read = matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        nothing_to_read && self.buffer.is_empty() && !self.is_writing()
    }

    /// Queues a request. [`Self::fill`] writes it while it reads the response.
    pub fn send(&mut self, head: Bytes, body: Bytes) {
        self.head = head;
        self.body = body;
        self.written_bytes = 0;
        self.write_error = None;
        self.last_received = None;
    }

    /// Closes the connection. Bytes of the request that have not reached the backend server are dropped:
    /// it would run a request later that nobody waits for any more.
    pub fn abandon(self) {
        super::reset_on_close(&self.stream);
    }

    /// Tells the backend server that nobody waits for the response, while what it still sends can be
    /// read. What has not been written of the request is dropped. Returns `None` if `max_lingering`
    /// connections to the server linger.
    pub fn linger(&mut self, max_lingering: usize) -> Option<LingerGuard> {
        let lingering = &self.guard.0.lingering_connections;
        if lingering.load(Ordering::Relaxed) >= max_lingering {
            return None;
        }
        lingering.fetch_add(1, Ordering::Relaxed);
        let guard = LingerGuard(Arc::clone(&self.guard.0));
        let is_whole = !self.is_writing();
        self.head.clear();
        self.body.clear();
        // A request that was cut short must not look complete.
        if is_whole && let Err(error) = SockRef::from(&self.stream).shutdown(Shutdown::Write) {
            tracing::debug!(event = "connection_not_shut", %error);
        }
        Some(guard)
    }

    /// Whether no byte of the request can have reached the backend server.
    pub fn is_unsent(&self) -> bool {
        self.written_bytes == 0
    }

    /// Whether bytes of the request are still queued.
    pub fn is_writing(&self) -> bool {
        !self.head.is_empty() || !self.body.is_empty()
    }

    /// Writes queued bytes as far as possible and reads more bytes into the buffer. Returns 0 at
    /// the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns the I/O error. A failed write, or a request that is not written when the stream ends, is
    /// reported only when nothing can be read, since the response may have arrived before.
    pub async fn fill(&mut self) -> io::Result<usize> {
        // A peer that sends faster than this daemon reads would never let the task wait, and so
        // neither other tasks nor timeouts run.
        tokio::task::coop::consume_budget().await;
        loop {
            if self.is_writing() {
                self.write();
            }
            let writing = self.is_writing();
            let interest =
                if writing { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
                self.buffer.reserve(READ_BUFFER_BYTES);
                match self.stream.try_read_buf(&mut self.buffer) {
                    Ok(0) => return self.end_of_stream(),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Ok(count) => {
                        self.record_received();
                        return Ok(count);
                    }
                    Err(error) => return Err(error),
                }
            }
        }
    }

    /// The end of the stream, or an error if the backend server has not received the request. A response
    /// that ends with its connection is then not known to be complete: a reset may follow.
    fn end_of_stream(&self) -> io::Result<usize> {
        let unwritten = self.is_writing().then_some(io::ErrorKind::ConnectionAborted);
        self.write_error.or(unwritten).map_or(Ok(0), |kind| Err(kind.into()))
    }

    fn record_received(&mut self) {
        let now = Instant::now();
        let previous = self.last_received.replace(now);
        self.guard.0.record_received(previous.map(|previous| now.duration_since(previous)));
    }

    /// Whether the backend server has sent anything on any connection since `since`.
    pub fn server_active_since(&self, since: Instant) -> bool {
        self.guard.0.received_since(since)
    }

    /// How long the backend server has sent nothing and accepted no connection.
    pub fn server_silent_for(&self, now: Instant) -> Duration {
        self.guard.0.silent_for(now)
    }

    fn write(&mut self) {
        while self.is_writing() {
            let slices = [io::IoSlice::new(&self.head), io::IoSlice::new(&self.body)];
            match self.stream.try_write_vectored(&slices) {
                Ok(count) => {
                    self.written_bytes += count;
                    let head_count = count.min(self.head.len());
                    self.head.advance(head_count);
                    self.body.advance(count - head_count);
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
