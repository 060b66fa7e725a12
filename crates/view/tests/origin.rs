//! Any daemon learns which build began a stream, whichever daemon passed on its first event.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use hyssop_document::{
    build::Build,
    name::{Host, Zone},
};
use hyssop_view::{
    heartbeat::{Heartbeat, Phase},
    member::Table,
    origin::{Message, Origins, Registry, StreamId},
    record::{Position, Revision},
};
use parking_lot::Mutex;
use tokio::{net::UdpSocket, task::JoinHandle};
use tokio_util::sync::CancellationToken;

const PORT: u16 = 20_107;
const TTL: Duration = Duration::from_secs(4);

static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

struct Daemon {
    fleet: u8,
    ip: IpAddr,
    zone: Zone,
    members: Arc<Mutex<Table>>,
    origins: Arc<Origins>,
    task: JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon that knows no others.
    async fn start(fleet: u8, index: usize, zone: &str) -> Self {
        let [.., process] = std::process::id().to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 90, process, fleet * 16 + index as u8));
        let zone = Zone::new(zone);
        let members = Arc::new(Mutex::new(Table::new(Instant::now(), false)));
        let origins = Arc::new(Origins::new(zone.clone(), Arc::clone(&members)));
        let socket = UdpSocket::bind((ip, PORT)).await.expect("a free address");
        let runner = Arc::clone(&origins);
        let task = tokio::spawn(async move {
            runner.run(socket, CancellationToken::new()).await.expect("it runs once");
        });
        Self { fleet, ip, zone, members, origins, task }
    }

    /// Records a heartbeat of another daemon.
    fn discover(&self, other: &Self) {
        let heartbeat = Heartbeat {
            host: Host::new(&format!("h-{}", other.ip)),
            zone: other.zone.clone(),
            incarnation: 1,
            caller_address: SocketAddr::new(other.ip, 1),
            phase: Phase::Ready,
            weight: 100,
            applied: Position { revision: Revision(1), ..Position::default() },
            watches_source: false,
            converged: true,
            members: Vec::new(),
            loads: Vec::new(),
            blames: Vec::new(),
            evidence: Vec::new(),
            leaving: Vec::new(),
            limits: Vec::new(),
            speeds: Vec::new(),
            models: Vec::new(),
            shortages: Vec::new(),
        };
        self.members.lock().record_heartbeat(other.ip, heartbeat, Instant::now());
    }

    /// Stops to receive and to send, as a host that lost its power.
    fn kill(&self) {
        self.task.abort();
    }
}

/// Starts daemons that know each other, one in each of `zones`.
async fn start(zones: &[&str]) -> Vec<Daemon> {
    let fleet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
    let mut daemons = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        daemons.push(Daemon::start(fleet, index, zone).await);
    }
    for daemon in &daemons {
        for other in daemons.iter().filter(|other| other.ip != daemon.ip) {
            daemon.discover(other);
        }
    }
    tokio::task::yield_now().await;
    daemons
}

fn stream(index: usize) -> StreamId {
    StreamId::of_request(&format!("r-{index}"))
}

fn build(index: usize) -> Build {
    Build::new(["v1", "v1.1"][index % 2])
}

