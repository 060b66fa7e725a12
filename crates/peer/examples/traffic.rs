//! Measures the cost of the protocol between daemons: bytes and processor time by size of the cell.
//!
//! Starts nodes of several cell sizes in one process on loopback, idle and with permit requests at
//! a fixed rate, and prints a line for each: `traffic [SECONDS]`.

// The program prints its results to the standard output.
#![allow(clippy::print_stdout)]

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::{self, BoxFuture};
use hyssop_document::{
    group::Group,
    model, name,
    number::{Incarnation, Revision, Tokens},
};
use hyssop_peer::{
    Identity, LoadSource, Node, PermitReply, PermitRequest,
    current::Source,
    hosts::{Entry, List, State},
    traffic::Traffic,
};
use hyssop_policy::{
    load::Load,
    permit::{End, Permit, Release},
};
use hyssop_timer::Service;
use tokio::time;

const CELL_SIZES: [usize; 4] = [3, 6, 9, 20];
const POOLS: usize = 4;
const BACKENDS_PER_POOL: usize = 6;
/// The wait before the measurement, in which membership converges and votes settle.
const WARMUP: Duration = Duration::from_secs(4);
/// The rates at which each node requests permits, per second.
const PERMIT_RATES: [u32; 2] = [0, 20];
/// The time for which a permit is in use.
const PERMIT_USE: Duration = Duration::from_millis(500);
/// The unit of processor time in `/proc/self/stat`.
const CLOCK_TICK_MS: u64 = 10;

#[derive(Debug)]
struct IdleBackends;

impl LoadSource for IdleBackends {
    fn load(&self, _: &model::Backend) -> BoxFuture<'static, Result<Load, CompactString>> {
        let load = Load {
            incarnation: 1,
            running: 0,
            waiting: 0,
            kv_used: 0.0,
            cold: false,
            tokens_per_s: None,
        };
        Box::pin(future::ready(Ok(load)))
    }
}

fn document() -> Bytes {
    let key = "0".repeat(64);
    let pools: Vec<_> = (0..POOLS)
        .map(|pool| {
            format!(
                r#"{{"name": "m{pool}", "kind": "model", "latest_end_ms": 20000,
                    "cold_limit": 50, "warm_limit": 50}}"#
            )
        })
        .collect();
    let backends: Vec<_> = (0..POOLS * BACKENDS_PER_POOL)
        .map(|number| {
            let pool = number % POOLS;
            format!(
                r#"{{"name": "b{number}", "address": "127.0.0.1:{}", "zone": "z1",
                    "pool": "m{pool}"}}"#,
                9000 + number
            )
        })
        .collect();
    let text = format!(
        r#"{{"environment": "trial", "revision": 1,
            "classes": [{{"name": "desk", "tier": 1, "first_token_ms": 1000,
                "complete_ms": 5000, "max_running_ms": 10000, "idempotent": true}}],
            "workspaces": [{{"name": "w", "share": 1, "key_sha256": "{key}"}}],
            "zones": [{{"name": "z1"}}],
            "pools": [{}], "backends": [{}]}}"#,
        pools.join(","),
        backends.join(",")
    );
    Bytes::from(text)
}

async fn start_node(number: usize) -> anyhow::Result<Arc<Node>> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let identity = Identity {
        host: name::Host::new(&format!("entry-{number:02}")),
        zone: name::Zone::new("z1"),
        incarnation: Incarnation::new(1_796_000_000_000, number as u64),
        caller_address: any,
        peer_address: any,
    };
    let timer = Service::builder().start();
    Ok(Node::builder(identity, timer, Arc::new(IdleBackends)).start().await?)
}

async fn start_cell(size: usize) -> anyhow::Result<Vec<Arc<Node>>> {
    let mut nodes = Vec::new();
    for number in 0..size {
        nodes.push(start_node(number).await?);
    }
    let hosts = nodes.iter().map(|node| Entry {
        host: node.identity().host.clone(),
        zone: node.identity().zone.clone(),
        peer_address: node.identity().peer_address,
        state: State::Live,
    });
    let list = List { revision: Revision(1), hosts: hosts.collect() };
    for node in &nodes {
        node.set_list(list.clone()).map_err(anyhow::Error::msg)?;
        node.offer_document(document(), Source::Platform);
    }
    Ok(nodes)
}

fn permit_request(number: usize) -> PermitRequest {
    PermitRequest {
        group: Group { pool: name::Pool::new(&format!("m{}", number % POOLS)), index: 0 },
        class: name::Class::new("desk"),
        workspace: name::Workspace::new("w"),
        remaining_ms: 5000,
        prompt_tokens: Tokens(100),
        max_output: None,
        prefix: Some(number as u64),
        suspect: false,
        exclude: Vec::new(),
    }
}

fn release(permit: &Permit) -> Release {
    Release {
        id: permit.id,
        end: End::Completed,
        first_token_ms: Some(20),
        elapsed_ms: PERMIT_USE.as_millis() as u64,
        output_tokens: Tokens(50),
        late: false,
    }
}

/// Requests permits at a fixed rate. Returns the number granted.
async fn request_permits(node: Arc<Node>, rate: u32, end: Instant) -> usize {
    if rate == 0 {
        time::sleep_until(end.into()).await;
        return 0;
    }
    let mut ticks = time::interval(Duration::from_secs(1) / rate);
    let mut requests = tokio::task::JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        ticks.tick().await;
        number += 1;
        let node = Arc::clone(&node);
        requests.spawn(async move {
            let PermitReply::Granted(permit) = node.request_permit(permit_request(number)).await
            else {
                return 0;
            };
            time::sleep(PERMIT_USE).await;
            node.release(release(&permit));
            1
        });
    }
    requests.join_all().await.into_iter().sum()
}

/// The processor time that this process has used, user and system.
fn processor_time() -> anyhow::Result<Duration> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 =
        fields.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * CLOCK_TICK_MS))
}

/// The bytes sent and received over UDP and over TCP.
fn bytes(traffic: &Traffic) -> (u64, u64) {
    let udp = traffic.udp_sent_bytes + traffic.udp_received_bytes;
    (udp, traffic.tcp_sent_bytes + traffic.tcp_received_bytes)
}

async fn measure(nodes: &[Arc<Node>], rate: u32, seconds: u64) -> anyhow::Result<()> {
    let total = || {
        nodes.iter().map(|node| bytes(&node.traffic())).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    };
    let (udp, tcp) = total();
    let processor = processor_time()?;
    let end = Instant::now() + Duration::from_secs(seconds);
    let load = nodes.iter().map(|node| request_permits(Arc::clone(node), rate, end));
    let granted: usize = future::join_all(load).await.into_iter().sum();
    let (udp_after, tcp_after) = total();
    let processor = processor_time()?.saturating_sub(processor);
    let node_seconds = nodes.len() as u64 * seconds;
    println!(
        "hosts={} rate={rate}/s granted={granted} udp_bytes={} tcp_bytes={} core_percent={:.3}",
        nodes.len(),
        (udp_after - udp) / node_seconds,
        (tcp_after - tcp) / node_seconds,
        processor.as_secs_f64() * 100.0 / node_seconds as f64,
    );
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let seconds = std::env::args().nth(1).map_or(Ok(5), |text| text.parse())?;
    println!("per daemon and second, both directions, without headers:");
    for size in CELL_SIZES {
        let nodes = start_cell(size).await?;
        time::sleep(WARMUP).await;
        for rate in PERMIT_RATES {
            measure(&nodes, rate, seconds).await?;
        }
    }
    Ok(())
}
