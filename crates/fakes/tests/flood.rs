//! A daemon that is flooded on one of its listeners keeps serving proper callers.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::print_stderr, reason = "a test prints its figures")]

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::Method;
use hyssop_document::{collections::Map, name};
use hyssop_fakes::{
    cluster::Cluster,
    history::{Event, Outcome},
    record::unix_ms,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;
use support::{Outcomes, builder, seat, source, under_load};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, UdpSocket},
    task::JoinSet,
};

const SEED: u64 = 11;
const PHASE_TIME: Duration = Duration::from_secs(3);
const FLOODERS: u64 = 8;
/// The connections that each flooder holds open.
const HELD: usize = 200;
const MAX_GARBAGE_BYTES: usize = 16 << 10;
const MAX_DATAGRAM_BYTES: usize = 1400;
const DATAGRAM_PAUSE: Duration = Duration::from_millis(1);
const DATAGRAMS_AT_ONCE: usize = 4;
const FLOODED: usize = 1;

/// How much was sent.
#[derive(Default)]
struct Sent {
    connections: AtomicU64,
    datagrams: AtomicU64,
}

/// Opens connections one after the other and holds the last ones. They send garbage, a byte at a
/// time of a proper start, or nothing.
async fn flood_tcp(address: SocketAddr, seed: u64, end: Instant, sent: Arc<Sent>) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut held: Vec<TcpStream> = Vec::new();
    while Instant::now() < end {
        let connect = tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(address));
        if let Ok(Ok(mut stream)) = connect.await {
            sent.connections.fetch_add(1, Ordering::Relaxed);
            match random.random_range(0..3) {
                0 => {
                    let mut garbage = vec![0; random.random_range(1..MAX_GARBAGE_BYTES)];
                    random.fill_bytes(&mut garbage);
                    // A closed connection is what the flood has to expect.
                    stream.write_all(&garbage).await.ok();
                }
                1 => {
                    stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost:").await.ok();
                }
                _ => {}
            }
            held.push(stream);
        }
        if held.len() >= HELD {
            let position = random.random_range(0..held.len());
            held.swap_remove(position);
        }
        for stream in held.iter_mut().take(4) {
            stream.try_write(b"x").ok();
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn flood_udp(address: SocketAddr, seed: u64, end: Instant, sent: Arc<Sent>) {
    let mut random = StdRng::seed_from_u64(seed);
    let socket = UdpSocket::bind((address.ip(), 0)).await.unwrap();
    while Instant::now() < end {
        for _ in 0..DATAGRAMS_AT_ONCE {
            let mut garbage = vec![0; random.random_range(0..MAX_DATAGRAM_BYTES)];
            random.fill_bytes(&mut garbage);
            if socket.send_to(&garbage, address).await.is_ok() {
                sent.datagrams.fetch_add(1, Ordering::Relaxed);
            }
        }
        tokio::time::sleep(DATAGRAM_PAUSE).await;
    }
}

/// Floods an address for one phase.
async fn flood(address: SocketAddr, udp: bool) -> Arc<Sent> {
    let sent = Arc::new(Sent::default());
    let end = Instant::now() + PHASE_TIME;
    let mut flooders = JoinSet::new();
    for number in 0..FLOODERS {
        let seed = SEED * 100 + number;
        flooders.spawn(flood_tcp(address, seed, end, sent.clone()));
        if udp {
            flooders.spawn(flood_udp(address, seed, end, sent.clone()));
        }
    }
    flooders.join_all().await;
    sent
}

/// What became of the requests whose first try was sent in a phase.
struct Phase {
    requests: usize,
    answered: usize,
    /// Those that were answered by their first try and within the targets of their class.
    on_target: usize,
}

fn phase(cluster: &Cluster, outcomes: &Outcomes, from_ms: u64, to_ms: u64) -> Phase {
    let first_tries = outcomes.events.iter().filter_map(|event| match event {
        Event::Sent(sent) if sent.attempt == 0 => Some(sent),
        _ => None,
    });
    let in_phase = first_tries.filter(|sent| (from_ms..to_ms).contains(&sent.at_ms));
    let classes: Map<u64, &name::Class> =
        in_phase.map(|sent| (sent.request, &sent.class)).collect();
    let ends = outcomes.events.iter().filter_map(|event| match event {
        Event::Ended(ended) if ended.outcome == Outcome::Answered => Some(ended),
        _ => None,
    });
    let answered: Vec<_> = ends.filter(|ended| classes.contains_key(&ended.request)).collect();
    let on_target = answered.iter().filter(|ended| {
        let mut known = cluster.shape().document.classes.iter();
        let class = known.find(|class| class.name == *classes[&ended.request]).unwrap();
        let first_token = ended.first_token_ms.is_none_or(|ms| ms <= class.first_token_ms);
        ended.attempt == 0 && first_token && ended.elapsed_ms <= class.complete_ms
    });
    Phase { requests: classes.len(), answered: answered.len(), on_target: on_target.count() }
}

/// Floods a listener of one daemon for a phase, between two phases without a flood.
async fn flooded(name: &str, udp: bool, listener: impl Fn(&Cluster) -> SocketAddr) {
    let _seat = seat().await;
    let mut cluster = builder(3).start().await.unwrap();
    let mut times_ms = Vec::new();
    let mut sent = Arc::default();
    let outcomes = under_load(&mut cluster, &source(SEED, 3 * PHASE_TIME), async |cluster| {
        times_ms.push(unix_ms());
        tokio::time::sleep(PHASE_TIME).await;
        times_ms.push(unix_ms());
        let (flood, operated) = tokio::join!(flood(listener(cluster), udp), operate(cluster));
        sent = flood;
        times_ms.push(unix_ms());
        assert_eq!(operated, 10, "calls of operators answered\n{}", cluster.logs(20));
        tokio::time::sleep(PHASE_TIME).await;
        times_ms.push(unix_ms());
    })
    .await;
    outcomes.check(&cluster);
    let (connections, datagrams) = (&sent.connections, &sent.datagrams);
    eprintln!("{name}: {connections:?} connections, {datagrams:?} datagrams in the flood");
    for (when, times) in ["before", "during", "after"].iter().zip(times_ms.windows(2)) {
        let Phase { requests, answered, on_target } =
            phase(&cluster, &outcomes, times[0], times[1]);
        eprintln!(
            "{name}: {when}: {requests} requests, {answered} answered, {on_target} on target"
        );
        assert!(requests > 50, "{requests}");
        // Other work on the machine may make some requests late; a flood that gets through fails
        // far more of them.
        assert!(10 * answered >= 9 * requests, "{when}\n{}", cluster.logs(20));
    }
}

/// Calls of operators to the flooded daemon; returns how many were answered.
async fn operate(cluster: &Cluster) -> usize {
    let mut answered = 0;
    for _ in 0..10 {
        let call = cluster.call_operator(FLOODED, Method::GET, "/v1/orders", &Value::Null).await;
        answered += usize::from(matches!(call, Ok((200, _))));
        tokio::time::sleep(PHASE_TIME / 20).await;
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn the_listener_for_callers() {
    flooded("callers", false, |cluster| cluster.shape().network.daemon(FLOODED).caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_listener_for_operators() {
    flooded("operators", false, |cluster| cluster.shape().network.daemon(FLOODED).operator).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_listeners_for_peers() {
    flooded("peers", true, |cluster| cluster.shape().network.daemon(FLOODED).peer).await;
}
