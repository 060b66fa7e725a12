//! A gate that closes while the process has no file descriptor left. A test program of its own, as the limit
//! is that of the process.

use std::{
    io::{Read as _, Write as _},
    net::TcpStream as BlockingStream,
    time::Duration,
};

use hyssop_listener::Gate;
use rustix::process::{Resource, getrlimit, setrlimit};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// For how long there is no file descriptor.
const SHORTAGE: Duration = Duration::from_millis(80);

/// The connections in the accept queue were reset at the first accept that failed.
#[tokio::test]
async fn a_gate_that_closes_waits_for_file_descriptors() {
    let gate = Gate::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let to = listener.local_addr().expect("a bound socket has an address");
    gate.listen(listener, "test", async |mut stream, _| {
        let mut request = [0; 4];
        stream.read_exact(&mut request).await.expect("a request");
        stream.write_all(&request).await.expect("the caller reads");
    });
    tokio::task::yield_now().await;
    let calls = [(); 3].map(|()| {
        let mut stream = BlockingStream::connect(to).expect("a connection");
        stream.write_all(b"call").expect("the socket takes a small request");
        stream
    });
    let limit = getrlimit(Resource::Nofile);
    let mut none_left = limit;
    none_left.current = Some(1);
    setrlimit(Resource::Nofile, none_left).expect("the limit can be lowered");
    gate.close();
    tokio::time::sleep(SHORTAGE).await;
    setrlimit(Resource::Nofile, limit).expect("the limit can be restored");
    gate.ended().await;
    for mut call in calls {
        let mut response = Vec::new();
        call.read_to_end(&mut response).expect("the connection is not reset");
        assert_eq!(response, b"call");
    }
}
