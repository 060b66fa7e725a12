//! The task that sends and takes beats.

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
    beat::{Beat, MAX_BYTES},
    member::{PERIOD, Table},
};

/// Seeds that are not heard of get a beat each so many periods.
const SEED_EVERY: u32 = 3;
/// The members named in one beat.
const NAMED: usize = 4;

/// What a daemon tells and takes.
pub trait Local: Send + Sync + 'static {
    /// The beat to send now. What it tells of members is filled in by the node.
    fn beat(&self) -> Beat;

    /// Takes a peer's beat, after the table did.
    fn heard(&self, from: IpAddr, beat: &Beat, now: Instant);

    /// Called once in each period, after the beats were sent.
    fn tick(&self, now: Instant);
}

/// The part of a daemon that speaks with its peers.
pub struct Node {
    /// The socket, bound to the daemon's address. Ports are the same on all hosts.
    pub socket: UdpSocket,
    /// The daemon's zone.
    pub zone: Zone,
    /// Addresses of some members, to begin with.
    pub seeds: Vec<IpAddr>,
    /// The members.
    pub table: Arc<Mutex<Table>>,
    /// What to tell, and who takes what is heard.
    pub local: Arc<dyn Local>,
}

impl Node {
    /// Runs until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that has no address.
    pub async fn run(self, stop: CancellationToken) -> io::Result<()> {
        let own = self.socket.local_addr()?;
        let mut timer = tokio::time::interval(PERIOD);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_BYTES * 2];
        let mut period = 0_u32;
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = timer.tick() => {
                    period = period.wrapping_add(1);
                    self.send(own, period);
                    self.local.tick(Instant::now());
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.take(&buffer[..length], from, own),
                    Err(error) => tracing::debug!(event = "datagram_lost", %error),
                },
            }
        }
    }

    fn take(&self, bytes: &[u8], from: SocketAddr, own: SocketAddr) {
        let beat = match Beat::decode(bytes) {
            Ok(beat) => beat,
            Err(error) => {
                tracing::warn!(event = "datagram_refused", %from, bytes = bytes.len(), %error);
                return;
            }
        };
        if from.ip() == own.ip() {
            return;
        }
        let now = Instant::now();
        let change = self.table.lock().hear(from.ip(), beat.clone(), now);
        if let Some(change) = change {
            tracing::info!(
                event = "member", %change, host = %beat.host, zone = %beat.zone, phase = %beat.phase,
                incarnation = beat.incarnation, applied = %beat.applied
            );
        }
        // Members that only a peer hears get a beat, and answer with their own.
        let heard = beat.members.iter().filter(|named| named.is_heard());
        let others = heard.map(|named| named.address).filter(|&ip| ip != own.ip());
        let unknown: Vec<IpAddr> = others.filter(|&ip| !self.table.lock().hears(ip, now)).collect();
        if !unknown.is_empty() {
            self.send_to(&unknown, own);
        }
        self.local.heard(from.ip(), &beat, now);
    }

    fn send(&self, own: SocketAddr, period: u32) {
        let now = Instant::now();
        let mut targets = {
            let mut table = self.table.lock();
            table.expire(now);
            let mut targets = table.due(&self.zone, now);
            if period.is_multiple_of(SEED_EVERY) {
                let seeds = self.seeds.iter().copied().filter(|&ip| ip != own.ip());
                targets.extend(seeds.filter(|&ip| !table.hears(ip, now)));
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
        let mut beat = self.local.beat();
        let now = Instant::now();
        {
            let table = self.table.lock();
            beat.settled = table.is_settled(now);
            beat.members = table.named(now);
        }
        beat.members.shuffle(&mut rand::rng());
        beat.members.truncate(NAMED);
        let bytes = match beat.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(event = "beat_not_sent", %error);
                return;
            }
        };
        for &target in targets {
            // A full socket buffer loses this beat like the network would.
            if let Err(error) = self.socket.try_send_to(&bytes, SocketAddr::new(target, own.port()))
            {
                tracing::debug!(event = "beat_lost", %target, %error);
            }
        }
    }
}
