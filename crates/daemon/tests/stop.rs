//! A daemon that has exceeded its time to stop takes nothing more.

use std::{net::SocketAddr, time::Duration};

use clap::Parser as _;
use hyssop_daemon::{
    run::Daemon,
    settings::{Flags, Settings},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

const STOP_LIMIT: Duration = Duration::from_millis(300);
/// After the limit, and before the daemon ends without its operator.
const LATE: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(20);

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    listener.local_addr().expect("a bound listener has an address")
}

async fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the daemon listens");
    stream.write_all(text.as_bytes()).await.expect("the connection is open");
    stream
}

/// The count of aborted requests is final, while connections to operators keep the process alive. A
/// request that is taken meanwhile ends with the process, and nothing counts it.
#[tokio::test]
async fn no_request_is_taken_once_the_stop_limit_is_exceeded() {
    let (callers, operators) = (free_address().await, free_address().await);
    let settings = format!(
        r#"{{"host": "h1", "zone": "z1", "caller_address": "{callers}",
            "peer_address": "127.0.0.1:0", "operator_address": "{operators}",
            "platform_address": "127.0.0.1:1", "platform_prefix": "none",
            "operator_keys_sha256": [], "addresses_lifetime_ms": 0,
            "stop_limit_ms": {}}}"#,
        STOP_LIMIT.as_millis()
    );
    let flags = Flags::try_parse_from(["hyssopcourse", "--settings", "none"]).expect("flags");
    let settings = Settings::parse(settings.as_bytes(), &flags).expect("valid settings");
    let daemon = Daemon::bind(settings).await.expect("the addresses are free");
    let stop = CancellationToken::new();
    let running = tokio::spawn(daemon.run(stop.clone()));
    let mut caller = send(callers, "GET /v1/addresses HTTP/1.1\r\n").await;
    let operator = send(operators, "GET /livez HTTP/1.1\r\n").await;
    tokio::time::sleep(LATE).await;
    stop.cancel();
    tokio::time::sleep(STOP_LIMIT + LATE).await;
    assert!(!running.is_finished(), "an operator is still connected");
    // The connection may be closed.
    caller.write_all(b"host: h1\r\n\r\n").await.ok();
    let mut response = Vec::new();
    let read = timeout(TIMEOUT, caller.read_to_end(&mut response)).await;
    let _result = read.expect("the connection ends");
    assert_eq!(String::from_utf8_lossy(&response), "");
    drop(operator);
    let shutdown = timeout(TIMEOUT, running).await.expect("the daemon ends").expect("no panic");
    assert_eq!(shutdown.aborted, 0);
}
