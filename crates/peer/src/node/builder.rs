//! Settings and start of a node.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64},
    },
};

use arc_swap::ArcSwap;
use hyssop_timer::Service;
use parking_lot::Mutex;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{Notify, mpsc, watch as channel},
};

use super::{Node, Shared, beat, report, serve, spread, watch};
use crate::{
    core::Core,
    current::Store,
    group::Loads,
    identity::Identity,
    link, member, permits,
    query::{NoTopics, QueryHandler},
    timing::Timing,
    traffic::Meter,
    view::{Leases, View},
    wire::Cell,
};

/// The number of ports tried when any port will do.
const PORT_TRIES: usize = 16;

/// Settings of a node.
#[derive(Debug)]
pub struct Builder {
    identity: Identity,
    timer: Arc<Service>,
    loads: Arc<dyn Loads>,
    inquiry: Arc<dyn QueryHandler>,
    seeds: Vec<SocketAddr>,
    timing: Timing,
    cell: Cell,
    trust_refusals: bool,
}

impl Builder {
    pub(super) fn new(identity: Identity, timer: Arc<Service>, loads: Arc<dyn Loads>) -> Self {
        Self {
            identity,
            timer,
            loads,
            inquiry: Arc::new(NoTopics),
            seeds: Vec::new(),
            timing: Timing::default(),
            cell: Cell::default(),
            trust_refusals: true,
        }
    }

    /// Sets what answers the peers' questions about the daemon around the node.
    pub fn inquiry(mut self, inquiry: Arc<dyn QueryHandler>) -> Self {
        self.inquiry = inquiry;
        self
    }

    /// Sets addresses of peers to ask before a list of hosts is known.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the intervals of the protocol. All daemons of a cell must have the same.
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the cell.
    pub fn cell(mut self, cell: Cell) -> Self {
        self.cell = cell;
        self
    }

    /// Sets whether a refused connection, after one that was reset, proves that a process ended.
    pub fn trust_refusals(mut self, trust: bool) -> Self {
        self.trust_refusals = trust;
        self
    }

    /// Binds the peer address and starts the node's tasks.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(self) -> io::Result<Arc<Node>> {
        let (listener, socket) = bind(self.identity.peer_address).await?;
        let identity = Identity { peer_address: listener.local_addr()?, ..self.identity };
        let now = self.timer.now();
        let me = identity.process();
        let members = member::Table::new(me.clone(), self.seeds, &self.timing, now);
        let mut core = Core::new(identity.clone(), self.cell, members, &self.timing, now);
        let view = View::of(&mut core, now);
        let (closed, ends) = mpsc::unbounded_channel();
        let meter = Arc::new(Meter::default());
        let shared = Arc::new(Shared {
            started: now,
            timing: self.timing,
            core: Mutex::new(core),
            store: Store::default(),
            offers: Mutex::new(()),
            board: Mutex::default(),
            held: Mutex::new(permits::Table::new(me)),
            outbox: Mutex::default(),
            doubts: Mutex::default(),
            view: ArcSwap::from_pointee(view),
            standings: ArcSwap::from_pointee(Leases::default()),
            groups: Mutex::default(),
            slots: AtomicU64::new(0),
            pool: link::Pool::new(identity.clone(), Arc::clone(&meter), closed),
            meter,
            loads: self.loads,
            inquiry: self.inquiry,
            socket,
            beat: Notify::new(),
            spread: Notify::new(),
            flush: Notify::new(),
            changes: channel::channel(0).0,
            moves: channel::channel(0).0,
            asked_peers: AtomicBool::new(false),
            refreshed_pauses: AtomicU64::new(self.timer.pauses()),
            trust_refusals: self.trust_refusals,
            timer: self.timer,
            identity,
        });
        let tasks = [
            tokio::spawn(beat::send(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(beat::receive(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(serve::listen(Arc::clone(&shared), listener)).abort_handle(),
            tokio::spawn(spread::ask_peers(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(spread::follow(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(report::flush(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(report::report(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(watch::keep(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(watch::ends(Arc::clone(&shared), ends)).abort_handle(),
        ];
        Ok(Arc::new(Node { shared, tasks: tasks.to_vec() }))
    }
}

/// Binds one address for TCP and UDP. Port 0 stands for any port that is free for both.
async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    loop {
        tries -= 1;
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if tries == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
