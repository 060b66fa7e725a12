//! One daemon among its peers.

mod beat;
mod builder;
mod direct;
mod gather;
mod notices;
mod permit;
mod report;
mod serve;
mod spread;
mod values;
mod watch;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwap;
use hyssop_document::{collections::Map, group::Group, name, number::Incarnation};
use hyssop_timer::Service;
use parking_lot::Mutex;
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch as channel},
    task::AbortHandle,
};

pub use builder::Builder;

pub use crate::lease::StalePermit;

use crate::{
    core::{Core, Stamps},
    current::{Current, Store},
    group::{Command, Handle, Loads},
    identity::{Identity, Process},
    lease::Lease,
    link,
    message::{Batch, Event},
    notice, permits,
    query::QueryHandler,
    rank::Key,
    timing::Timing,
    traffic::{Meter, Traffic},
    view::{Leases, View},
};

/// What all tasks of a node share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) identity: Identity,
    pub(crate) started: Instant,
    pub(crate) timer: Arc<Service>,
    pub(crate) timing: Timing,
    pub(crate) core: Mutex<Core>,
    pub(crate) store: Store,
    /// Held while a value is offered, so that two offers never cross.
    offers: Mutex<()>,
    board: Mutex<notice::Table>,
    held: Mutex<permits::Table>,
    outbox: Mutex<Map<Group, Batch>>,
    /// The groups of which something may be lost, with the number of reports to send for it.
    doubts: Mutex<Map<Group, u32>>,
    view: ArcSwap<View>,
    standings: ArcSwap<Leases>,
    groups: Mutex<Map<Group, Handle>>,
    slots: AtomicU64,
    pool: link::Pool,
    meter: Arc<Meter>,
    pub(crate) loads: Arc<dyn Loads>,
    inquiry: Arc<dyn QueryHandler>,
    socket: UdpSocket,
    /// Asks for a round of heartbeats at once.
    beat: Notify,
    /// Asks for a look at what peers have in force.
    spread: Notify,
    /// Asks for the events in the outbox to be sent.
    flush: Notify,
    /// Counts changes of what is in force.
    pub(crate) changes: channel::Sender<u64>,
    /// Counts changes of the standing schedulers.
    moves: channel::Sender<u64>,
    asked_peers: AtomicBool,
    /// The number of pauses of the process after which the view was refreshed.
    refreshed_pauses: AtomicU64,
    trust_refusals: bool,
}

/// One daemon among its peers. Dropping it ends its tasks.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        self.shared.groups.lock().clear();
    }
}

impl Node {
    /// Starts to build a node. `identity.peer_address` is bound for UDP and for TCP.
    pub fn builder(identity: Identity, timer: Arc<Service>, loads: Arc<dyn Loads>) -> Builder {
        Builder::new(identity, timer, loads)
    }

    /// Who this daemon is, with the address that was bound.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// What this daemon sees of its cell.
    pub fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// What is in force.
    pub fn current(&self) -> Arc<Current> {
        self.shared.store.load()
    }

    /// Counts the changes of what is in force.
    pub fn changes(&self) -> channel::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// Notes whether the platform was reached lately.
    pub fn set_platform(&self, reached: bool) {
        self.shared.core.lock().set_platform_reached(reached);
    }

    /// Whether this daemon is one of the few that watch the platform.
    pub fn platform_duty(&self) -> bool {
        self.view().watches_platform
    }

    /// Whether this daemon has asked its peers and has a document.
    pub fn ready(&self) -> bool {
        self.shared.ready()
    }

    /// Leaves: peers drop this daemon from the addresses and take its groups over.
    pub fn leave(&self) {
        self.shared.core.lock().leave();
        log::info!("leaving host={}", self.shared.identity.host);
        self.shared.publish();
        self.shared.beat.notify_one();
    }

