//! Sends heartbeats, at intervals and on changes, and receives those of peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::Shared;
use crate::{
    identity::Process,
    wire::{self, Advertisement, Heartbeat, MAX_DATAGRAM_BYTES},
};

/// The minimum time between two rounds of heartbeats.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(5);

/// Sends heartbeats until the node ends.
pub(super) async fn send(shared: Arc<Shared>) {
    let mut ticks = shared.timer.subscribe(shared.timing.heartbeat_interval);
    let mut pauses = shared.timer.pauses();
    loop {
        tokio::select! {
            tick = ticks.next() => if tick.is_none() { return },
            () = shared.heartbeat_trigger.notified() => {}
        }
        record_pauses(&shared, &mut pauses);
        send_round(&shared);
        tokio::time::sleep(MIN_ROUND_INTERVAL).await;
    }
}

/// Notifies the core if the process was suspended since the last call.
fn record_pauses(shared: &Shared, recorded: &mut u64) {
    let pauses = shared.timer.pauses();
    if pauses != *recorded {
        *recorded = pauses;
        shared.core.lock().resumed(pauses, shared.now());
    }
}

/// Sends one heartbeat to every peer.
fn send_round(shared: &Shared) {
    let stamps = shared.stamps();
    // Must be read before the first heartbeat is sent: leases count from this time.
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
            // A datagram that cannot be sent is not retried; the next round replaces it.
            Ok(bytes) => {
                if let Ok(sent) = shared.socket.try_send_to(&bytes, address) {
                    shared.meter.datagram_sent(sent);
                }
            }
            Err(error) => log::error!("heartbeat not sent to={address} error={error}"),
        }
    }
    shared.publish();
    shared.poll_groups();
}

/// Receives heartbeats until the node ends.
pub(super) async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_datagram(&shared, &buffer[..length], from),
            // Includes the report that the port of an earlier datagram was unreachable.
            Err(error) => log::debug!("datagram not received error={error}"),
        }
    }
}

fn handle_datagram(shared: &Shared, bytes: &[u8], from: SocketAddr) {
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
        shared.notify_process_end(&former);
    }
    match &heartbeat.advertisement {
        Some(advertisement) => {
            shared.publish();
            sync_if_different(shared, advertisement);
        }
        None => shared.publish_leases(),
    }
    if effect.votes_changed {
        shared.heartbeat_trigger.notify_one();
    }
}

/// Triggers fetching if a peer advertises newer values or different notices.
fn sync_if_different(shared: &Shared, advertised: &Advertisement) {
    let stamps = shared.stamps();
    let list = shared.core.lock().members.list_stamp();
    let differs = advertised.document > stamps.document
        || advertised.orders > stamps.orders
        || advertised.list > list
        || advertised.notices != stamps.notices;
    if differs {
        shared.sync_trigger.notify_one();
    }
}
