//! The HTTP server for callers over loopback: limits, floods, disconnects and graceful stop.
#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream as BlockingStream},
    sync::Arc,
    time::Duration,
};

use bench::{
    Bench, Call,
    engine::{Fleet, booked, expected},
    key,
};
use hyssop_caller::server::{Handle, Limits, Server};
use rand::{Rng as _, RngExt as _, SeedableRng as _, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinHandle,
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

/// A test fails if a response takes longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

struct TestServer {
    handle: Handle,
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
    bench: Bench,
}

async fn start(fleet: Arc<Fleet>, limits: Limits) -> TestServer {
    let bench = Bench::new(fleet);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stop = CancellationToken::new();
    let home = Arc::new(bench.home.clone());
    let server = Server::builder(listener, home).limits(limits).stop(stop.clone()).build();
    let address = server.local_addr().unwrap();
    let handle = server.handle();
    TestServer { handle, address, stop, task: tokio::spawn(server.run()), bench }
}

fn request_text(call: &Call) -> String {
    let mut text = format!("POST {} HTTP/1.1\r\nhost: h\r\n", call.path);
    for (name, value) in &call.headers {
        text += &format!("{name}: {value}\r\n");
    }
    format!("{text}content-length: {}\r\n\r\n{}", call.body.len(), call.body)
}

/// Sends bytes and reads until the server closes the connection or has sent `terminator`.
async fn exchange(address: SocketAddr, bytes: &[u8], terminator: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut reply = Vec::new();
    let read = async {
        while !String::from_utf8_lossy(&reply).contains(terminator) {
            if stream.read_buf(&mut reply).await.unwrap_or(0) == 0 {
                break;
            }
        }
    };
    timeout(RESPONSE_TIMEOUT, read).await.expect("the server responds or closes");
    String::from_utf8_lossy(&reply).into_owned()
}

async fn send(address: SocketAddr, call: &Call) -> String {
    let call = call.clone().set("connection", "close");
    exchange(address, request_text(&call).as_bytes(), "\u{0}never").await
}

fn small_limits() -> Limits {
    Limits {
        max_connections: 20,
        max_head_bytes: 8192,
        max_header_fields: 20,
        max_body_bytes: 1000,
        max_total_body_bytes: 8 << 10,
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        write_timeout: Duration::from_millis(300),
    }
}

#[tokio::test]
async fn complete_and_streamed_responses_have_their_http_form() {
    let server = start(Fleet::new(1), Limits::default()).await;
    let call = Call::draft("wire");
    let reply = send(server.address, &call).await;
    let (head, body) = reply.split_once("\r\n\r\n").unwrap();
    expect_test::expect![[r#"
        HTTP/1.1 200 OK
        content-type: application/json
        request-outcome: answered
        x-request-id: r1
        connection: close
        content-length: 209
        date: DATE"#]]
    .assert_eq(&undated(head));
    let value: serde_json::Value = serde_json::from_str(body).unwrap();
    assert_eq!(value["choices"][0]["text"], expected(&call.body));
    let reply = send(server.address, &call.stream()).await;
    assert!(reply.contains("content-type: text/event-stream\r\n"));
    assert_eq!(reply.matches("id: ").count() - 1, 12, "{reply}");
}

fn undated(head: &str) -> String {
    let line = |line: &str| if line.starts_with("date: ") { "date: DATE" } else { line }.to_owned();
    head.lines().map(line).collect::<Vec<_>>().join("\n")
}

#[tokio::test]
async fn oversized_and_slow_requests_are_refused_and_their_keys_never_run() {
    let server = start(Fleet::new(1), small_limits()).await;
    let large = Call::booking(&"x".repeat(2000)).key(key(1, "large"));
    let reply = send(server.address, &large).await;
    assert!(reply.starts_with("HTTP/1.1 413 "), "{reply}");
    assert!(reply.contains("\"ran\":\"not_run\"") && reply.contains("\"reason\":\"too_large\""));

    let slow = Call::booking("slow").key(key(1, "slow"));
    let cut = request_text(&slow).strip_suffix("low").unwrap().to_owned();
    let reply = exchange(server.address, cut.as_bytes(), "slow_body").await;
    assert!(reply.starts_with("HTTP/1.1 408 "), "{reply}");
    let copy = send(server.address, &slow).await;
    assert!(copy.contains("\"ran\":\"not_run\""), "{copy}");

    let foreign = Call::booking(&"x".repeat(2000)).key(key(7, "large"));
    let reply = send(server.address, &foreign).await;
    assert!(
        reply.contains("\"ran\":\"may_have_run\""),
        "only the home may respond not_run: {reply}"
    );

    let many = (0..30).fold(Call::draft("x"), |call, n| call.set(&format!("x-{n}"), "1"));
    let reply = send(server.address, &many).await;
    assert!(reply.starts_with("HTTP/1.1 431 "), "{reply}");
    let long = Call::draft("x").set("x-long", "y".repeat(20_000));
    let reply = send(server.address, &long).await;
    assert!(reply.starts_with("HTTP/1.1 431 "), "{reply}");
    assert_eq!(server.bench.fleet.runs(), 0);
}

#[tokio::test]
async fn request_bodies_share_one_memory_limit() {
    let server = start(Fleet::new(1), small_limits()).await;
    let mut held = Vec::new();
    for number in 0..20 {
        let call = Call::booking(&"x".repeat(900)).key(key(1, &format!("k{number}")));
        let bytes = request_text(&call);
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        stream.write_all(&bytes.as_bytes()[..bytes.len() - 10]).await.unwrap();
        held.push(stream);
    }
    let mut busy = 0;
    for mut stream in held {
        let mut reply = String::new();
        let read = timeout(RESPONSE_TIMEOUT, stream.read_to_string(&mut reply)).await;
        let _ = read.expect("the server responds or closes");
        busy += usize::from(reply.contains("\"reason\":\"busy\""));
    }
    assert!(busy >= 10, "{busy} of 20 requests were refused");
    let reply = send(server.address, &Call::draft("after")).await;
    assert!(reply.starts_with("HTTP/1.1 200 "), "{reply}");
}

#[tokio::test]
async fn a_valid_caller_is_served_during_a_flood() {
    const FLOODERS: u64 = 30;
    const CONNECTIONS: usize = 40;
    let server = start(Fleet::new(2), small_limits()).await;
    let address = server.address;
    let flooders: Vec<_> = (0..FLOODERS)
        .map(|seed| tokio::spawn(flood(address, StdRng::seed_from_u64(seed), CONNECTIONS)))
        .collect();
    let started = Instant::now();
    let mut served = 0;
    for number in 0..50 {
        let call = Call::draft(&format!("proper {number}"));
        let mut attempts = 0;
        loop {
            let reply = send(address, &call).await;
            if reply.contains(&expected(&call.body)) {
                served += 1;
                break;
            }
            // A connection may be evicted before its request is read.
            attempts += 1;
            assert!(reply.is_empty() && attempts < 100, "{reply}");
        }
    }
    assert_eq!(served, 50);
    for flooder in flooders {
        flooder.await.unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(60));
    assert!(!server.task.is_finished());
}

/// Opens connections that send nothing, random bytes, or an incomplete request.
async fn flood(address: SocketAddr, mut random: StdRng, connections: usize) {
    let mut open = Vec::new();
    for _ in 0..connections {
        let Ok(mut stream) = TcpStream::connect(address).await else { continue };
        let mut noise = vec![0; random.random_range(0..3000)];
        random.fill_bytes(&mut noise);
        let bytes = match random.random_range(0..4) {
            0 => Vec::new(),
            1 => noise,
            2 => {
                b"POST /v1/completions HTTP/1.1\r\nhost: h\r\ncontent-length: 900\r\n\r\n{".to_vec()
            }
            _ => [b"GET / HTTP/1.1\r\nx: ".to_vec(), noise].concat(),
        };
        let _ = stream.write_all(&bytes).await;
        open.push(stream);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn a_stop_finishes_requests_in_progress_and_closes_the_listener() {
    let mut fleet = Fleet::build(1);
    fleet.chunk_interval = Duration::from_millis(30);
    let server = start(Arc::new(fleet), Limits::default()).await;
    let call = Call::booking("m1").key(key(1, "a"));
    let bytes = request_text(&call);
    let running =
        tokio::spawn(async move { exchange(server.address, bytes.as_bytes(), "\u{0}never").await });
    while server.bench.fleet.runs() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    server.stop.cancel();
    let reply = running.await.unwrap();
    assert!(reply.ends_with(&booked("m1")), "{reply}");
    timeout(RESPONSE_TIMEOUT, server.task).await.unwrap().unwrap();
    assert!(TcpStream::connect(server.address).await.is_err());
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut reply = Vec::new();
    let read = timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut reply)).await;
    let _ = read.expect("the server responds or closes");
    String::from_utf8_lossy(&reply).into_owned()
}

/// A listener that is dropped resets the connections in its accept queue, whose requests get no answer.
#[tokio::test]
async fn a_stop_serves_the_connections_in_the_accept_queue() {
    let server = start(Fleet::new(1), Limits::default()).await;
    tokio::task::yield_now().await;
    // Without letting the server run, as when its host is late.
    let streams = [(); 8].map(|()| {
        let mut stream = BlockingStream::connect(server.address).unwrap();
        stream.write_all(request_text(&Call::draft("queued")).as_bytes()).unwrap();
        stream.set_nonblocking(true).unwrap();
        TcpStream::from_std(stream).unwrap()
    });
    server.stop.cancel();
    let mut answered = 0;
    for mut stream in streams {
        answered += read_to_end(&mut stream).await.matches("HTTP/1.1 200 ").count();
    }
    assert_eq!(answered, 8);
    timeout(RESPONSE_TIMEOUT, server.task).await.unwrap().unwrap();
}

/// A connection that is closed when the server stops may hold a request that nothing has read yet.
#[tokio::test]
async fn a_stop_serves_requests_that_have_arrived_on_open_connections() {
    let server = start(Fleet::new(1), Limits::default()).await;
    let mut streams = Vec::new();
    for number in 0..8 {
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        // Every second connection has served a request and is idle.
        if number % 2 == 0 {
            stream.write_all(request_text(&Call::draft("first")).as_bytes()).await.unwrap();
            let mut reply = Vec::new();
            while !String::from_utf8_lossy(&reply).ends_with('}') {
                assert_ne!(stream.read_buf(&mut reply).await.unwrap(), 0);
            }
        }
        streams.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    for stream in &streams {
        let request = request_text(&Call::draft("last"));
        assert_eq!(stream.try_write(request.as_bytes()).unwrap(), request.len());
    }
    server.stop.cancel();
    let mut answered = 0;
    for mut stream in streams {
        answered += read_to_end(&mut stream).await.matches("HTTP/1.1 200 ").count();
    }
    assert_eq!(answered, 8);
    timeout(RESPONSE_TIMEOUT, server.task).await.unwrap().unwrap();
}

#[tokio::test]
async fn a_caller_that_does_not_read_is_disconnected() {
    const BODY_BYTES: usize = 500_000;
    let limits =
        Limits { max_body_bytes: BODY_BYTES, max_total_body_bytes: 16 << 20, ..small_limits() };
    let server = start(Fleet::new(1), limits).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    // The responses are as large as the requests and are not read.
    let sending = async {
        for number in 0..1000 {
            let call = Call::booking(&"x".repeat(BODY_BYTES)).key(key(1, &format!("k{number}")));
            if stream.write_all(request_text(&call).as_bytes()).await.is_err() {
                return number;
            }
        }
        unreachable!("the server accepted every request");
    };
    let sent = timeout(RESPONSE_TIMEOUT, sending).await;
    assert!(sent.is_ok_and(|sent| sent < 100), "the server closes the connection");
}

/// The run of a request has ended before its response is sent, so that a count of runs misses a response
/// that the end of the process cuts.
#[tokio::test]
async fn a_response_that_is_not_read_counts_as_a_request_until_it_is_cut() {
    // More than the socket buffers hold.
    const BODY_BYTES: usize = 12 << 20;
    const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
    const PAUSE: Duration = Duration::from_millis(500);
    let limits = Limits { max_body_bytes: BODY_BYTES * 2, ..Limits::default() };
    let mut server = start(Fleet::new(1), limits).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(server.address).await.unwrap();
    let call = Call::booking(&"x".repeat(BODY_BYTES)).key(key(1, "large"));
    stream.write_all(request_text(&call).as_bytes()).await.unwrap();
    while server.bench.fleet.runs() == 0 || server.bench.home.running() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    server.stop.cancel();
    assert!(timeout(PAUSE, &mut server.task).await.is_err(), "the server waits for its caller");
    assert_eq!((server.bench.home.running(), server.handle.busy_count()), (0, 1));
    server.handle.cut();
    timeout(RESPONSE_TIMEOUT, server.task).await.unwrap().unwrap();
    assert_eq!(server.handle.busy_count(), 0);
}
