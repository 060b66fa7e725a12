//! The server keeps responding to operators while other connections send garbage, little or
//! nothing.

mod common;

use std::time::Duration;

use common::{FixedHandler, KEY, TestServer};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

const MAX_CONNECTIONS: usize = 16;
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longer than a client waits, so that no timeout closes connections that keep valid calls out.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
const CALLS: usize = 20;
const SEED: u64 = 7;

async fn start(timeout: Duration) -> TestServer {
    TestServer::start(FixedHandler::default(), |builder| {
        builder.max_connections(MAX_CONNECTIONS).head_timeout(timeout).body_timeout(timeout)
    })
    .await
}

async fn connect(server: &TestServer) -> TcpStream {
    TcpStream::connect(server.address).await.expect("the server listens")
}

/// Checks that valid calls get responses while the `held` connections stay open.
async fn check_still_responds(server: &TestServer, held: Vec<TcpStream>) {
    let client = server.client();
    for _ in 0..CALLS {
        client.orders().await.expect("a valid call gets a response");
    }
    drop(held);
}

#[tokio::test]
async fn half_open_connections_do_not_block_operators() {
    let server = start(LONG_TIMEOUT).await;
    let mut held = Vec::new();
    for number in 0..10 * MAX_CONNECTIONS {
        let mut stream = connect(&server).await;
        // Every second connection sends an incomplete header.
        if number % 2 == 0 {
            stream.write_all(b"GET /v1/status HTTP/1.1\r\nHost:").await.ok();
        }
        held.push(stream);
    }
    check_still_responds(&server, held).await;
}

#[tokio::test]
async fn random_bytes_do_not_block_operators() {
    let server = start(LONG_TIMEOUT).await;
    let mut random = StdRng::seed_from_u64(SEED);
    let mut held = Vec::new();
    for _ in 0..10 * MAX_CONNECTIONS {
        let mut bytes = vec![0; random.random_range(1..40_000)];
        random.fill_bytes(&mut bytes);
        let mut stream = connect(&server).await;
        stream.write_all(&bytes).await.ok();
        held.push(stream);
    }
    check_still_responds(&server, held).await;
}

#[tokio::test]
async fn garbage_in_authenticated_bodies_does_not_block_operators() {
    let server = start(SHORT_TIMEOUT).await;
    let mut random = StdRng::seed_from_u64(SEED);
    let mut held = Vec::new();
    for _ in 0..10 * MAX_CONNECTIONS {
        let mut bytes = vec![0; 200];
        random.fill_bytes(&mut bytes);
        let mut stream = connect(&server).await;
        let start = format!(
            "POST /v1/orders HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 200\r\n\r\n"
        );
        stream.write_all(start.as_bytes()).await.ok();
        stream.write_all(&bytes).await.ok();
        held.push(stream);
        // Authenticated connections are not evicted, so only half of the maximum stays open.
        if held.len() == MAX_CONNECTIONS / 2 {
            held.clear();
        }
    }
    check_still_responds(&server, held).await;
}

#[tokio::test]
async fn a_connection_with_an_incomplete_header_is_closed() {
    let server = start(SHORT_TIMEOUT).await;
    let mut stream = connect(&server).await;
    stream.write_all(b"GET /v1/status HTTP/1.1\r\n").await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    assert!(!String::from_utf8_lossy(&response).contains("200 OK"));
}

#[tokio::test]
async fn an_idle_connection_is_closed() {
    let server = start(SHORT_TIMEOUT).await;
    let mut stream = connect(&server).await;
    let request = format!("GET /v1/orders HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    assert!(String::from_utf8_lossy(&response).contains("200 OK"));
}

#[tokio::test]
async fn a_missing_body_gets_a_timeout_status() {
    let server = start(SHORT_TIMEOUT).await;
    let request = format!(
        "POST /v1/orders HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 99\r\n\r\n"
    );
    let response = server.send_raw(request.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}

#[tokio::test]
async fn a_large_header_is_refused() {
    let server = start(SHORT_TIMEOUT).await;
    let request = format!("GET /v1/orders HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(100_000));
    let response = server.send_raw(request.as_bytes()).await;
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{response}");
}

#[tokio::test]
async fn authenticated_connections_are_not_evicted() {
    let server = start(LONG_TIMEOUT).await;
    let mut kept = connect(&server).await;
    let request = format!("GET /v1/orders HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n");
    let last = format!("{request}Connection: close\r\n\r\n");
    let request = format!("{request}\r\n");
    kept.write_all(request.as_bytes()).await.unwrap();
    let mut response = vec![0; 12];
    kept.read_exact(&mut response).await.unwrap();
    let mut held = Vec::new();
    for _ in 0..2 * MAX_CONNECTIONS {
        held.push(connect(&server).await);
    }
    kept.write_all(last.as_bytes()).await.unwrap();
    let mut rest = Vec::new();
    kept.read_to_end(&mut rest).await.unwrap();
    assert_eq!(String::from_utf8_lossy(&rest).matches("200 OK").count(), 1);
}

#[tokio::test]
async fn a_stop_finishes_requests_and_closes_idle_connections() {
    let slow = FixedHandler { delay: Duration::from_millis(200), ..FixedHandler::default() };
    let mut server =
        TestServer::start(slow, |builder| builder.stop_timeout(Duration::from_secs(2))).await;
    let stuck = connect(&server).await;
    let client = server.client();
    let call = tokio::spawn(async move {
        let target = hyssop_document::order::Target::Host(hyssop_document::name::Host::new("h1"));
        client.apply_order(target, true, None).await
    });
    while server.handler.orders.load(std::sync::atomic::Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    let started = Instant::now();
    server.stop.cancel();
    (&mut server.task).await.unwrap();
    assert!(call.await.unwrap().is_ok());
    // The bound far exceeds the stop timeout, so that only a server that does not stop exceeds it.
    assert!(started.elapsed() < Duration::from_secs(30));
    drop(stuck);
}
