//! TCP and UDP forwarder between two hosts, with cuts and delays in each direction.
//!
//! A cut link behaves like a network that drops packets: datagrams are lost, and the bytes of a
//! connection stall, without an error, until the link is healed. New connections are still accepted,
//! unless [`Link::admit`] says otherwise.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyssop_document::collections::Map;
use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream, UdpSocket,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    time::timeout,
};
use tokio_util::sync::{CancellationToken, DropGuard};

const BUFFER_BYTES: usize = 64 << 10;
/// The accept queue of a listener that accepts connections.
const BACKLOG: u32 = 1024;
/// The time after which a connection attempt is taken to hang. Loopback is far faster.
const HANG_TIMEOUT: Duration = Duration::from_millis(50);

/// A direction of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From clients to the target.
    Forward,
    /// From the target to clients.
    Backward,
}

/// The network condition of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Condition {
    /// Whether all traffic is blocked.
    pub cut: bool,
    /// The added latency.
    pub delay: Duration,
}

/// What happens to new connections of clients.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Admission {
    /// They are accepted.
    #[default]
    Accept,
    /// They get no response, as from a network that drops packets.
    Hang,
    /// They are refused.
    Refuse,
}

/// A running forwarder.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
    _stop: DropGuard,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    forward: watch::Sender<Condition>,
    backward: watch::Sender<Condition>,
    admission: watch::Sender<Admission>,
    /// The socket to the target for each client that sends datagrams.
    upstreams: Mutex<Map<SocketAddr, Arc<UdpSocket>>>,
    /// Cancelled to reset all open connections.
    connections: Mutex<CancellationToken>,
    stop: CancellationToken,
}

impl Link {
    /// Starts to forward from `address` to `target`, TCP and UDP on the same port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared {
            target,
            forward: watch::Sender::new(Condition::default()),
            backward: watch::Sender::new(Condition::default()),
            admission: watch::Sender::default(),
            upstreams: Mutex::default(),
            connections: Mutex::default(),
            stop: stop.clone(),
        });
        let admit = admit(address, listener, shared.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(admit));
        tokio::spawn(
            stop.clone().run_until_cancelled_owned(forward_datagrams(socket, shared.clone())),
        );
        Ok(Self { address, shared, _stop: stop.drop_guard() })
    }

    /// The listen address of the link.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the condition of one direction.
    pub fn set(&self, direction: Direction, condition: Condition) {
        self.shared.condition(direction).send_replace(condition);
    }

    /// Cuts both directions.
    pub fn cut(&self) {
        for direction in [Direction::Forward, Direction::Backward] {
            self.set(direction, Condition { cut: true, delay: Duration::ZERO });
        }
    }

    /// Sets what happens to new connections. Those in the accept queue of the listener are reset if
    /// it changes.
    pub fn admit(&self, admission: Admission) {
        self.shared.admission.send_replace(admission);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        std::mem::take(&mut *self.shared.connections.lock()).cancel();
    }

    /// Removes the cut and the delay of both directions, and accepts new connections.
    pub fn heal(&self) {
        self.admit(Admission::Accept);
        for direction in [Direction::Forward, Direction::Backward] {
            self.set(direction, Condition::default());
        }
    }
}

impl Shared {
    fn condition(&self, direction: Direction) -> &watch::Sender<Condition> {
        match direction {
            Direction::Forward => &self.forward,
            Direction::Backward => &self.backward,
        }
    }
}

