//! A daemon in its cell: state, tasks and public interface.

mod broadcast;
mod builder;
mod connections;
mod heartbeat;
mod notices;
mod orders;
mod permit;
mod report;
mod serve;
mod sync;
mod values;

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
use tokio_util::task::TaskTracker;

pub use builder::Builder;

pub use crate::lease::StalePermit;

use crate::{
    core::{Core, Stamps},
    current::{Current, Store},
    group::{Command, Handle, LoadSource},
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

/// The state shared by the tasks of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) identity: Identity,
    pub(crate) started_at: Instant,
    pub(crate) timer: Arc<Service>,
    pub(crate) timing: Timing,
    pub(crate) core: Mutex<Core>,
    pub(crate) store: Store,
    /// Serializes offers of values: each compares and replaces in two steps.
    offer_lock: Mutex<()>,
    notices: Mutex<notice::Table>,
    permits: Mutex<permits::Table>,
    outbox: Mutex<Map<Group, Batch>>,
    /// The calls that send batches of events.
    event_calls: TaskTracker,
    /// The groups for which a message may have been lost, with the number of reports left to send.
    pending_reports: Mutex<Map<Group, u32>>,
    view: ArcSwap<View>,
    leases: ArcSwap<Leases>,
    groups: Mutex<Map<Group, Handle>>,
    /// The slot of the next group task; see [`Handle::start`].
    next_slot: AtomicU64,
    pool: link::Pool,
    meter: Arc<Meter>,
    pub(crate) load_source: Arc<dyn LoadSource>,
    query_handler: Arc<dyn QueryHandler>,
    socket: UdpSocket,
    /// Triggers a round of heartbeats before the interval ends.
    heartbeat_trigger: Notify,
    /// Triggers fetching of newer values from peers.
    sync_trigger: Notify,
    /// Triggers sending of the events in the outbox.
    flush_trigger: Notify,
    /// Counts changes of the values in force.
    pub(crate) changes: channel::Sender<u64>,
    /// Counts changes of the schedulers and epochs of leases.
    lease_changes: channel::Sender<u64>,
    /// Whether every known address was queried once since the start.
    peers_queried: AtomicBool,
    /// The number of pauses of the process that the node has resynchronized after.
    resynced_pauses: AtomicU64,
    trust_refusals: bool,
}

/// A daemon in its cell. Dropping it aborts its tasks.
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
    /// Returns a builder. [`Builder::start`] binds `identity.peer_address` for UDP and TCP.
    pub fn builder(
        identity: Identity,
        timer: Arc<Service>,
        load_source: Arc<dyn LoadSource>,
    ) -> Builder {
        Builder::new(identity, timer, load_source)
    }

    /// The identity of this daemon, with the peer address that was bound.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// The latest view of the cell.
    pub fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// The values in force.
    pub fn current(&self) -> Arc<Current> {
        self.shared.store.load()
    }

    /// Returns a receiver that counts changes of the values in force.
    pub fn changes(&self) -> channel::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// Records whether the last read of the platform succeeded.
    pub fn set_platform_reached(&self, reached: bool) {
        self.shared.core.lock().set_platform_reached(reached);
    }

    /// Whether this daemon is one of those that watch the platform.
    pub fn watches_platform(&self) -> bool {
        self.view().watches_platform
    }

    /// Whether this daemon has queried its peers and has a document.
    pub fn ready(&self) -> bool {
        self.shared.ready()
    }

    /// Marks this daemon as leaving. Peers stop publishing its address and take over its groups.
    pub fn leave(&self) {
        self.shared.core.lock().leave();
        log::info!("leaving host={}", self.shared.identity.host);
        self.shared.publish();
        self.shared.heartbeat_trigger.notify_one();
    }

    /// Whether this daemon holds no votes for any group, so that the hand-over is complete.
    pub fn handed_over(&self) -> bool {
        let now = self.shared.timer.now();
        let groups: Vec<_> = self.shared.groups.lock().keys().cloned().collect();
        let core = self.shared.core.lock();
        let mut keys = groups.iter().map(Key::group);
        keys.all(|key| core.tally.vote_count(key, core.electorate(), now) == 0)
    }

    /// The traffic with peers since the start.
    pub fn traffic(&self) -> Traffic {
        self.shared.meter.read()
    }

    /// Finds a live daemon, possibly this one, by its incarnation.
    pub fn find_daemon(&self, incarnation: Incarnation) -> Option<Identity> {
        if incarnation == self.shared.identity.incarnation {
            return Some(self.shared.identity.clone());
        }
        let view = self.view();
        let mut alive = view.alive.iter().map(|peer| &peer.identity);
        alive.find(|identity| identity.incarnation == incarnation).cloned()
    }
}

impl Shared {
    fn own_process(&self) -> Process {
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
            notices: self.notices.lock().digest(self.now()),
        }
    }

    /// Updates the view and the leases that are read without the core's lock.
    fn publish(&self) {
        let mut core = self.core.lock();
        let view = View::of(&mut core, self.now());
        // Stored under the core's lock, so that an older view never replaces a newer one.
        self.view.store(Arc::new(view));
        drop(core);
        self.publish_leases();
    }

    /// Updates the leases that are read without the core's lock.
    fn publish_leases(&self) {
        let now = self.now();
        let core = self.core.lock();
        let leases = Arc::new(core.leases(now));
        if let Some(pauses) = core.resynced_pauses(now) {
            self.resynced_pauses.store(pauses, Ordering::Release);
        }
        let old = self.leases.swap(Arc::clone(&leases));
        drop(core);
        let unchanged = |(key, old): (&Key, &Lease)| {
            let new = leases.get(key);
            new.is_some_and(|new| new.scheduler == old.scheduler && new.epoch == old.epoch)
        };
        if old.len() != leases.len() || !old.iter().all(unchanged) {
            self.lease_changes.send_modify(|count| *count += 1);
        }
    }

    fn ready(&self) -> bool {
        self.peers_queried.load(Ordering::Acquire) && self.store.load().document.is_some()
    }

    /// Returns the handle of a group's scheduler task. Starts the task on first use.
    fn group(self: &Arc<Self>, group: &Group) -> Handle {
        let mut groups = self.groups.lock();
        if let Some(handle) = groups.get(group) {
            return handle.clone();
        }
        let slot = self.next_slot.fetch_add(1, Ordering::Relaxed);
        let handle = Handle::start(Arc::clone(self), group.clone(), slot);
        groups.insert(group.clone(), handle.clone());
        handle
    }

    fn poll_groups(&self) {
        for handle in self.groups.lock().values() {
            handle.send(Command::Poll);
        }
    }

    async fn link(&self, host: &name::Host) -> Result<link::Link, link::Error> {
        let address = self.core.lock().members.address(host);
        let address = address.ok_or(link::Error::Failed(std::io::ErrorKind::NotFound))?;
        self.pool.get_or_connect(host, address).await
    }

    /// Finds this process or the process of a live peer by its incarnation.
    fn live_process(&self, incarnation: Incarnation) -> Option<Process> {
        if incarnation == self.identity.incarnation {
            return Some(self.own_process());
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
        self.flush_trigger.notify_one();
    }
}
