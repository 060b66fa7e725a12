//! Configures and starts a node.

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
use tokio_util::task::TaskTracker;

use super::{Node, Shared, connections, heartbeat, report, serve, sync};
use crate::{
    core::Core,
    current::Store,
    group::LoadSource,
    identity::Identity,
    link, member, permits,
    query::{NoTopics, QueryHandler},
    timing::Timing,
    traffic::Meter,
    view::{Leases, View},
    wire::Cell,
};

/// The limit of attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 16;

/// Settings of a node.
#[derive(Debug)]
pub struct Builder {
    identity: Identity,
    timer: Arc<Service>,
    load_source: Arc<dyn LoadSource>,
    query_handler: Arc<dyn QueryHandler>,
    seeds: Vec<SocketAddr>,
    timing: Timing,
    cell: Cell,
    trust_refusals: bool,
}

impl Builder {
    pub(super) fn new(
        identity: Identity,
        timer: Arc<Service>,
        load_source: Arc<dyn LoadSource>,
    ) -> Self {
        Self {
            identity,
            timer,
            load_source,
            query_handler: Arc::new(NoTopics),
            seeds: Vec::new(),
            timing: Timing::default(),
            cell: Cell::default(),
            trust_refusals: true,
        }
    }

    /// Sets the handler of peers' queries. The default gives empty responses.
    pub fn query_handler(mut self, query_handler: Arc<dyn QueryHandler>) -> Self {
        self.query_handler = query_handler;
        self
    }

    /// Sets addresses of peers to query before a list of hosts is in use. None by default.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the intervals of the protocol. All daemons of a cell must use the same values.
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the cell. Heartbeats of other cells are dropped.
    pub fn cell(mut self, cell: Cell) -> Self {
        self.cell = cell;
        self
    }

    /// Sets whether a refused connection, after an open one has ended, proves that the process of
    /// the peer has ended. The default is `true`.
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
        let own_process = identity.process();
        let members = member::Table::new(own_process.clone(), self.seeds, &self.timing, now);
        let mut core = Core::new(identity.clone(), self.cell, members, &self.timing, now);
        let view = View::of(&mut core, now);
        let (closed, closed_receiver) = mpsc::unbounded_channel();
        let meter = Arc::new(Meter::default());
        let shared = Arc::new(Shared {
            started_at: now,
            timing: self.timing,
            core: Mutex::new(core),
            store: Store::default(),
            offer_lock: Mutex::new(()),
            notices: Mutex::default(),
            permits: Mutex::new(permits::Table::new(own_process)),
            outbox: Mutex::default(),
            event_calls: TaskTracker::new(),
            pending_reports: Mutex::default(),
            view: ArcSwap::from_pointee(view),
            leases: ArcSwap::from_pointee(Leases::default()),
            groups: Mutex::default(),
            next_slot: AtomicU64::new(0),
            pool: link::Pool::new(identity.clone(), Arc::clone(&meter), closed),
            meter,
            load_source: self.load_source,
            query_handler: self.query_handler,
            socket,
            heartbeat_trigger: Notify::new(),
            sync_trigger: Notify::new(),
            flush_trigger: Notify::new(),
            changes: channel::channel(0).0,
            lease_changes: channel::channel(0).0,
            peers_queried: AtomicBool::new(false),
            resynced_pauses: AtomicU64::new(self.timer.pauses()),
            trust_refusals: self.trust_refusals,
            timer: self.timer,
            identity,
        });
        let tasks = [
            tokio::spawn(heartbeat::send(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(heartbeat::receive(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(serve::listen(Arc::clone(&shared), listener)).abort_handle(),
            tokio::spawn(sync::query_peers(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(sync::fetch_newer(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(report::send_events(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(report::send_reports(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(connections::maintain(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(connections::handle_closed(Arc::clone(&shared), closed_receiver))
                .abort_handle(),
        ];
        Ok(Arc::new(Node { shared, tasks: tasks.to_vec() }))
    }
}

/// Binds one address for TCP and UDP. Port 0 selects a port that is free for both.
async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = if address.port() == 0 { MAX_PORT_ATTEMPTS } else { 1 };
    loop {
        attempts -= 1;
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if attempts == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
