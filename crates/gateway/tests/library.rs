//! Shows why the gateway has its own HTTP client for backend servers. hyper's client accepts a
//! response to an earlier request that is left on a connection, and drops the response to its own.

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    thread,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

#[tokio::test]
async fn hyper_accepts_the_response_to_an_earlier_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 1_024]).expect("a request");
        assert!(read > 0);
        let response = |id: &str| {
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\n{id}")
        };
        stream.write_all(response("r-00").as_bytes()).expect("the client reads");
        stream.write_all(response("r-01").as_bytes()).expect("the client reads");
        // The client closes the connection without having returned the second response.
        let mut rest = Vec::new();
        drop(stream.read_to_end(&mut rest));
        assert!(rest.is_empty());
    });
    let stream = TcpStream::connect(address).await.expect("the server accepts");
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
    let driver = tokio::spawn(driver);
    let request = Request::get("/").header("Request-Id", "r-01").body(Empty::<Bytes>::new());
    let response = sender.send_request(request.expect("a request")).await.expect("a response");
    assert_eq!(response.headers()["Request-Id"], "r-00");
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    assert_eq!(&body[..], b"r-00");
    // The right response arrived too, but hyper has no way to return it, and ends the connection.
    drop(driver.await.expect("the driver does not panic"));
    server.join().expect("the server saw the connection end");
}
