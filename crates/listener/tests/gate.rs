//! A gate that closes.

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream as BlockingStream},
    time::Duration,
};

use hyssop_listener::Gate;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// How long a connection that is still needed takes.
const WORK_TIME: Duration = Duration::from_millis(100);

async fn reply(mut stream: TcpStream, _peer: SocketAddr) {
    let mut request = [0; 4];
    stream.read_exact(&mut request).await.expect("a request");
    tokio::time::sleep(WORK_TIME).await;
    stream.write_all(&request).await.expect("the caller reads");
}

async fn listen(gate: &Gate) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    gate.listen(listener, "test", reply);
    address
}

/// Connects and sends a request without letting a task of the runtime run.
fn send(to: SocketAddr) -> BlockingStream {
    let mut stream = BlockingStream::connect(to).expect("a connection");
    stream.write_all(b"call").expect("the socket takes a small request");
    stream
}

fn receive(mut stream: BlockingStream) -> Vec<u8> {
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("the connection is not reset");
    response
}

/// A listener that is dropped resets the connections in its accept queue.
#[tokio::test]
async fn connections_in_the_accept_queue_are_served_when_a_gate_closes() {
    let gate = Gate::default();
    let to = listen(&gate).await;
    tokio::task::yield_now().await;
    let calls = [(); 5].map(|()| send(to));
    gate.close();
    gate.ended().await;
    for call in calls {
        assert_eq!(receive(call), b"call");
    }
}

/// A connection that is closed with its listener may hold a request that the runtime has not polled for.
#[tokio::test]
async fn what_has_arrived_when_a_gate_closes_can_be_read() {
    let gate = Gate::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let to = listener.local_addr().expect("a bound socket has an address");
    let connections = gate.clone();
    gate.listen(listener, "test", move |mut stream, _| {
        let gate = connections.clone();
        async move {
            let mut request = [0; 4];
            tokio::select! {
                biased;
                read = stream.read_exact(&mut request) => drop(read.expect("a request")),
                () = gate.last_read() => return,
            }
            stream.write_all(&request).await.expect("the caller reads");
        }
    });
    let mut stream = BlockingStream::connect(to).expect("a connection");
    while gate.connection_count() == 0 {
        tokio::task::yield_now().await;
    }
    stream.write_all(b"call").expect("the socket takes a small request");
    gate.close();
    gate.ended().await;
    assert_eq!(receive(stream), b"call");
}

/// A gate that has ended while a listener was open could take a connection afterwards.
#[tokio::test]
async fn a_gate_has_ended_once_nothing_can_arrive_and_nothing_is_open() {
    let gate = Gate::default();
    let addresses = [listen(&gate).await, listen(&gate).await];
    let call = send(addresses[0]);
    assert!(timeout(WORK_TIME * 2, gate.ended()).await.is_err(), "ended without being closed");
    assert_eq!(receive(call), b"call");
    let call = send(addresses[1]);
    gate.close();
    assert!(timeout(WORK_TIME / 2, gate.ended()).await.is_err(), "ended with a connection open");
    assert_eq!(gate.connection_count(), 1);
    gate.ended().await;
    assert_eq!(receive(call), b"call");
    for address in addresses {
        let refused = BlockingStream::connect(address).expect_err("the port is closed");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    }
}
