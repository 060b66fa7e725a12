//! Values move from daemons that have a higher revision to those that have a lower one.

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

/// The longest wait for a value.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// The time between two tries to find a first peer.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Asks every known address once for what is in force there, so that the node may get ready.
pub(super) async fn ask_peers(shared: Arc<Shared>) {
    let mut asked = Set::default();
    loop {
        let addresses = addresses(&shared);
        let fresh: Vec<_> = addresses.iter().filter(|a| !asked.contains(*a)).copied().collect();
        if fresh.is_empty() && !addresses.is_empty() {
            shared.asked_peers.store(true, Ordering::Release);
        }
        asked.extend(fresh.iter().copied());
        future::join_all(fresh.into_iter().map(|address| ask(&shared, address))).await;
        if !shared.asked_peers.load(Ordering::Acquire) || !asked.is_empty() {
            time::sleep(ASK_AGAIN).await;
        }
        forget_silent_seeds(&shared, &mut asked);
    }
}

/// The addresses to ask. A list that has only this daemon leaves its own address, which counts.
fn addresses(shared: &Shared) -> Vec<SocketAddr> {
    let core = shared.core.lock();
    let listed = core.members.list().hosts.iter().map(|entry| entry.peer_address);
    let mut addresses: Vec<_> = listed.chain(core.members.seeds().iter().copied()).collect();
    addresses.sort();
    addresses.dedup();
    addresses
}

/// Has seeds asked again while no peer is known.
fn forget_silent_seeds(shared: &Shared, asked: &mut Set<SocketAddr>) {
    let core = shared.core.lock();
    if core.members.list().hosts.is_empty() && core.members.alive(shared.now()).next().is_none() {
        asked.clear();
    }
}

async fn ask(shared: &Arc<Shared>, address: SocketAddr) {
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
        // A list that cannot be used was logged.
        let _ = shared.set_list(list);
    }
    if let Ok(Some(bytes)) = link.client.document(context()).await {
        shared.offer_document(bytes, source.clone());
    }
    if let Ok(orders) = link.client.orders(context()).await {
        shared.offer_orders(orders, &source);
    }
    if let Ok(notices) = link.client.notices(context()).await {
        shared.take_notices(notices);
    }
}

/// Fetches values whenever a heartbeat showed a higher revision or other notices.
pub(super) async fn follow(shared: Arc<Shared>) {
    let mut rejected = Set::default();
    loop {
        shared.spread.notified().await;
        tokio::join!(
            document(&shared, &mut rejected),
            orders(&shared),
            list(&shared),
            notices(&shared)
        );
    }
}

/// The peer with the highest stamp above `own`.
fn ahead(
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

async fn document(shared: &Arc<Shared>, rejected: &mut Set<[u8; 32]>) {
    let own = shared.store.load().document_stamp();
    let Some((host, stamp)) = ahead(shared, own, |peer| peer.document) else { return };
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

async fn orders(shared: &Arc<Shared>) {
    let own = shared.store.load().orders_stamp;
    let Some((host, _)) = ahead(shared, own, |peer| peer.orders) else { return };
    let call = async |link: Link| link.client.orders(tarpc::context::current()).await.ok();
    if let Some(state) = fetch(shared, &host, call).await {
        shared.offer_orders(state, &Source::Peer(host.as_str().into()));
    }
}

async fn list(shared: &Arc<Shared>) {
    let own = shared.core.lock().members.list_stamp();
    let Some((host, _)) = ahead(shared, own, |peer| peer.list) else { return };
    let call = async |link: Link| link.client.list(tarpc::context::current()).await.ok();
    if let Some(list) = fetch(shared, &host, call).await {
        // A list that cannot be used was logged.
        let _ = shared.set_list(list);
    }
}

async fn notices(shared: &Arc<Shared>) {
    let own = shared.board.lock().digest(shared.now());
    let different: Vec<_> = {
        let core = shared.core.lock();
        let alive = core.members.alive(shared.now());
        alive.filter(|peer| peer.notices != own).map(|peer| peer.identity.host.clone()).collect()
    };
    for host in different {
        let call = async |link: Link| link.client.notices(tarpc::context::current()).await.ok();
        if let Some(notices) = fetch(shared, &host, call).await {
            shared.take_notices(notices);
        }
    }
}
