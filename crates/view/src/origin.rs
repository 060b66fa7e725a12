//! Which build began a stream, so that any daemon can continue the stream there.
//!
//! The daemon that passes on the first event of a stream records the build at a few peers, chosen by
//! rendezvous hashing of the stream's id. A daemon whose caller takes up a stream that it does not
//! know asks the peers that may have been chosen. An entry never changes, so that an old one is as
//! good as a new one, and a lost datagram costs one copy.

mod registry;

use std::{
    cmp::Reverse,
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use hyssop_document::{
    build::Build,
    collections::{Map, Set},
    name::Zone,
};
use hyssop_policy::local::affinity;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

pub use registry::{Registry, StreamId};

use crate::{
    heartbeat::{MAX_DATAGRAM_BYTES, Phase, name_hash},
    member::Table,
};

/// The number of peers at which a build is recorded: one in the own availability zone, the others
/// in other zones as far as there are any.
const COPIES: usize = 3;
/// The number of peers that are asked in each zone. Daemons with different views of the members
/// rank them alike but for a few.
const QUERIED_PER_ZONE: usize = 3;
/// The time after which peers that have not replied are asked again, as datagrams get lost.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// The time within which peers must reply.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// A datagram between daemons. Daemons decode it by position: the order of variants and fields must
/// not change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A stream began.
    Began {
        /// The stream.
        stream: StreamId,
        /// The build of the backend server that began it.
        build: Build,
        /// How long the stream may be taken up, in ms.
        ttl_ms: u32,
    },
    /// Asks which build began a stream.
    Query {
        /// Identifies the query among those of its sender.
        query: u32,
        /// The stream.
        stream: StreamId,
    },
    /// Answers a query.
    Reply {
        /// The id of the query.
        query: u32,
        /// The stream.
        stream: StreamId,
        /// The build and how long the stream may be taken up, in ms, if the sender knows the stream.
        origin: Option<(Build, u32)>,
    },
}

/// A query that waits for replies.
#[derive(Debug)]
struct Query {
    stream: StreamId,
    replies: Mutex<Replies>,
    /// Notified when a peer knows the stream, or all that were asked have replied.
    done: Notify,
}

#[derive(Debug, Default)]
struct Replies {
    /// The peers that were asked and have not replied.
    pending: Set<IpAddr>,
    /// The peers that don't know the stream.
    negative: Set<IpAddr>,
}

/// One daemon's part of the knowledge of all daemons about the builds of streams.
#[derive(Debug)]
pub struct Origins {
    zone: Zone,
    members: Arc<Mutex<Table>>,
    registry: Mutex<Registry>,
    queries: Mutex<Map<u32, Arc<Query>>>,
    next_query: AtomicU32,
    /// Present once [`Self::run`] has been called.
    socket: OnceLock<UdpSocket>,
}

impl Origins {
    /// The part of a daemon in `zone`. Nothing is sent to peers until [`Self::run`] is called.
    pub fn new(zone: Zone, members: Arc<Mutex<Table>>) -> Self {
        Self {
            zone,
            members,
            registry: Mutex::default(),
            queries: Mutex::default(),
            next_query: AtomicU32::new(0),
            socket: OnceLock::new(),
        }
    }

    /// Records that `build` began a stream that may be taken up for `ttl`.
    pub fn record(&self, stream: StreamId, build: &Build, ttl: Duration, now: Instant) {
        self.registry.lock().record(stream, build.clone(), now + ttl, now);
        let ranked = ranked(&self.members.lock(), &self.zone, stream, now);
        let targets = ranked.iter().filter(|ranked| ranked.phase != Phase::Leaving).take(COPIES);
        let targets = targets.map(|ranked| ranked.address);
        let ttl_ms = ttl.as_millis() as u32;
        self.send(&Message::Began { stream, build: build.clone(), ttl_ms }, targets);
    }

    /// The build that began a stream, by what this daemon itself knows.
    pub fn find_own(&self, stream: StreamId, now: Instant) -> Option<Build> {
        self.registry.lock().find(stream, now).map(|(build, _)| build)
    }

    /// The build that began a stream, by what this daemon and its peers know.
    pub async fn find(&self, stream: StreamId) -> Option<Build> {
        let now = Instant::now();
        if let Some(build) = self.find_own(stream, now) {
            return Some(build);
        }
        let replies = Mutex::default();
        let query = self.register(Query { stream, replies, done: Notify::new() });
        let end = now + QUERY_TIMEOUT;
        loop {
            let (targets, converged) = self.peers_to_ask(&query.query, Instant::now());
            if targets.is_empty() && converged || Instant::now() >= end {
                return None;
            }
            self.send(&Message::Query { query: query.id, stream }, targets);
            // Without a notification the peers that have not replied are asked again, and those
            // that were discovered meanwhile for the first time.
            drop(timeout(QUERY_INTERVAL, query.query.done.notified()).await);
            if let Some(build) = self.find_own(stream, Instant::now()) {
                return Some(build);
            }
        }
    }