    /// Whether no group's scheduler is held here by any vote, so that the hand-over is done.
    pub fn handed_over(&self) -> bool {
        let now = self.shared.timer.now();
        let groups: Vec<_> = self.shared.groups.lock().keys().cloned().collect();
        let core = self.shared.core.lock();
        let mut keys = groups.iter().map(Key::group);
        keys.all(|key| core.tally.vote_count(key, core.electorate(), now) == 0)
    }

    /// What was exchanged with peers since the start.
    pub fn traffic(&self) -> Traffic {
        self.shared.meter.read()
    }

    /// The live daemon with an incarnation, which may be this one.
    pub fn peer(&self, incarnation: Incarnation) -> Option<Identity> {
        if incarnation == self.shared.identity.incarnation {
            return Some(self.shared.identity.clone());
        }
        let view = self.view();
        let mut alive = view.alive.iter().map(|peer| &peer.identity);
        alive.find(|identity| identity.incarnation == incarnation).cloned()
    }
}

impl Shared {
    fn me(&self) -> Process {
        self.identity.process()
    }

    fn now(&self) -> Instant {
        self.timer.now()
    }

    fn stamps(&self) -> Stamps {
        let current = self.store.load();
        Stamps {
            document: current.document_stamp(),
            orders: current.orders_stamp,
            notices: self.board.lock().digest(self.now()),
        }
    }

    /// Publishes the view and the standing schedulers for readers.
    fn publish(&self) {
        let mut core = self.core.lock();
        let view = View::of(&mut core, self.now());
        // Stored under the lock of the core, so that an older view never replaces a newer one.
        self.view.store(Arc::new(view));
        drop(core);
        self.publish_standings();
    }

    /// Publishes the standing schedulers for readers.
    fn publish_standings(&self) {
        let now = self.now();
        let core = self.core.lock();
        let standings = Arc::new(core.leases(now));
        if let Some(pauses) = core.resynced_pauses(now) {
            self.refreshed_pauses.store(pauses, Ordering::Release);
        }
        let old = self.standings.swap(Arc::clone(&standings));
        drop(core);
        let same = |(key, old): (&Key, &Lease)| {
            let new = standings.get(key);
            new.is_some_and(|new| new.scheduler == old.scheduler && new.epoch == old.epoch)
        };
        if old.len() != standings.len() || !old.iter().all(same) {
            self.moves.send_modify(|count| *count += 1);
        }
    }

    fn ready(&self) -> bool {
        self.asked_peers.load(Ordering::Acquire) && self.store.load().document.is_some()
    }

    /// The task of a group's scheduler, started when it is first needed.
    fn group(self: &Arc<Self>, group: &Group) -> Handle {
        let mut groups = self.groups.lock();
        if let Some(handle) = groups.get(group) {
            return handle.clone();
        }
        let slot = self.slots.fetch_add(1, Ordering::Relaxed);
        let handle = Handle::start(Arc::clone(self), group.clone(), slot);
        groups.insert(group.clone(), handle.clone());
        handle
    }

    fn wake_groups(&self) {
        for handle in self.groups.lock().values() {
            handle.send(Command::Wake);
        }
    }

    async fn link(&self, host: &name::Host) -> Result<link::Link, link::Error> {
        let address = self.core.lock().members.address(host);
        let address = address.ok_or(link::Error::Failed(std::io::ErrorKind::NotFound))?;
        self.pool.get_or_connect(host, address).await
    }

    /// The process with an incarnation, if it is this one or a live peer.
    fn process(&self, incarnation: Incarnation) -> Option<Process> {
        if incarnation == self.identity.incarnation {
            return Some(self.me());
        }
        let core = self.core.lock();
        let mut alive = core.members.alive(self.now());
        let peer = alive.find(|peer| peer.identity.incarnation == incarnation)?;
        Some(peer.identity.process())
    }

    fn queue_event(&self, group: &Group, event: Event) {
        let mut outbox = self.outbox.lock();
        let batch = outbox
            .entry(group.clone())
            .or_insert_with(|| Batch { group: group.clone(), events: Vec::new() });
        batch.events.push(event);
        drop(outbox);
        self.flush.notify_one();
    }
}
