//! TCP connections to peers: at most one for each host, opened on demand.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyssop_document::{collections::Map, name};
use parking_lot::Mutex;
use tarpc::{client, serde_transport};
use tokio::{net::TcpStream, sync::mpsc, time};

use crate::{
    codec::{self, Postcard},
    identity::{Identity, Process},
    rpc::PeerClient,
    traffic::Meter,
};

/// The time limit for connecting and exchanging identities.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The limit of concurrent calls on one connection.
const MAX_CALLS_IN_FLIGHT: usize = 20_000;

/// Why a connection to a peer could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The peer's operating system refused the connection: no process listens on the port.
    #[display("connection refused")]
    Refused,
    /// Connecting or exchanging identities failed.
    #[display("connection failed: {_0}")]
    Failed(#[error(not(source))] io::ErrorKind),
    /// The peer did not respond in time.
    #[display("no response in time")]
    TimedOut,
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            kind => Self::Failed(kind),
        }
    }
}

/// An open connection to a peer.
#[derive(Debug, Clone)]
pub struct Link {
    /// The process at the other end.
    pub identity: Identity,
    /// The client for remote calls.
    pub client: PeerClient,
}

/// A connection that was closed by either side or has failed.
#[derive(Debug, Clone)]
pub struct Closed {
    /// The process at the other end.
    pub process: Process,
    /// The address that was connected to.
    pub address: SocketAddr,
}

/// The connections from one daemon to its peers.
#[derive(Debug)]
pub struct Pool {
    identity: Identity,
    meter: Arc<Meter>,
    links: Arc<Mutex<Map<name::Host, Entry>>>,
    closed: mpsc::UnboundedSender<Closed>,
}

#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    link: Link,
    id: u64,
}

impl Pool {
    /// Creates an empty pool. Closed connections are reported through `closed`.
    pub fn new(
        identity: Identity,
        meter: Arc<Meter>,
        closed: mpsc::UnboundedSender<Closed>,
    ) -> Self {
        Self { identity, meter, links: Arc::default(), closed }
    }

    /// Returns the open connection to a host at this address, if there is one.
    pub fn existing(&self, host: &name::Host, address: SocketAddr) -> Option<Link> {
        let links = self.links.lock();
        links.get(host).filter(|entry| entry.address == address).map(|entry| entry.link.clone())
    }

    /// Returns the open connection to a host, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not accept the connection and respond in time.
    pub async fn get_or_connect(
        &self,
        host: &name::Host,
        address: SocketAddr,
    ) -> Result<Link, Error> {
        match self.existing(host, address) {
            Some(link) => Ok(link),
            None => self.connect(address).await,
        }
    }

    /// Opens a connection to the daemon that listens on an address, whichever host it runs on.
    ///
    /// # Errors
    ///
    /// Fails if no daemon accepts the connection and responds in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Link, Error> {
        let handshake = time::timeout(CONNECT_TIMEOUT, self.handshake(address));
        handshake.await.map_err(|_| Error::TimedOut)?
    }

    async fn handshake(&self, address: SocketAddr) -> Result<Link, Error> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let codec = Postcard::new(Arc::clone(&self.meter));
        let transport = serde_transport::new(codec::framing().new_framed(stream), codec);
        let mut config = client::Config::default();
        config.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
        config.pending_request_buffer = MAX_CALLS_IN_FLIGHT;
        let client::NewClient { client, dispatch } = PeerClient::new(config, transport);
        let (process_sender, process_receiver) = tokio::sync::oneshot::channel();
        let links = Arc::clone(&self.links);
        let closed = self.closed.clone();
        let id = rand::random();
        tokio::spawn(async move {
            // The dispatch task ends when either side closes the connection.
            let _ = dispatch.await;
            let Ok(process) = process_receiver.await else { return };
            let process: Process = process;
            let mut links = links.lock();
            if links.get(&process.host).is_some_and(|entry| entry.id == id) {
                links.remove(&process.host);
                // The receiver is dropped only with the node.
                let _ = closed.send(Closed { process, address });
            }
        });
        let hello = client.hello(tarpc::context::current(), self.identity.clone()).await;
        let identity = hello.map_err(|_| Error::Failed(io::ErrorKind::ConnectionReset))?;
        let link = Link { identity, client };
        let entry = Entry { address, link: link.clone(), id };
        self.links.lock().insert(link.identity.host.clone(), entry);
        // The receiver is dropped only if the connection has ended already.
        let _ = process_sender.send(link.identity.process());
        Ok(link)
    }

    /// Closes the connection to `process`. A connection to another process on the host stays open.
    pub fn close(&self, process: &Process) {
        let mut links = self.links.lock();
        if links.get(&process.host).is_some_and(|entry| entry.link.identity.process() == *process) {
            links.remove(&process.host);
        }
    }
}
