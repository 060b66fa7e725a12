//! One daemon among its peers.

mod beat;
mod builder;
mod direct;
mod permit;
mod report;
mod serve;
mod spread;
mod watch;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use compact_str::CompactString;
use futures::future;
use hyssop_document::{
    collections::Map,
    group::{self, Group},
    name,
    number::Incarnation,
    order,
};
use hyssop_timer::Service;
use parking_lot::Mutex;
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch as channel},
    task::AbortHandle,
    time,
};

pub use builder::Builder;

pub use crate::core::Stale;

use crate::{
    core::{Core, Stamps, Standing},
    current::{Current, Outcome, Source, Store},
    group::{Command, Handle, Loads},
    held,
    hosts::List,
    identity::{Identity, Process},
    inquiry::{Inquiry, Replies},
    link,
    message::{Batch, Event},
    notice::{self, Board, Notice},
    rank::Key,
    status::{self, Fleet, Status},
    timing::Timing,
    traffic::{Meter, Traffic},
    view::{Standings, View},
};

/// The longest wait for a peer's answer when its state is gathered.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1000);

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
    board: Mutex<Board>,
    held: Mutex<held::Table>,
    outbox: Mutex<Map<Group, Batch>>,
    /// The groups of which something may be lost, with the number of reports to send for it.
    doubts: Mutex<Map<Group, u32>>,
    view: ArcSwap<View>,
    standings: ArcSwap<Standings>,
    groups: Mutex<Map<Group, Handle>>,
    slots: AtomicU64,
    pool: link::Pool,
    meter: Arc<Meter>,
    pub(crate) loads: Arc<dyn Loads>,
    inquiry: Arc<dyn Inquiry>,
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

    /// Offers a published document.
    pub fn offer_document(&self, bytes: Bytes, source: Source) -> Outcome {
        self.shared.offer_document(bytes, source)
    }

    /// Offers published service orders.
    pub fn offer_orders(&self, state: order::State, source: &Source) -> Outcome {
        self.shared.offer_orders(state, source)
    }

    /// Offers a published list of hosts. Returns whether it is in use now.
    ///
    /// # Errors
    ///
    /// Says why the list cannot be used.
    pub fn set_listed(&self, list: List) -> Result<bool, CompactString> {
        self.shared.set_list(list)
    }

    /// Notes whether the platform was reached lately.
    pub fn set_platform(&self, reached: bool) {
        self.shared.core.lock().set_platform(reached);
    }

    /// Whether this daemon is one of the few that watch the platform.
    pub fn platform_duty(&self) -> bool {
        self.view().platform_duty
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
        keys.all(|key| core.tally.votes(key, core.electorate(), now) == 0)
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

    /// The state of this daemon.
    pub async fn own_status(&self) -> Status {
        self.shared.status().await
    }

    /// The states of all daemons that answer, and the hosts that do not.
    pub async fn status(&self) -> Fleet {
        self.shared.fleet().await
    }

    /// Asks all daemons, this one included, about a topic.
    pub async fn inquire(&self, topic: &str) -> Replies {
        self.shared.inquire(topic).await
    }

    /// Puts up a notice on every daemon.
    pub fn put_notice(&self, name: notice::Name, text: CompactString, expires: Duration) {
        let now = self.shared.timer.now();
        let notice = self.shared.board.lock().put(name, text, expires, now);
        self.shared.push_notice(&notice);
    }

    /// Takes a notice back on every daemon. Returns whether there was one.
    pub fn withdraw_notice(&self, name: &notice::Name) -> bool {
        let now = self.shared.timer.now();
        let notice = self.shared.board.lock().withdraw(name, now);
        let found = notice.is_some();
        notice.into_iter().for_each(|notice| self.shared.push_notice(&notice));
        found
    }

    /// Takes a notice back and waits for the peers to confirm it.
    ///
    /// Returns `None` if there was none, else the hosts that have confirmed and those that have not.
    pub async fn confirm_withdrawal(
        &self,
        name: &notice::Name,
    ) -> Option<(Vec<name::Host>, Vec<name::Host>)> {
        let notice = self.shared.board.lock().withdraw(name, self.shared.timer.now())?;
        self.shared.beat.notify_one();
        let call = |link: link::Link| {
            let notices = vec![notice.clone()];
            async move { link.client.offer_notices(tarpc::context::current(), notices).await }
        };
        let (confirmed, not_reached) = self.shared.call_all(call).await;
        let peers = confirmed.into_iter().map(|(host, ())| host);
        let mut in_force: Vec<_> =
            std::iter::once(self.shared.identity.host.clone()).chain(peers).collect();
        in_force.sort();
        Some((in_force, not_reached))
    }

    /// A notice, also one that was taken back, with the time that it has left.
    pub fn notice(&self, name: &notice::Name) -> Option<Notice> {
        self.shared.board.lock().get(name, self.shared.timer.now())
    }

    /// Whether a notice holds.
    pub fn has_notice(&self, name: &notice::Name) -> bool {
        self.shared.board.lock().holds(name, self.shared.timer.now())
    }

    /// All notices that hold.
    pub fn notices(&self) -> Vec<Notice> {
        let mut notices = self.shared.board.lock().all(self.shared.timer.now());
        notices.retain(|notice| notice.holds);
        notices
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
        let standings = Arc::new(core.standings(now));
        if let Some(pauses) = core.refreshed(now) {
            self.refreshed_pauses.store(pauses, Ordering::Release);
        }
        let old = self.standings.swap(Arc::clone(&standings));
        drop(core);
        let same = |(key, old): (&Key, &Standing)| {
            let new = standings.get(key);
            new.is_some_and(|new| new.scheduler == old.scheduler && new.epoch == old.epoch)
        };
        if old.len() != standings.len() || !old.iter().all(same) {
            self.moves.send_modify(|count| *count += 1);
        }
    }

    fn offer_document(&self, bytes: Bytes, source: Source) -> Outcome {
        let _offer = self.offers.lock();
        let outcome = self.store.offer_document(bytes, source);
        if outcome == Outcome::Adopted {
            let current = self.store.load();
            let groups = current.document.as_ref().map(|document| {
                let groups = group::all(document.catalog.document());
                groups.into_iter().map(|(group, _)| Key::group(&group)).collect()
            });
            self.core.lock().set_keys(groups.unwrap_or_default());
            self.changed();
        }
        outcome
    }

    fn offer_orders(&self, state: order::State, source: &Source) -> Outcome {
        let _offer = self.offers.lock();
        let outcome = self.store.offer_orders(state, source);
        if outcome == Outcome::Adopted {
            self.core.lock().set_orders(&self.store.load().orders);
            self.changed();
        }
        outcome
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
        self.beat.notify_one();
    }

    fn set_list(&self, list: List) -> Result<bool, CompactString> {
        list.check().inspect_err(|error| log::warn!("list of hosts rejected error={error:?}"))?;
        let count = list.hosts.len();
        let revision = list.revision;
        let taken = self.core.lock().set_list(list, self.now());
        if taken {
            log::info!("list of hosts adopted revision={revision} hosts={count}");
            self.publish();
            self.beat.notify_one();
        }
        Ok(taken)
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

    /// The peers to tell something to at once: those alive and those listed.
    fn audience(&self) -> Vec<name::Host> {
        let now = self.now();
        let core = self.core.lock();
        let listed = core.members.list().hosts.iter().map(|entry| &entry.host);
        let alive = core.members.alive(now).map(|peer| &peer.identity.host);
        let mut hosts: Vec<_> =
            listed.chain(alive).filter(|host| **host != self.identity.host).cloned().collect();
        hosts.sort();
        hosts.dedup();
        hosts
    }

    async fn link(&self, host: &name::Host) -> Result<link::Link, link::Error> {
        let address = self.core.lock().members.address(host);
        let address = address.ok_or(link::Error::Failed(std::io::ErrorKind::NotFound))?;
        self.pool.get(host, address).await
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

    fn all_notices(&self) -> Vec<Notice> {
        self.board.lock().all(self.now())
    }

    fn take_notices(&self, notices: Vec<Notice>) {
        let now = self.now();
        let mut board = self.board.lock();
        for notice in notices {
            let name = notice.name.clone();
            if board.take(notice, now) {
                log::info!("notice taken name={name}");
            }
        }
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

    fn push_notice(self: &Arc<Self>, notice: &Notice) {
        for host in self.audience() {
            let shared = Arc::clone(self);
            let notice = notice.clone();
            tokio::spawn(async move {
                if let Ok(link) = shared.link(&host).await {
                    let call = link.client.offer_notices(tarpc::context::current(), vec![notice]);
                    // A peer that misses it sees the difference in the next heartbeat.
                    let _ = call.await;
                }
            });
        }
        self.beat.notify_one();
    }

    async fn status(&self) -> Status {
        let now = self.now();
        let handles: Vec<_> = self.groups.lock().values().cloned().collect();
        let groups = future::join_all(handles.iter().map(Handle::status)).await;
        let view = self.view.load_full();
        let current = self.store.load();
        let standings = self.standings.load_full();
        let document = current.document.as_ref();
        let all = document.map(|document| group::all(document.catalog.document()));
        let schedulers = all.unwrap_or_default().into_iter().map(|(group, _)| {
            let standing = standings.get(&Key::group(&group)).filter(|s| now < s.until);
            let scheduler = standing.map(|standing| standing.scheduler.host.clone());
            status::Choice { group, scheduler }
        });
        Status {
            identity: self.identity.clone(),
            uptime_ms: now.saturating_duration_since(self.started).as_millis() as u64,
            ready: self.ready(),
            leaving: view.leaving,
            votes: view.votes,
            platform: self.core.lock().platform(),
            platform_duty: view.platform_duty,
            document: current.document_stamp(),
            document_source: document.map(|d| compact_str::format_compact!("{}", d.source)),
            orders: (*current.orders).clone(),
            list: view.list.stamp(),
            rejection: self.store.rejection(),
            conflict: self.store.conflict(),
            alive: view.alive.iter().map(|peer| peer.identity.host.clone()).collect(),
            listed: view.list.hosts.iter().map(|entry| entry.host.clone()).collect(),
            schedulers: schedulers.collect(),
            groups: groups.into_iter().flatten().collect(),
            running: self.held.lock().len() as u64,
            traffic: self.meter.read(),
        }
    }

    async fn fleet(&self) -> Fleet {
        let call =
            |link: link::Link| async move { link.client.status(tarpc::context::current()).await };
        let (answers, not_reached) = self.call_all(call).await;
        let mut reached: Vec<_> = answers.into_iter().map(|(_, status)| status).collect();
        reached.push(self.status().await);
        reached.sort_by(|a, b| a.identity.host.cmp(&b.identity.host));
        Fleet { reached, not_reached }
    }

    async fn inquire(&self, topic: &str) -> Replies {
        let call = |link: link::Link| {
            let topic = CompactString::new(topic);
            async move { link.client.inquire(tarpc::context::current(), topic).await }
        };
        let (mut answers, not_reached) = self.call_all(call).await;
        answers.push((self.identity.host.clone(), self.inquiry.answer(topic).await));
        answers.sort_by(|a, b| a.0.cmp(&b.0));
        Replies { answers, not_reached }
    }

    /// Calls all peers at once. Returns the answers, and the hosts that gave none in time.
    async fn call_all<T, E, F: Future<Output = Result<T, E>>>(
        &self,
        call: impl Fn(link::Link) -> F,
    ) -> (Vec<(name::Host, T)>, Vec<name::Host>) {
        let hosts = self.audience();
        let mut calls = Vec::with_capacity(hosts.len());
        for host in hosts.clone() {
            let call = &call;
            let answer = async move { call(self.link(&host).await.ok()?).await.ok() };
            calls.push(async { time::timeout(STATUS_TIMEOUT, answer).await.ok().flatten() });
        }
        let answers = future::join_all(calls).await;
        let mut reached = Vec::with_capacity(answers.len());
        let mut not_reached = Vec::new();
        for (host, answer) in hosts.into_iter().zip(answers) {
            match answer {
                Some(answer) => reached.push((host, answer)),
                None => not_reached.push(host),
            }
        }
        (reached, not_reached)
    }
}