    /// Receives the datagrams of peers until `stop` is cancelled. All hosts use the port of
    /// `socket`.
    ///
    /// # Errors
    ///
    /// Fails if it was called before.
    pub async fn run(&self, socket: UdpSocket, stop: CancellationToken) -> io::Result<()> {
        if self.socket.set(socket).is_err() {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let socket = self.socket.get().expect("the socket was set above");
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.on_datagram(&buffer[..length], from),
                    Err(error) => tracing::debug!(event = "datagram_lost", %error),
                },
            }
        }
    }

    /// The peers that may know a stream and have not replied, and whether these are all members.
    fn peers_to_ask(&self, query: &Query, now: Instant) -> (Vec<IpAddr>, bool) {
        let members = self.members.lock();
        let ranked = ranked(&members, &self.zone, query.stream, now);
        let asked = ranked.into_iter().filter(|ranked| ranked.rank < QUERIED_PER_ZONE);
        let mut replies = query.replies.lock();
        let asked = asked.map(|ranked| ranked.address);
        let targets: Vec<IpAddr> = asked.filter(|ip| !replies.negative.contains(ip)).collect();
        replies.pending = targets.iter().copied().collect();
        (targets, members.has_converged(now))
    }

    fn register(&self, query: Query) -> RegisteredQuery<'_> {
        let id = self.next_query.fetch_add(1, Ordering::Relaxed);
        let query = Arc::new(query);
        self.queries.lock().insert(id, Arc::clone(&query));
        RegisteredQuery { origins: self, id, query }
    }

    fn on_datagram(&self, bytes: &[u8], from: SocketAddr) {
        let now = Instant::now();
        match postcard::from_bytes(bytes) {
            Ok(Message::Began { stream, build, ttl_ms }) => {
                let expires_at = now + Duration::from_millis(u64::from(ttl_ms));
                self.registry.lock().record(stream, build, expires_at, now);
            }
            Ok(Message::Query { query, stream }) => {
                let origin = self.registry.lock().find(stream, now);
                let left_ms = |until: Instant| until.duration_since(now).as_millis() as u32;
                let origin = origin.map(|(build, until)| (build, left_ms(until)));
                self.send(&Message::Reply { query, stream, origin }, [from.ip()]);
            }
            Ok(Message::Reply { query, stream, origin }) => {
                self.on_reply(query, stream, origin, from.ip(), now);
            }
            Err(error) => {
                tracing::warn!(event = "datagram_refused", %from, bytes = bytes.len(), %error);
            }
        }
    }

    fn on_reply(
        &self,
        id: u32,
        stream: StreamId,
        origin: Option<(Build, u32)>,
        from: IpAddr,
        now: Instant,
    ) {
        let Some(query) = self.queries.lock().get(&id).cloned() else { return };
        if query.stream != stream {
            return;
        }
        if let Some((build, ttl_ms)) = origin {
            let expires_at = now + Duration::from_millis(u64::from(ttl_ms));
            self.registry.lock().record(stream, build, expires_at, now);
            query.done.notify_one();
            return;
        }
        let mut replies = query.replies.lock();
        replies.pending.remove(&from);
        replies.negative.insert(from);
        if replies.pending.is_empty() {
            query.done.notify_one();
        }
    }

    fn send(&self, message: &Message, targets: impl IntoIterator<Item = IpAddr>) {
        let Some(socket) = self.socket.get() else { return };
        let (bytes, port) = match (postcard::to_allocvec(message), socket.local_addr()) {
            (Ok(bytes), Ok(own)) => (bytes, own.port()),
            (Err(error), _) => return tracing::error!(event = "datagram_not_sent", %error),
            (_, Err(error)) => return tracing::error!(event = "datagram_not_sent", %error),
        };
        for target in targets {
            // A datagram that does not fit into the socket buffer is lost, like one lost in the
            // network.
            if let Err(error) = socket.try_send_to(&bytes, SocketAddr::new(target, port)) {
                tracing::debug!(event = "datagram_lost", %target, %error);
            }
        }
    }
}

/// Removes its query when it is dropped.
struct RegisteredQuery<'a> {
    origins: &'a Origins,
    id: u32,
    query: Arc<Query>,
}

impl Drop for RegisteredQuery<'_> {
    fn drop(&mut self) {
        self.origins.queries.lock().remove(&self.id);
    }
}

/// A member that may get a copy of a stream's build.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Ranked {
    /// The member's rank in its zone, from 0.
    rank: usize,
    address: IpAddr,
    phase: Phase,
}

/// The members that are alive, in the order in which a daemon in `zone` records a stream's build at
/// them: the first of each zone, the own zone before the others, then the second of each.
fn ranked(members: &Table, zone: &Zone, stream: StreamId, now: Instant) -> Vec<Ranked> {
    let mut by_zone: Map<&Zone, Vec<(u64, IpAddr, Phase)>> = Map::default();
    for (&address, member) in members.alive(now) {
        let heartbeat = &member.heartbeat;
        let weight = affinity::weight(name_hash(heartbeat.host.as_str()), stream.0);
        by_zone.entry(&heartbeat.zone).or_default().push((weight, address, heartbeat.phase));
    }
    let mut ranked = Vec::new();
    for (member_zone, mut members) in by_zone {
        members.sort_unstable_by_key(|&(weight, ..)| Reverse(weight));
        let zone_weight = affinity::weight(name_hash(member_zone.as_str()), stream.0);
        let zone_order = (member_zone != zone, Reverse(zone_weight));
        let members = members.into_iter().enumerate();
        ranked.extend(members.map(|(rank, (_, address, phase))| {
            ((rank, zone_order), Ranked { rank, address, phase })
        }));
    }
    ranked.sort_unstable_by_key(|(order, _)| *order);
    ranked.into_iter().map(|(_, ranked)| ranked).collect()
}
