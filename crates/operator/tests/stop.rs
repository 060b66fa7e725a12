//! A server that stops answers what has arrived.

mod common;

use std::{io::Write as _, net::TcpStream as BlockingStream, time::Duration};

use common::TestServer;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

const REQUEST: &[u8] = b"GET /livez HTTP/1.1\r\nHost: h1\r\n\r\n";
const CONNECTION_COUNT: usize = 8;

/// The number of responses until the server closes the connection.
async fn response_count(stream: &mut TcpStream) -> usize {
    let mut response = Vec::new();
    // The server may reset the connection.
    stream.read_to_end(&mut response).await.ok();
    String::from_utf8_lossy(&response).matches("HTTP/1.1 200 OK").count()
}

/// A listener that is dropped resets the connections in its accept queue.
#[tokio::test]
async fn connections_in_the_accept_queue_are_served() {
    let mut server = TestServer::start_default().await;
    tokio::task::yield_now().await;
    // Without letting the server run, as when its host is late.
    let streams = [(); CONNECTION_COUNT].map(|()| {
        let mut stream = BlockingStream::connect(server.address).expect("the server listens");
        stream.write_all(REQUEST).expect("the socket takes a small request");
        stream.set_nonblocking(true).expect("the socket is open");
        TcpStream::from_std(stream).expect("the runtime takes the socket")
    });
    server.stop.cancel();
    let mut answered = 0;
    for mut stream in streams {
        answered += response_count(&mut stream).await;
    }
    assert_eq!(answered, CONNECTION_COUNT);
    (&mut server.task).await.expect("the server stops");
}

/// A connection that is closed when the server stops may hold a request that nothing has read yet.
#[tokio::test]
async fn requests_that_have_arrived_on_open_connections_are_served() {
    let mut server = TestServer::start_default().await;
    let mut streams = Vec::new();
    for number in 0..CONNECTION_COUNT {
        let mut stream = TcpStream::connect(server.address).await.expect("the server listens");
        // Every second connection has served a request and is idle.
        if number % 2 == 0 {
            stream.write_all(REQUEST).await.expect("the connection is open");
            let mut response = Vec::new();
            while !response.ends_with(b"}") {
                let count = stream.read_buf(&mut response).await.expect("a response");
                assert_ne!(count, 0);
            }
        }
        streams.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    for stream in &streams {
        let written = stream.try_write(REQUEST).expect("the socket takes a small request");
        assert_eq!(written, REQUEST.len());
    }
    server.stop.cancel();
    let mut answered = 0;
    for mut stream in streams {
        answered += response_count(&mut stream).await;
    }
    assert_eq!(answered, CONNECTION_COUNT);
    (&mut server.task).await.expect("the server stops");
}
