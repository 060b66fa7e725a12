//! Fetches values from peers that have a higher revision.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::future;
use hyssop_document::{collections::Set, name};
use tokio::time;

use super::Shared;
use crate::{
    current::{Outcome, Source},
    link::Link,
    member::Peer,
    wire::Stamp,
};

/// The time limit for fetching a value.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// The interval between two attempts to reach a first peer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Fetches the values of every known address once. The node is not ready before.
pub(super) async fn query_peers(shared: Arc<Shared>) {
    let mut queried = Set::default();
    loop {
        let addresses = known_addresses(&shared);
        let unqueried: Vec<_> =
            addresses.iter().filter(|a| !queried.contains(*a)).copied().collect();
        if unqueried.is_empty() && !addresses.is_empty() {
            shared.peers_queried.store(true, Ordering::Release);
        }
        queried.extend(unqueried.iter().copied());
        future::join_all(unqueried.into_iter().map(|address| query_peer(&shared, address))).await;
        if !shared.peers_queried.load(Ordering::Acquire) || !queried.is_empty() {
            time::sleep(RETRY_INTERVAL).await;
        }
        retry_seeds(&shared, &mut queried);
    }
}

/// The addresses of all listed hosts and seeds. The own address is included: the queries are
/// complete also if this daemon alone is listed.
fn known_addresses(shared: &Shared) -> Vec<SocketAddr> {
    let core = shared.core.lock();
    let listed = core.members.list().hosts.iter().map(|entry| entry.peer_address);
    let mut addresses: Vec<_> = listed.chain(core.members.seeds().iter().copied()).collect();
    addresses.sort();
    addresses.dedup();
    addresses
}

/// Queries all addresses again while no host is listed and no peer is alive.
fn retry_seeds(shared: &Shared, queried: &mut Set<SocketAddr>) {
    let core = shared.core.lock();
    if core.members.list().hosts.is_empty() && core.members.alive(shared.now()).next().is_none() {
        queried.clear();
    }
}

async fn query_peer(shared: &Arc<Shared>, address: SocketAddr) {
    if address == shared.identity.peer_address {
        return;
    }
    let Ok(link) = shared.pool.connect(address).await else { return };
    if link.identity.host == shared.identity.host {
        return;
    }
    shared.core.lock().members.introduce(&link.identity, shared.now());
    let context = tarpc::context::current;
    let source = Source::Peer(link.identity.host.as_str().into());
    if let Ok(list) = link.client.list(context()).await
        && !list.hosts.is_empty()
    {
        // `set_list` logs why a list is rejected.
        let _ = shared.set_list(list);
    }
    if let Ok(Some(bytes)) = link.client.document(context()).await {
        shared.offer_document(bytes, source.clone());
    }
    if let Ok(orders) = link.client.orders(context()).await {
        shared.offer_orders(orders, &source);
    }
    if let Ok(notices) = link.client.notices(context()).await {
        shared.apply_notices(notices);
    }
}

/// Fetches values whenever a heartbeat advertises a higher revision or different notices.
pub(super) async fn fetch_newer(shared: Arc<Shared>) {
    let mut rejected = Set::default();
    loop {
        shared.sync_trigger.notified().await;
        tokio::join!(
            fetch_document(&shared, &mut rejected),
            fetch_orders(&shared),
            fetch_list(&shared),
            fetch_notices(&shared)
        );
    }
}

/// The live peer with the highest stamp, if it is above `own`.
fn newest_peer(
    shared: &Shared,
    own: Stamp,
    stamp: impl Fn(&Peer) -> Stamp,
) -> Option<(name::Host, Stamp)> {
    let core = shared.core.lock();
    let best = core.members.alive(shared.now()).max_by_key(|peer| stamp(peer))?;
    let highest = stamp(best);
    (highest > own).then(|| (best.identity.host.clone(), highest))
}

async fn fetch<T>(
    shared: &Shared,
    host: &name::Host,
    call: impl AsyncFnOnce(Link) -> Option<T>,
) -> Option<T> {
    let fetch = async {
        let link = shared.link(host).await.ok()?;
        call(link).await
    };
    time::timeout(FETCH_TIMEOUT, fetch).await.ok().flatten()
}

async fn fetch_document(shared: &Arc<Shared>, rejected: &mut Set<[u8; 32]>) {
    let own = shared.store.load().document_stamp();
    let Some((host, stamp)) = newest_peer(shared, own, |peer| peer.document) else { return };
    if rejected.contains(&stamp.digest.0) {
        return;
    }
    let call = async |link: Link| link.client.document(tarpc::context::current()).await.ok()?;
    let Some(bytes) = fetch(shared, &host, call).await else { return };
    let outcome = shared.offer_document(bytes, Source::Peer(host.as_str().into()));
    if matches!(outcome, Outcome::Invalid(_)) {
        rejected.insert(stamp.digest.0);
    }
}

async fn fetch_orders(shared: &Arc<Shared>) {
    let own = shared.store.load().orders_stamp;
    let Some((host, _)) = newest_peer(shared, own, |peer| peer.orders) else { return };
    let call = async |link: Link| link.client.orders(tarpc::context::current()).await.ok();
    if let Some(state) = fetch(shared, &host, call).await {
        shared.offer_orders(state, &Source::Peer(host.as_str().into()));
    }
}

async fn fetch_list(shared: &Arc<Shared>) {
    let own = shared.core.lock().members.list_stamp();
    let Some((host, _)) = newest_peer(shared, own, |peer| peer.list) else { return };
    let call = async |link: Link| link.client.list(tarpc::context::current()).await.ok();
    if let Some(list) = fetch(shared, &host, call).await {
        // `set_list` logs why a list is rejected.
        let _ = shared.set_list(list);
    }
}

async fn fetch_notices(shared: &Arc<Shared>) {
    let own = shared.notices.lock().digest(shared.now());
    let different: Vec<_> = {
        let core = shared.core.lock();
        let alive = core.members.alive(shared.now());
        alive.filter(|peer| peer.notices != own).map(|peer| peer.identity.host.clone()).collect()
    };
    for host in different {
        let call = async |link: Link| link.client.notices(tarpc::context::current()).await.ok();
        if let Some(notices) = fetch(shared, &host, call).await {
            shared.apply_notices(notices);
        }
    }
}
