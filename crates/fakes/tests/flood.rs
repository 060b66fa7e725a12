//! A daemon keeps serving its callers while garbage and idle connections flood one of its
//! listeners.

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
use support::{Outcomes, builder, deployment_slot, source, under_load};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, UdpSocket},
    task::JoinSet,
};

const SEED: u64 = 11;
const PHASE_TIME: Duration = Duration::from_secs(3);
const FLOODER_COUNT: u64 = 8;
/// The number of connections that each flooder keeps open.
const MAX_HELD_CONNECTIONS: usize = 200;
const MAX_GARBAGE_BYTES: usize = 16 << 10;
const MAX_DATAGRAM_BYTES: usize = 1400;
const DATAGRAM_INTERVAL: Duration = Duration::from_millis(1);
const DATAGRAMS_PER_BURST: usize = 4;
const FLOODED_DAEMON: usize = 1;

/// The numbers of opened connections and sent datagrams.
#[derive(Default)]
struct FloodCounts {
    connections: AtomicU64,
    datagrams: AtomicU64,
}

/// Opens connections one after the other and keeps up to [`MAX_HELD_CONNECTIONS`] of them open. A
/// connection sends garbage, the start of a valid request, or nothing. Four of the open ones also
/// send single bytes.
async fn flood_tcp(address: SocketAddr, seed: u64, end: Instant, sent: Arc<FloodCounts>) {
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
                    // The daemon may close the connection at any time.
                    stream.write_all(&garbage).await.ok();
                }
                1 => {
                    stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost:").await.ok();
                }
                _ => {}
            }
            held.push(stream);
        }
        if held.len() >= MAX_HELD_CONNECTIONS {
            let position = random.random_range(0..held.len());
            held.swap_remove(position);
        }
        for stream in held.iter_mut().take(4) {
            stream.try_write(b"x").ok();
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn flood_udp(address: SocketAddr, seed: u64, end: Instant, sent: Arc<FloodCounts>) {
    let mut random = StdRng::seed_from_u64(seed);
    let socket = UdpSocket::bind((address.ip(), 0)).await.unwrap();
    while Instant::now() < end {
        for _ in 0..DATAGRAMS_PER_BURST {
            let mut garbage = vec![0; random.random_range(0..MAX_DATAGRAM_BYTES)];
            random.fill_bytes(&mut garbage);
            if socket.send_to(&garbage, address).await.is_ok() {
                sent.datagrams.fetch_add(1, Ordering::Relaxed);
            }
        }
        tokio::time::sleep(DATAGRAM_INTERVAL).await;
    }
}

/// Floods an address with connections, and with datagrams if `udp` is set, for [`PHASE_TIME`].
async fn flood(address: SocketAddr, udp: bool) -> Arc<FloodCounts> {
    let sent = Arc::new(FloodCounts::default());
    let end = Instant::now() + PHASE_TIME;
    let mut flooders = JoinSet::new();
    for index in 0..FLOODER_COUNT {
        let seed = SEED * 100 + index;
        flooders.spawn(flood_tcp(address, seed, end, sent.clone()));
        if udp {
            flooders.spawn(flood_udp(address, seed, end, sent.clone()));
        }
    }
    flooders.join_all().await;
    sent
}

/// Counts of the requests whose first attempt was sent in a phase.
struct Phase {
    requests: usize,
    answered: usize,
    /// The number of requests answered by their first attempt within the targets of their class.
    on_target: usize,
}

fn phase(cluster: &Cluster, outcomes: &Outcomes, from_ms: u64, to_ms: u64) -> Phase {
    let first_attempts = outcomes.events.iter().filter_map(|event| match event {
        Event::Sent(sent) if sent.attempt == 0 => Some(sent),
        _ => None,
    });
    let in_phase = first_attempts.filter(|sent| (from_ms..to_ms).contains(&sent.at_ms));
    let classes: Map<u64, &name::Class> =
        in_phase.map(|sent| (sent.request, &sent.class)).collect();
    let ends = outcomes.events.iter().filter_map(|event| match event {
        Event::Ended(ended) if ended.outcome == Outcome::Answered => Some(ended),
        _ => None,
    });
    let answered: Vec<_> = ends.filter(|ended| classes.contains_key(&ended.request)).collect();
    let on_target = answered.iter().filter(|ended| {
        let mut class_list = cluster.shape().document.classes.iter();
        let class = class_list.find(|class| class.name == *classes[&ended.request]).unwrap();
        let first_token = ended.first_token_ms.is_none_or(|ms| ms <= class.first_token_ms);
        ended.attempt == 0 && first_token && ended.elapsed_ms <= class.complete_ms
    });
    Phase { requests: classes.len(), answered: answered.len(), on_target: on_target.count() }
}

/// Runs load in three phases, floods a listener of one daemon during the second and checks that at
/// least 90% of the requests of each phase are answered.
async fn run_flood(name: &str, udp: bool, listener: impl Fn(&Cluster) -> SocketAddr) {
    let _slot = deployment_slot().await;
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
        assert_eq!(operated, 10, "operator calls answered during the flood\n{}", cluster.logs(20));
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
        // Other load on the machine may delay some requests; a flood that takes effect fails far
        // more than a tenth.
        assert!(10 * answered >= 9 * requests, "{when}\n{}", cluster.logs(20));
    }
}

/// Sends ten operator calls to the flooded daemon; returns the number of successful ones.
async fn operate(cluster: &Cluster) -> usize {
    let mut answered = 0;
    for _ in 0..10 {
        let call =
            cluster.call_operator(FLOODED_DAEMON, Method::GET, "/v1/orders", &Value::Null).await;
        answered += usize::from(matches!(call, Ok((200, _))));
        tokio::time::sleep(PHASE_TIME / 20).await;
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flooded_caller_listener_keeps_serving() {
    run_flood("callers", false, |cluster| cluster.shape().network.daemon(FLOODED_DAEMON).caller)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flooded_operator_listener_keeps_serving() {
    run_flood("operators", false, |cluster| {
        cluster.shape().network.daemon(FLOODED_DAEMON).operator
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn flooded_peer_listeners_keep_serving() {
    run_flood("peers", true, |cluster| cluster.shape().network.daemon(FLOODED_DAEMON).peer).await;
}