/// Treats new connections as [`Link::admit`] says.
async fn admit(address: SocketAddr, listener: TcpListener, shared: Arc<Shared>) {
    let mut admission = shared.admission.subscribe();
    let mut listener = Some(listener);
    loop {
        let present = *admission.borrow_and_update();
        // The listener keeps its accept queue, so each kind of admission has one of its own.
        let (_full, listening) = match present {
            Admission::Accept => {
                let bound = listener.take().map_or_else(|| listen(address, BACKLOG), Ok);
                (None, bound.ok())
            }
            Admission::Hang => (fill_queue(address).await, None),
            Admission::Refuse => (None, None),
        };
        listener = None;
        let changed = async {
            // The sender lives as long as the link.
            _ = admission.changed().await;
        };
        match listening {
            Some(listening) => {
                tokio::select! {
                    () = accept(&listening, &shared) => return,
                    () = changed => {}
                }
            }
            None => changed.await,
        }
    }
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Listens with the shortest accept queue there is, and fills it, so that further connection attempts
/// get no response.
async fn fill_queue(address: SocketAddr) -> Option<(TcpListener, Vec<TcpStream>)> {
    let listener = listen(address, 0).ok()?;
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(HANG_TIMEOUT, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    Some((listener, queued))
}

async fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let connection = connection(stream, shared.clone());
        tokio::spawn(shared.stop.clone().run_until_cancelled_owned(connection));
    }
}

async fn connection(client: TcpStream, shared: Arc<Shared>) {
    wait_until_passing(&shared.forward).await;
    let Ok(target) = TcpStream::connect(shared.target).await else { return };
    _ = client.set_nodelay(true);
    _ = target.set_nodelay(true);
    let reset = shared.connections.lock().clone();
    let (mut client, mut target) = (client, target);
    let copying = {
        let (client_read, client_write) = client.split();
        let (target_read, target_write) = target.split();
        reset.run_until_cancelled(async {
            tokio::join!(
                copy(client_read, target_write, &shared.forward),
                copy(target_read, client_write, &shared.backward),
            )
        })
    };
    if copying.await.is_none() {
        // With a zero linger time, closing a socket resets its connection.
        _ = client.set_zero_linger();
        _ = target.set_zero_linger();
    }
}

/// Waits until the direction is not cut. Returns its delay.
async fn wait_until_passing(condition: &watch::Sender<Condition>) -> Duration {
    let mut receiver = condition.subscribe();
    let passing = receiver.wait_for(|condition| !condition.cut).await;
    passing.map_or(Duration::ZERO, |condition| condition.delay)
}

async fn copy(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, condition: &watch::Sender<Condition>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        let delay = wait_until_passing(condition).await;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            // The other direction may still be open. An error means that the peer is already gone.
            _ = to.shutdown().await;
            return;
        }
    }
}

async fn forward_datagrams(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((read, from)) = socket.recv_from(&mut buffer).await else { continue };
        let condition = *shared.forward.borrow();
        if condition.cut {
            continue;
        }
        let Ok(upstream) = upstream(&socket, &shared, from).await else { continue };
        let datagram = buffer[..read].to_vec();
        tokio::spawn(async move {
            tokio::time::sleep(condition.delay).await;
            _ = upstream.send(&datagram).await;
        });
    }
}

/// The socket that forwards the datagrams of one client. Replies return over the same socket.
async fn upstream(
    socket: &Arc<UdpSocket>,
    shared: &Arc<Shared>,
    from: SocketAddr,
) -> io::Result<Arc<UdpSocket>> {
    if let Some(existing) = shared.upstreams.lock().get(&from) {
        return Ok(existing.clone());
    }
    let upstream = Arc::new(UdpSocket::bind((socket.local_addr()?.ip(), 0)).await?);
    upstream.connect(shared.target).await?;
    shared.upstreams.lock().insert(from, upstream.clone());
    let returning = return_datagrams(socket.clone(), upstream.clone(), shared.clone(), from);
    tokio::spawn(shared.stop.clone().run_until_cancelled_owned(returning));
    Ok(upstream)
}

async fn return_datagrams(
    socket: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    shared: Arc<Shared>,
    to: SocketAddr,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(read) = upstream.recv(&mut buffer).await else { continue };
        let condition = *shared.backward.borrow();
        if condition.cut {
            continue;
        }
        tokio::time::sleep(condition.delay).await;
        _ = socket.send_to(&buffer[..read], to).await;
    }
}
