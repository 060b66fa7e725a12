//! Heartbeats: sent at intervals and when something changed, and taken in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::Shared;
use crate::{
    identity::Process,
    wire::{self, Advertisement, Heartbeat, MAX_DATAGRAM_BYTES},
};

/// The shortest time between two rounds of heartbeats.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Sends heartbeats until the node ends.
pub(super) async fn send(shared: Arc<Shared>) {
    let mut ticks = shared.timer.subscribe(shared.timing.heartbeat_interval);
    let mut pauses = shared.timer.pauses();
    loop {
        tokio::select! {
            tick = ticks.next() => if tick.is_none() { return },
            () = shared.beat.notified() => {}
        }
        note_pauses(&shared, &mut pauses);
        round(&shared);
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

/// Notes that the process itself was stopped.
fn note_pauses(shared: &Shared, seen: &mut u64) {
    let pauses = shared.timer.pauses();
    if pauses != *seen {
        *seen = pauses;
        shared.core.lock().resumed(pauses, shared.now());
    }
}

/// Sends one round of heartbeats to every peer.
fn round(shared: &Shared) {
    let stamps = shared.stamps();
    // Read before the first heartbeat is sent: votes are counted from this time.
    let now = shared.now();
    let mut core = shared.core.lock();
    let sequence = core.begin_round(now);
    let recipients: Vec<(SocketAddr, Option<Process>)> = core
        .members
        .recipients(now)
        .into_iter()
        .map(|(address, peer)| (address, peer.map(|peer| peer.identity.process())))
        .collect();
    let heartbeats: Vec<(SocketAddr, Heartbeat)> = recipients
        .into_iter()
        .map(|(address, to)| (address, core.heartbeat(sequence, to.as_ref(), &stamps, now)))
        .collect();
    drop(core);
    for (address, heartbeat) in heartbeats {
        match wire::encode(&heartbeat) {
            // A datagram that is lost here is made up for by the next one.
            Ok(bytes) => {
                if let Ok(sent) = shared.socket.try_send_to(&bytes, address) {
                    shared.meter.datagram_sent(sent);
                }
            }
            Err(error) => log::error!("heartbeat not sent to={address} error={error}"),
        }
    }
    shared.publish();
    shared.wake_groups();
}

/// Takes heartbeats in until the node ends.
pub(super) async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => take(&shared, &buffer[..length], from),
            // A port that was unreachable for an earlier datagram is reported here.
            Err(error) => log::debug!("receive failed error={error}"),
        }
    }
}

fn take(shared: &Shared, bytes: &[u8], from: SocketAddr) {
    shared.meter.datagram_received(bytes.len());
    let now = shared.now();
    if !shared.core.lock().members.accepts_address(from.ip()) {
        shared.meter.datagram_dropped();
        log::debug!("datagram dropped from={from} reason=unknown_address");
        return;
    }
    let heartbeat = match wire::decode(bytes) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            shared.meter.datagram_dropped();
            log::debug!("datagram dropped from={from} reason={error:?}");
            return;
        }
    };
    let effect = shared.core.lock().receive(&heartbeat, now);
    if !effect.accepted {
        return;
    }
    if let Some(former) = effect.replaced {
        log::info!("process replaced former={former} incarnation={}", heartbeat.incarnation);
        shared.tell_groups_of_end(&former);
    }
    match &heartbeat.advertisement {
        Some(news) => {
            shared.publish();
            compare(shared, news);
        }
        None => shared.publish_standings(),
    }
    if effect.votes_changed {
        shared.beat.notify_one();
    }
}

/// Has values fetched that a peer has and this daemon lacks.
fn compare(shared: &Shared, news: &Advertisement) {
    let stamps = shared.stamps();
    let list = shared.core.lock().members.list_stamp();
    let differs = news.document > stamps.document
        || news.orders > stamps.orders
        || news.list > list
        || news.notices != stamps.notices;
    if differs {
        shared.spread.notify_one();
    }
}
