//! The task that sends heartbeats and receives the heartbeats of peers.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Instant,
};

use hyssop_document::name::Zone;
use parking_lot::Mutex;
use rand::seq::SliceRandom as _;
use tokio::{net::UdpSocket, time::MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::{
    heartbeat::{Datagram, Extension, Heartbeat, LostPools, MAX_DATAGRAM_BYTES, name_hash},
    member::{HEARTBEAT_INTERVAL, Table},
    watch::WatcherEntry,
};

/// Seeds that are not alive get a heartbeat once in this many heartbeat intervals.
const SEED_INTERVALS: u32 = 3;
/// The maximum number of members listed in one heartbeat.
const MAX_MEMBER_ENTRIES: usize = 4;

/// The state that a daemon publishes in its heartbeats and updates from the heartbeats of peers.
pub trait LocalState: Send + Sync + 'static {
    /// The heartbeat to send now. [`Gossip`] fills in `members` and `converged`.
    fn heartbeat(&self) -> Heartbeat;

    /// Handles a peer's heartbeat that the table of members has recorded.
    fn on_heartbeat(&self, from: IpAddr, heartbeat: &Heartbeat, now: Instant);

    /// The digest of the records at the position that the heartbeat states, if others are to compare
    /// theirs with it.
    fn digest(&self) -> Option<u64> {
        None
    }

    /// Handles the digest that a peer sent with a heartbeat.
    fn on_digest(&self, _heartbeat: &Heartbeat, _digest: u64, _now: Instant) {}

    /// The pools of which this daemon reaches no backend server.
    fn lost_pools(&self) -> LostPools {
        LostPools::default()
    }

    /// Handles the pools that a peer has lost since its last heartbeat.
    fn on_lost_pools(&self, _from: IpAddr, _lost: &LostPools, _now: Instant) {}

    /// Called once in each interval, after the heartbeats were sent.
    fn tick(&self, now: Instant);
}

/// Sends heartbeats to the members in turn, and records those that arrive.
pub struct Gossip {
    /// The socket, bound to the daemon's address. All hosts use the same port.
    pub socket: UdpSocket,
    /// The daemon's availability zone.
    pub zone: Zone,
    /// Addresses of some hosts, from which the daemon discovers the others.
    pub seeds: Vec<IpAddr>,
    /// The members seen so far.
    pub table: Arc<Mutex<Table>>,
    /// Provides the content of heartbeats, and handles the heartbeats of peers.
    pub local: Arc<dyn LocalState>,
}

impl Gossip {
    /// Runs until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that has no address.
    pub async fn run(self, stop: CancellationToken) -> io::Result<()> {
        let own = self.socket.local_addr()?;
        let own_hash = name_hash(self.local.heartbeat().host.as_str());
        let mut timer = tokio::time::interval(HEARTBEAT_INTERVAL);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES * 2];
        let mut interval = 0_u32;
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = timer.tick() => {
                    interval = interval.wrapping_add(1);
                    self.send_due(own, interval);
                    self.local.tick(Instant::now());
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.on_datagram(&buffer[..length], from, own, own_hash),
                    Err(error) => tracing::debug!(event = "datagram_lost", %error),
                },
            }
        }
    }

    fn on_datagram(&self, bytes: &[u8], from: SocketAddr, own: SocketAddr, own_hash: u32) {
        let Datagram { heartbeat, extension, lost_pools } = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                tracing::warn!(event = "datagram_refused", %from, bytes = bytes.len(), %error);
                return;
            }
        };
        if from.ip() == own.ip() {
            return;
        }
        let now = Instant::now();
        // The table has the other daemons only.
        let Extension { mut watchers, digest } = extension;
        watchers.retain(|entry| entry.host_hash != own_hash);
        let (change, has_lost_more) = {
            let mut table = self.table.lock();
            let change = table.record_heartbeat(from.ip(), heartbeat.clone(), now);
            let has_lost_more =
                table.record_lost_pools(from.ip(), heartbeat.incarnation, lost_pools.clone());
            table.record_watchers(&watchers, now);
            (change, has_lost_more)
        };
        if has_lost_more {
            self.local.on_lost_pools(from.ip(), &lost_pools, now);
        }
        if let Some(change) = change {
            tracing::info!(
                event = "member", %change, host = %heartbeat.host, zone = %heartbeat.zone,
                phase = %heartbeat.phase, incarnation = heartbeat.incarnation,
                applied = %heartbeat.applied
            );
        }
        // Discovers members that only the peer has recorded: once they get a heartbeat they send
        // their own.
        let seen = heartbeat.members.iter().filter(|entry| entry.is_alive());
        let others = seen.map(|entry| entry.address).filter(|&ip| ip != own.ip());
        let unknown: Vec<IpAddr> =
            others.filter(|&ip| !self.table.lock().is_alive(ip, now)).collect();
        if !unknown.is_empty() {
            self.send_to(&unknown, own);
        }
        self.local.on_heartbeat(from.ip(), &heartbeat, now);
        if let Some(digest) = digest {
            self.local.on_digest(&heartbeat, digest, now);
        }
    }

    fn send_due(&self, own: SocketAddr, interval: u32) {
        let now = Instant::now();
        let mut targets = {
            let mut table = self.table.lock();
            table.expire(now);
            let mut targets = table.next_targets(&self.zone, now);
            if interval.is_multiple_of(SEED_INTERVALS) {
                let seeds = self.seeds.iter().copied().filter(|&ip| ip != own.ip());
                targets.extend(seeds.filter(|&ip| !table.is_alive(ip, now)));
            }
            targets
        };
        targets.sort_unstable();
        targets.dedup();
        self.send_to(&targets, own);
    }

    fn send_to(&self, targets: &[IpAddr], own: SocketAddr) {
        if targets.is_empty() {
            return;
        }
        let mut heartbeat = self.local.heartbeat();
        let now = Instant::now();
        let watchers = {
            let table = self.table.lock();
            heartbeat.converged = table.has_converged(now);
            heartbeat.members = table.member_entries(now);
            watcher_entries(&table, &heartbeat, now)
        };
        heartbeat.members.shuffle(&mut rand::rng());
        heartbeat.members.truncate(MAX_MEMBER_ENTRIES);
        let extension = Extension { watchers, digest: self.local.digest() };
        let lost_pools = self.local.lost_pools();
        let bytes = match (Datagram { heartbeat, extension, lost_pools }).encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(event = "beat_not_sent", %error);
                return;
            }
        };
        for &target in targets {
            // A heartbeat that does not fit into the socket buffer is lost, like one lost in the
            // network.
            if let Err(error) = self.socket.try_send_to(&bytes, SocketAddr::new(target, own.port()))
            {
                tracing::debug!(event = "beat_lost", %target, %error);
            }
        }
    }
}

/// The signs of life of watchers that a daemon sends with its heartbeat: its own, if it watches the
/// source, and those that it knows.
pub fn watcher_entries(table: &Table, own: &Heartbeat, now: Instant) -> Vec<WatcherEntry> {
    let mut entries = table.watcher_entries(now);
    if own.watches_source {
        let uptime = table.uptime(now).as_millis() as u64;
        let host_hash = name_hash(own.host.as_str());
        entries.push(WatcherEntry { host_hash, beat: own.started_ms() + uptime });
    }
    entries
}
