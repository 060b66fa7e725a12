//! The server keeps answering while others send garbage, little or nothing.

mod common;

use std::time::Duration;

use common::{Fixed, KEY, Running};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

const MAX_CONNECTIONS: usize = 16;
const SHORT: Duration = Duration::from_millis(300);
/// Longer than a client waits, so that no time-out makes room for proper calls.
const LONG: Duration = Duration::from_secs(60);
const CALLS: usize = 20;
const SEED: u64 = 7;

async fn start(timeout: Duration) -> Running {
    Running::start(Fixed::default(), |builder| {
        builder.max_connections(MAX_CONNECTIONS).header_timeout(timeout).body_timeout(timeout)
    })
    .await
}

async fn connect(server: &Running) -> TcpStream {
    TcpStream::connect(server.address).await.expect("the server listens")
}

/// Proper calls are answered while `held` connections stay open.
async fn still_answers(server: &Running, held: Vec<TcpStream>) {
    let client = server.client();
    for _ in 0..CALLS {
        client.orders().await.expect("a proper call is answered");
    }
    drop(held);
}

#[tokio::test]
async fn half_open_connections() {
    let server = start(LONG).await;
    let mut held = Vec::new();
    for number in 0..10 * MAX_CONNECTIONS {
        let mut stream = connect(&server).await;
        // Every other one sends a part of a header.
        if number % 2 == 0 {
            stream.write_all(b"GET /v1/status HTTP/1.1\r\nHost:").await.ok();
        }
        held.push(stream);
    }
    still_answers(&server, held).await;
}

#[tokio::test]
async fn random_bytes() {
    let server = start(LONG).await;
    let mut random = StdRng::seed_from_u64(SEED);
    let mut held = Vec::new();
    for _ in 0..10 * MAX_CONNECTIONS {
        let mut bytes = vec![0; random.random_range(1..40_000)];
        random.fill_bytes(&mut bytes);
        let mut stream = connect(&server).await;
        stream.write_all(&bytes).await.ok();
        held.push(stream);
    }
    still_answers(&server, held).await;
}

#[tokio::test]
async fn garbage_after_a_proper_start() {
    let server = start(SHORT).await;
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
        // A connection with a key is not closed for others, so these are not held for long.
        if held.len() == MAX_CONNECTIONS / 2 {
            held.clear();
        }
    }
    still_answers(&server, held).await;
}

#[tokio::test]
async fn a_header_that_does_not_come_ends_the_connection() {
    let server = start(SHORT).await;
    let mut stream = connect(&server).await;
    stream.write_all(b"GET /v1/status HTTP/1.1\r\n").await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    assert!(!String::from_utf8_lossy(&answer).contains("200 OK"));
}

#[tokio::test]
async fn an_idle_connection_ends() {
    let server = start(SHORT).await;
    let mut stream = connect(&server).await;
    let request = format!("GET /v1/orders HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    assert!(String::from_utf8_lossy(&answer).contains("200 OK"));
}

#[tokio::test]
async fn a_body_that_does_not_come_is_a_timeout() {
    let server = start(SHORT).await;
    let request = format!(
        "POST /v1/orders HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 99\r\n\r\n"
    );
    let answer = server.raw(request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

#[tokio::test]
async fn a_large_header_is_refused() {
    let server = start(SHORT).await;
    let request = format!("GET /v1/orders HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(100_000));
    let answer = server.raw(request.as_bytes()).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[tokio::test]
async fn connections_with_a_key_are_kept() {
    let server = start(LONG).await;
    let mut kept = connect(&server).await;
    let request = format!("GET /v1/orders HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n");
    let last = format!("{request}Connection: close\r\n\r\n");
    let request = format!("{request}\r\n");
    kept.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 12];
    kept.read_exact(&mut answer).await.unwrap();
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
async fn a_stop_lets_requests_finish_and_cuts_off_the_others() {
    let slow = Fixed { delay: Duration::from_millis(200), ..Fixed::default() };
    let mut server =
        Running::start(slow, |builder| builder.stop_timeout(Duration::from_secs(2))).await;
    let stuck = connect(&server).await;
    let client = server.client();
    let call = tokio::spawn(async move {
        let target = hyssop_document::order::Target::Host(hyssop_document::name::Host::new("h1"));
        client.order(target, true, None).await
    });
    while server.desk.orders.load(std::sync::atomic::Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    let started = Instant::now();
    server.stop.cancel();
    (&mut server.task).await.unwrap();
    assert!(call.await.unwrap().is_ok());
    // The bound is far above the stop timeout: only a server that never stops fails it.
    assert!(started.elapsed() < Duration::from_secs(30));
    drop(stuck);
}
