//! Pool of connections to backend servers.

use std::time::Duration;

use hyssop_document::name::Backend;
use hyssop_gateway::http::pool::{Error, Pool};
use tokio::net::TcpListener;

/// Longer than a backend server may be silent before a request that must not be sent twice gets a new
/// connection.
const SILENT_TIME: Duration = Duration::from_millis(200);

/// Daemons join, so that the share of this one falls below the number of its idle connections. One
/// that closed a single idle connection for each new one refused requests while all were idle.
#[tokio::test]
async fn idle_connections_make_room_after_the_limit_has_fallen() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    let (pool, server) = (Pool::default(), Backend::new("engine-0"));
    let mut earlier = Vec::new();
    for _ in 0..9 {
        earlier.push(pool.acquire(&server, address, 9, true).await.expect("below the limit"));
    }
    earlier.into_iter().for_each(|connection| pool.release(&server, connection));
    tokio::time::sleep(SILENT_TIME).await;
    let mut in_use = Vec::new();
    for _ in 0..3 {
        let connection = pool.acquire(&server, address, 3, true).await;
        in_use.push(connection.expect("all connections in excess are idle"));
    }
    assert!(matches!(pool.acquire(&server, address, 3, true).await, Err(Error::Share)));
}
