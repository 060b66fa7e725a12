//! The reader, run against a platform with scripted responses.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use expect_test::expect;
use hyssop_published::{
    Key,
    backoff::Backoff,
    client::{Client, Error, Value},
    hosts,
    reader::{Mode, Reader, Sink},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use tokio_util::sync::CancellationToken;

/// Serves one connection for each scripted response, and returns the request lines.
async fn serve(listener: TcpListener, responses: Vec<&'static str>) -> Vec<String> {
    let mut lines = Vec::new();
    for response in responses {
        let (mut stream, _) = listener.accept().await.expect("accept on loopback");
        let mut buffer = vec![0; 4096];
        let read = stream.read(&mut buffer).await.expect("read the request");
        let text = String::from_utf8_lossy(&buffer[..read]);
        lines.push(text.lines().next().unwrap_or_default().to_owned());
        stream.write_all(response.as_bytes()).await.expect("write the response");
    }
    lines
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind on loopback");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

#[derive(Default)]
struct Recorder {
    events: Mutex<Vec<String>>,
    stop: CancellationToken,
    /// The number of events after which the reader is stopped.
    limit: usize,
}

impl Recorder {
    fn push(&self, event: String) {
        let mut events = self.events.lock().expect("no panic while held");
        events.push(event);
        if events.len() == self.limit {
            self.stop.cancel();
        }
    }
}

impl Sink for Recorder {
    fn mode(&self) -> Mode {
        Mode::Watch
    }

    fn on_value(&self, key: Key, value: Value) {
        let bytes = value.bytes.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        self.push(format!("{key} index={} value={bytes:?}", value.index));
    }

    fn on_failure(&self, key: Key, error: &Error) {
        self.push(format!("{key} failed: {error}"));
    }
}

#[tokio::test]
async fn a_reader_watches_backs_off_and_reads_without_waiting_after_a_failure() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(serve(
        listener,
        vec![
            "HTTP/1.1 200 OK\r\nx-consul-index: 7\r\ncontent-length: 1\r\nconnection: close\r\n\r\na",
            "HTTP/1.1 200 OK\r\nx-consul-index: 9\r\ncontent-length: 1\r\nconnection: close\r\n\r\nb",
            "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
            "HTTP/1.1 404 Not Found\r\nx-consul-index: 3\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: close\r\n\r\nc",
        ],
    ));
    let client = Client::new(address, "/hyssop/", Duration::from_secs(2));
    let recorder = Arc::new(Recorder { limit: 5, ..Recorder::default() });
    let stop = recorder.stop.clone();
    let sink: Arc<dyn Sink> = Arc::<Recorder>::clone(&recorder);
    let run = Reader::new(client, Key::Document).run(sink, stop);
    tokio::time::timeout(Duration::from_secs(20), run).await.expect("the script ends");
    let mut report = server.await.expect("the script does not panic");
    report.append(&mut recorder.events.lock().expect("no panic while held"));
    expect![[r#"
        GET /v1/kv/hyssop/document?raw HTTP/1.1
        GET /v1/kv/hyssop/document?raw&index=7&wait=20000ms HTTP/1.1
        GET /v1/kv/hyssop/document?raw&index=9&wait=20000ms HTTP/1.1
        GET /v1/kv/hyssop/document?raw HTTP/1.1
        GET /v1/kv/hyssop/document?raw&index=3&wait=20000ms HTTP/1.1
        document index=7 value=Some("a")
        document index=9 value=Some("b")
        document failed: the platform's call limit is exceeded
        document index=3 value=None
        document failed: the platform's response has no index"#]]
    .assert_eq(&report.join("\n"));
}

#[tokio::test]
async fn a_value_above_the_size_limit_is_rejected() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept on loopback");
        let mut buffer = vec![0; 4096];
        let _request = stream.read(&mut buffer).await;
        let head = "HTTP/1.1 200 OK\r\nx-consul-index: 1\r\ncontent-length: 1048577\r\n\r\n";
        let _sent = stream.write_all(head.as_bytes()).await;
        let _sent = stream.write_all(&vec![b'x'; 1_048_577]).await;
    });
    let client = Client::new(address, "hyssop", Duration::from_secs(5));
    let error = client.read(Key::Document).await.expect_err("the value is too large");
    assert!(matches!(error, Error::TooLarge), "{error}");
    server.await.expect("the script does not panic");
}

#[test]
fn the_backoff_delay_grows_to_its_limit_and_is_reset_by_a_success() {
    let (base, limit) = (Duration::from_millis(100), Duration::from_secs(5));
    let mut backoff = Backoff::new(base, limit, 1);
    for failures in 0..20_u32 {
        let bound = base.saturating_mul(1 << failures.min(16)).min(limit);
        let delay = backoff.next_delay(None);
        assert!(delay <= bound && delay >= bound / 2, "{delay:?} after {failures} failures");
    }
    assert_eq!(backoff.next_delay(Some(Duration::from_secs(60))), limit);
    backoff.reset();
    assert!(backoff.next_delay(None) <= base);
}

#[test]
fn a_list_of_hosts_is_parsed_or_rejected_as_a_whole() {
    bolero::check!().with_iterations(2000).for_each(|bytes: &[u8]| {
        let _result = hosts::parse(bytes);
    });
    let entry = r#"{"host":"h1","zone":"z1","peer_address":"127.0.0.1:1","state":"live"}"#;
    let twice = format!(r#"{{"hosts":[{entry},{entry}]}}"#);
    let error = hosts::parse(twice.as_bytes()).expect_err("a name is listed twice");
    expect!["the list of hosts names h1 twice"].assert_eq(&error.to_string());
}

#[tokio::test]
async fn a_missing_value_without_an_index_is_not_an_error() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(serve(
        listener,
        vec!["HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"],
    ));
    let client = Client::new(address, "hyssop", Duration::from_secs(2));
    let value = client.read(Key::Orders).await.expect("nothing is published yet");
    assert_eq!(value.bytes, None);
    server.await.expect("the script does not panic");
}

/// A read that was given up before a large value had arrived began anew, and never brought it.
#[tokio::test]
async fn a_value_may_arrive_slowly() {
    const PARTS: usize = 12;
    const PART_BYTES: usize = 20_000;
    let (listener, address) = listen().await;
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept on loopback");
        let mut request = vec![0; 4096];
        let read = stream.read(&mut request).await.expect("read the request");
        assert!(read > 0, "the client closed the connection");
        let length = PARTS * PART_BYTES;
        let head =
            format!("HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("write the head");
        for _ in 0..PARTS {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if stream.write_all(&[b'x'; PART_BYTES]).await.is_err() {
                return;
            }
        }
    });
    let client = Client::new(address, "hyssop", Duration::from_millis(700));
    let value = client.read(Key::Document).await;
    let bytes = value.map(|value| value.bytes.map(|bytes| bytes.len()));
    assert!(matches!(bytes, Ok(Some(length)) if length == PARTS * PART_BYTES), "{bytes:?}");
    serving.await.expect("the server ends");
}

/// A server that stops in the middle of a value must not hold a read for ever.
#[tokio::test]
async fn a_value_that_stops_arriving_times_out() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept on loopback");
        let head = b"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: 100\r\n\r\nxx";
        stream.write_all(head).await.expect("write the head");
        std::future::pending::<()>().await;
    });
    let client = Client::new(address, "hyssop", Duration::from_millis(200));
    let value = client.read(Key::Document).await;
    assert!(matches!(value, Err(Error::Timeout(_))), "{value:?}");
}
