//! Starts nodes on loopback, in the process of the test.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::CompactString;
use futures::{FutureExt as _, future::BoxFuture};
use hyssop_document::{
    group::Group,
    model, name,
    number::{Incarnation, Revision, Tokens},
};
use hyssop_peer::{
    Identity, LoadSource, Node, PermitRequest,
    current::Source,
    hosts::{Entry, List, State},
    timing::Timing,
};
use hyssop_policy::{
    load::Load,
    permit::{self, End, Release},
};
use hyssop_timer::Service;
use parking_lot::Mutex;

/// Reports all backend servers as idle, or as running the number of requests that a test sets.
#[derive(Debug, Default)]
pub(crate) struct IdleBackends {
    pub(crate) running: Mutex<u32>,
}

impl LoadSource for IdleBackends {
    fn load(&self, _: &model::Backend) -> BoxFuture<'static, Result<Load, CompactString>> {
        let running = *self.running.lock();
        let load = Load {
            incarnation: 1,
            running,
            waiting: 0,
            kv_used: 0.0,
            cold: false,
            tokens_per_s: None,
        };
        async move { Ok(load) }.boxed()
    }
}

/// Short intervals to keep tests fast.
pub(crate) fn timing() -> Timing {
    Timing {
        heartbeat_interval: Duration::from_millis(50),
        alive_timeout: Duration::from_millis(400),
        lease_duration: Duration::from_millis(600),
        guard_window: Duration::from_millis(1500),
        settle_delay: Duration::from_millis(100),
        load_interval: Duration::from_millis(50),
        ..Timing::default()
    }
}

/// A document with one pool of two backend servers in zones z1 and z2.
pub(crate) fn document(revision: u64) -> Bytes {
    let key = "0".repeat(64);
    let text = format!(
        r#"{{
            "environment": "trial", "revision": {revision},
            "classes": [{{"name": "desk", "tier": 1, "first_token_ms": 1000,
                "complete_ms": 5000, "max_running_ms": 60000, "idempotent": true}}],
            "workspaces": [{{"name": "w", "share": 1, "key_sha256": "{key}"}}],
            "zones": [{{"name": "z1"}}, {{"name": "z2"}}, {{"name": "z3"}}],
            "pools": [{{"name": "m", "kind": "model", "latest_end_ms": 60000,
                "cold_limit": 4, "warm_limit": 4}}],
            "backends": [
                {{"name": "b1", "address": "127.0.0.1:9001", "zone": "z1", "pool": "m"}},
                {{"name": "b2", "address": "127.0.0.1:9002", "zone": "z2", "pool": "m"}}]
        }}"#
    );
    Bytes::from(text)
}

pub(crate) fn group() -> Group {
    Group { pool: name::Pool::new("m"), index: 0 }
}

pub(crate) fn permit_request(remaining_ms: u64) -> PermitRequest {
    PermitRequest {
        group: group(),
        class: name::Class::new("desk"),
        workspace: name::Workspace::new("w"),
        remaining_ms,
        prompt_tokens: Tokens(10),
        max_output: None,
        prefix: None,
        suspect: false,
        exclude: Vec::new(),
    }
}

pub(crate) async fn start_node(host: &str, timing: Timing) -> Arc<Node> {
    let number = host.trim_start_matches('h').parse::<u64>().expect("hosts are named h1, h2, ...");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let identity = Identity {
        host: name::Host::new(host),
        zone: name::Zone::new(&format!("z{}", (number - 1) % 3 + 1)),
        incarnation: Incarnation::new(1_000_000, number),
        caller_address: any,
        peer_address: any,
    };
    start(identity, timing, Vec::new()).await
}

pub(crate) async fn start(identity: Identity, timing: Timing, seeds: Vec<SocketAddr>) -> Arc<Node> {
    let timer = Service::builder().resolution(Duration::from_millis(10)).start();
    start_with(identity, timing, seeds, Arc::new(IdleBackends::default()), timer).await
}

pub(crate) async fn start_with(
    identity: Identity,
    timing: Timing,
    seeds: Vec<SocketAddr>,
    load_source: Arc<dyn LoadSource>,
    timer: Arc<Service>,
) -> Arc<Node> {
    Node::builder(identity, timer, load_source)
        .timing(timing)
        .seeds(seeds)
        .start()
        .await
        .expect("a port is free")
}

pub(crate) fn list(revision: u64, nodes: &[Arc<Node>]) -> List {
    let hosts = nodes
        .iter()
        .map(|node| Entry {
            host: node.identity().host.clone(),
            zone: node.identity().zone.clone(),
            peer_address: node.identity().peer_address,
            state: State::Live,
        })
        .collect();
    List { revision: Revision(revision), hosts }
}

/// Starts `count` nodes that list each other, and offers the document to the first one.
pub(crate) async fn cluster(count: usize) -> Vec<Arc<Node>> {
    let mut nodes = Vec::new();
    for number in 1..=count {
        nodes.push(start_node(&format!("h{number}"), timing()).await);
    }
    let list = list(1, &nodes);
    for node in &nodes {
        node.set_list(list.clone()).expect("the list is valid");
    }
    nodes[0].offer_document(document(1), Source::Platform);
    nodes
}

pub(crate) fn completed_release(id: permit::Id) -> Release {
    Release {
        id,
        end: End::Completed,
        first_token_ms: Some(1),
        elapsed_ms: 2,
        output_tokens: Tokens(3),
        late: false,
    }
}

/// Waits until `condition` holds. Panics after 10 seconds. Returns the time waited.
pub(crate) async fn until(what: &str, condition: impl AsyncFn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < Duration::from_secs(10), "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}
