//! TCP connections to peers, one to each, opened when needed.

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

/// The longest wait for a connection and its first answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The number of calls that may be under way on one connection.
const MAX_CALLS_IN_FLIGHT: usize = 20_000;

/// Why a peer could not be connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The peer's operating system refused: nothing listens there.
    #[display("connection refused")]
    Refused,
    /// Another failure of the connection.
    #[display("connection failed: {_0}")]
    Failed(#[error(not(source))] io::ErrorKind),
    /// The peer did not answer in time.
    #[display("no answer in time")]
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

/// A connection to a process.
#[derive(Debug, Clone)]
pub struct Link {
    /// The process at the other end.
    pub identity: Identity,
    /// The calls.
    pub client: PeerClient,
}

/// A connection that has ended.
#[derive(Debug, Clone)]
pub struct Closed {
    /// The process that was at the other end.
    pub process: Process,
    /// The address that it was reached at.
    pub address: SocketAddr,
}

/// The connections of one daemon.
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
    /// A pool without connections. The ends of connections are told through `closed`.
    pub fn new(me: Identity, meter: Arc<Meter>, closed: mpsc::UnboundedSender<Closed>) -> Self {
        Self { identity: me, meter, links: Arc::default(), closed }
    }

    /// The open connection to a host, if there is one at this address.
    pub fn existing(&self, host: &name::Host, address: SocketAddr) -> Option<Link> {
        let links = self.links.lock();
        links.get(host).filter(|entry| entry.address == address).map(|entry| entry.link.clone())
    }

    /// The connection to a host, opened if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not accept and answer in time.
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

    /// Opens a connection to whatever daemon listens at an address.
    ///
    /// # Errors
    ///
    /// Fails if no daemon accepts and answers in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Link, Error> {
        let attempt = time::timeout(CONNECT_TIMEOUT, self.handshake(address));
        attempt.await.map_err(|_| Error::TimedOut)?
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
        let (identify, identified) = tokio::sync::oneshot::channel();
        let links = Arc::clone(&self.links);
        let closed = self.closed.clone();
        let number = rand::random();
        tokio::spawn(async move {
            // The dispatch ends when either side closes the connection.
            let _ = dispatch.await;
            let Ok(process) = identified.await else { return };
            let process: Process = process;
            let mut links = links.lock();
            if links.get(&process.host).is_some_and(|entry| entry.id == number) {
                links.remove(&process.host);
                // The receiver is gone only when the node is.
                let _ = closed.send(Closed { process, address });
            }
        });
        let hello = client.hello(tarpc::context::current(), self.identity.clone()).await;
        let identity = hello.map_err(|_| Error::Failed(io::ErrorKind::ConnectionReset))?;
        let link = Link { identity, client };
        let entry = Entry { address, link: link.clone(), id: number };
        self.links.lock().insert(link.identity.host.clone(), entry);
        // The receiver is gone only when the connection has ended already.
        let _ = identify.send(link.identity.process());
        Ok(link)
    }

    /// Closes the connection to a host, if its process is the one given.
    pub fn close(&self, process: &Process) {
        let mut links = self.links.lock();
        if links.get(&process.host).is_some_and(|entry| entry.link.identity.process() == *process) {
            links.remove(&process.host);
        }
    }
}