/// The daemons that know a stream without asking others, once there are `count`.
async fn holders(daemons: &[Daemon], stream: StreamId, count: usize) -> Vec<usize> {
    let start = Instant::now();
    loop {
        let knows =
            |&index: &usize| daemons[index].origins.find_own(stream, Instant::now()).is_some();
        let holders: Vec<usize> = (0..daemons.len()).filter(knows).collect();
        if holders.len() >= count {
            return holders;
        }
        assert!(start.elapsed() < TTL, "{stream} is at {holders:?} only");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn each_daemon_finds_the_streams_of_the_others() {
    let daemons = start(&["a", "a", "a", "b", "b", "c"]).await;
    for index in 0..60 {
        let origins = &daemons[index % 6].origins;
        origins.record(stream(index), &build(index), TTL, Instant::now());
    }
    for index in 0..60 {
        for daemon in &daemons {
            assert_eq!(daemon.origins.find(stream(index)).await, Some(build(index)));
        }
    }
}

/// The loss of a zone, or of a zone and the daemon that began the stream, leaves a copy; one is in
/// the zone of the daemon, for a partition between zones.
#[tokio::test]
async fn copies_are_in_different_zones() {
    let zones = ["a", "a", "a", "b", "b", "c", "c", "d", "d"];
    let daemons = start(&zones).await;
    for index in 0..12 {
        let own = index % zones.len();
        daemons[own].origins.record(stream(index), &build(index), TTL, Instant::now());
        let holders = holders(&daemons, stream(index), 4).await;
        let mut copies: Vec<&str> =
            holders.iter().filter(|&&holder| holder != own).map(|&holder| zones[holder]).collect();
        copies.dedup();
        assert_eq!(copies.len(), 3, "stream {index} of {own} is at {holders:?}");
        assert!(copies.contains(&zones[own]), "stream {index} of {own} is at {holders:?}");
    }
}

#[tokio::test]
async fn streams_are_found_after_the_loss_of_their_daemon_and_a_zone() {
    let daemons = start(&["a", "a", "b", "b", "c", "c"]).await;
    for index in 0..20 {
        daemons[0].origins.record(stream(index), &build(index), TTL, Instant::now());
    }
    for index in 0..20 {
        holders(&daemons, stream(index), 4).await;
    }
    for lost in [0, 2, 3] {
        daemons[lost].kill();
    }
    for index in 0..20 {
        for alive in [1, 4, 5] {
            let found = daemons[alive].origins.find(stream(index)).await;
            assert_eq!(found, Some(build(index)), "stream {index} at {alive}");
        }
    }
}

/// A daemon that has just started serves callers before it has discovered its peers.
#[tokio::test]
async fn a_daemon_that_starts_asks_the_peers_that_it_discovers_meanwhile() {
    let daemons = start(&["a", "a", "b"]).await;
    daemons[1].origins.record(stream(1), &build(1), TTL, Instant::now());
    holders(&daemons, stream(1), 3).await;
    let started = Daemon::start(daemons[0].fleet, daemons.len(), "a").await;
    let finding = tokio::spawn({
        let origins = Arc::clone(&started.origins);
        async move { origins.find(stream(1)).await }
    });
    tokio::task::yield_now().await;
    daemons.iter().for_each(|daemon| started.discover(daemon));
    assert_eq!(finding.await.expect("the query ends"), Some(build(1)));
}

/// Whether the peers reply that they don't know it, or some don't reply.
#[tokio::test]
async fn an_unknown_stream_is_not_found() {
    let daemons = start(&["a", "a", "b"]).await;
    assert_eq!(daemons[0].origins.find(stream(1)).await, None);
    daemons[1].kill();
    let start = Instant::now();
    assert_eq!(daemons[0].origins.find(stream(1)).await, None);
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
}

/// A reply to an earlier query, or a forged one, must not end another query.
#[tokio::test]
async fn replies_about_other_streams_are_ignored() {
    let daemons = start(&["a", "a"]).await;
    let finding = tokio::spawn({
        let origins = Arc::clone(&daemons[0].origins);
        daemons[1].kill();
        async move { origins.find(stream(1)).await }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    let other = UdpSocket::bind((Ipv4Addr::new(127, 90, 0, 250), 0)).await.expect("an address");
    let [.., process] = std::process::id().to_be_bytes();
    for query in 0..4 {
        let origin = Some((build(1), 4_000));
        let reply = Message::Reply { query, stream: stream(2), origin };
        let bytes = postcard::to_allocvec(&reply).expect("a small message");
        for fleet in 1..NEXT_FLEET.load(Ordering::Relaxed) {
            let to = (Ipv4Addr::new(127, 90, process, fleet * 16), PORT);
            // Fleets of other tests may have stopped.
            drop(other.send_to(&bytes, to).await);
        }
    }
    assert_eq!(finding.await.expect("the query ends"), None);
}

#[test]
fn the_first_build_of_a_stream_stays_until_it_expires() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record(stream(1), build(0), now + TTL, now);
    registry.record(stream(1), build(1), now + TTL * 2, now);
    let later = now + TTL + Duration::from_millis(1);
    assert_eq!(registry.find(stream(1), later).map(|(build, _)| build), Some(build(0)));
    assert_eq!(registry.find(stream(1), now + TTL * 2), None);
    registry.record(stream(1), build(1), now + TTL * 3, now + TTL * 2);
    let found = registry.find(stream(1), now + TTL * 2);
    assert_eq!(found.map(|(build, _)| build), Some(build(1)));
}

#[test]
fn the_number_of_streams_is_bounded_and_the_latest_stay() {
    let now = Instant::now();
    let mut registry = Registry::default();
    for index in 0..100_000 {
        let at = now + Duration::from_micros(index as u64);
        registry.record(stream(index), build(index), at + TTL, at);
        assert!(registry.len() <= 16_384);
    }
    let at = now + Duration::from_millis(100);
    for index in 92_000..100_000 {
        assert_eq!(registry.find(stream(index), at).map(|(build, _)| build), Some(build(index)));
    }
}

#[test]
fn messages_of_any_bytes_are_refused_or_decoded() {
    bolero::check!().with_type::<Vec<u8>>().with_iterations(20_000).for_each(|bytes| {
        if let Ok(message) = postcard::from_bytes::<Message>(bytes) {
            let encoded = postcard::to_allocvec(&message).expect("a decoded message");
            assert_eq!(postcard::from_bytes::<Message>(&encoded), Ok(message));
        }
    });
}

#[test]
fn stream_ids_are_text_and_back() {
    let id = StreamId::of_request("9c41d07be2a35f68");
    assert_eq!(id.to_string().parse(), Ok(id));
    expect_test::expect!["56af048bb2f6d5a9"].assert_eq(&id.to_string());
}
