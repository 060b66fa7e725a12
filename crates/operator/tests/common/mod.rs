//! A handler with fixed results, and a server that uses it. The tests of `hyssopctl` use both too.
#![allow(dead_code, reason = "each test file uses only some items")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::{FutureExt, future::BoxFuture};
use hyssop_document::{
    catalog::Catalog,
    digest::Digest,
    name,
    number::{Incarnation, Revision},
    order,
};
use hyssop_operator::{
    client::Client,
    handler::Handler,
    histogram::{self, Filter, Histogram},
    outcome::{self, Confirmation, Conflict},
    quarantine::{Entry, Fingerprint, Release, Report},
    readiness::Readiness,
    server::{Builder, Server},
    status::{Backend, Fleet, Host, Published, Queue, Scheduler, State},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

pub(crate) const KEY: &str = "operators-key";

pub(crate) const DOCUMENT: &str = r#"{
    "environment": "trial", "revision": 7,
    "classes": [{"name": "desk", "tier": 1, "first_token_ms": 800, "complete_ms": 5000,
                 "max_running_ms": 20000, "idempotent": true}],
    "workspaces": [{"name": "builders", "share": 3, "key_sha256":
        "4c94485e0c21ae6c41ce1dfe7b6bfaceea5ab68e40a2476f50208e526f506080"}],
    "zones": [{"name": "south-1"}, {"name": "south-2"}],
    "pools": [{"name": "drafting", "kind": "model", "latest_end_ms": 300000,
               "cold_limit": 1, "warm_limit": 8}],
    "backends": [{"name": "engine-1", "address": "127.0.0.1:7001", "zone": "south-1",
                  "pool": "drafting"}]
}"#;

/// A handler with fixed results. It counts orders and applies each after a delay.
#[derive(Default)]
pub(crate) struct FixedHandler {
    pub(crate) orders: AtomicU64,
    pub(crate) delay: Duration,
}

fn host(text: &str) -> name::Host {
    name::Host::new(text)
}

fn state() -> order::State {
    let zones_out = [name::Zone::new("south-2")].into();
    order::State { revision: Revision(4), zones_out, ..order::State::default() }
}

impl Handler for FixedHandler {
    fn status(&self) -> BoxFuture<'_, Fleet> {
        let backend = Backend {
            backend: name::Backend::new("engine-1"),
            zone: name::Zone::new("south-1"),
            state: State::Cold,
            limit: 1,
            share: 1,
            running: 0,
            reported: None,
        };
        let scheduler = Scheduler {
            group: "drafting#0".parse().expect("the text is a group"),
            votes: 2,
            listed: 3,
            queues: vec![Queue { class: name::Class::new("desk"), waiting: 5 }],
            backends: vec![backend],
        };
        let reached = Host {
            host: host("h1"),
            zone: name::Zone::new("south-1"),
            incarnation: Incarnation(0x0019_0000_0000_0001),
            caller_address: SocketAddr::from(([127, 0, 0, 1], 8001)),
            uptime_ms: 61_000,
            ready: true,
            leaving: false,
            document: Some(Published { revision: Revision(7), digest: Digest::of(b"7") }),
            orders: Published { revision: Revision(4), digest: state().digest() },
            platform: true,
            rejected: None,
            conflict: None,
            traffic: Default::default(),
            running: 2,
            schedulers: vec![scheduler],
        };
        let fleet = Fleet::from_hosts(host("h1"), state(), vec![reached], vec![host("h2")]);
        futures::future::ready(fleet).boxed()
    }

    fn orders(&self) -> BoxFuture<'_, order::State> {
        futures::future::ready(state()).boxed()
    }

    fn apply_order(&self, order: order::Order) -> BoxFuture<'_, outcome::Order> {
        self.orders.fetch_add(1, Ordering::SeqCst);
        async move {
            tokio::time::sleep(self.delay).await;
            let state = state();
            let if_revision = order.if_revision;
            if if_revision.is_some_and(|revision| revision != state.revision) {
                return outcome::Order::Conflict(Conflict { if_revision, state });
            }
            let state = order.apply(&state);
            outcome::Order::InForce(Confirmation::new(state, vec![host("h1")], vec![host("h2")]))
        }
        .boxed()
    }

    fn histograms(&self, filter: Filter) -> BoxFuture<'_, histogram::Report> {
        let mut row = histogram::Row::new(name::Class::new("desk"), None);
        row.answered = 3;
        row.on_target = 2;
        row.first_token = Histogram::new([(100, 2), (900, 1)]);
        let rows: Vec<_> = Some(row).into_iter().filter(|row| filter.matches(row)).collect();
        let reached = vec![(host("h1"), rows.clone()), (host("h3"), rows)];
        let report = histogram::Report::from_hosts(host("h1"), reached, vec![host("h2")]);
        futures::future::ready(report).boxed()
    }

    fn quarantine(&self) -> BoxFuture<'_, Report> {
        let entry = Entry {
            fingerprint: Fingerprint(0xfeed),
            workspace: Some(name::Workspace::new("builders")),
            pool: None,
            crashes: 2,
            expires_in_ms: 600_000,
        };
        futures::future::ready(Report { entries: vec![entry] }).boxed()
    }

    fn release(&self, fingerprint: Fingerprint) -> BoxFuture<'_, Release> {
        let released = fingerprint == Fingerprint(0xfeed);
        let in_force = vec![host("h1")];
        let release = Release { fingerprint, released, in_force, not_reached: vec![host("h2")] };
        futures::future::ready(release).boxed()
    }

    fn document(&self) -> BoxFuture<'_, Option<Catalog>> {
        futures::future::ready(Catalog::parse(DOCUMENT).ok()).boxed()
    }

    fn readiness(&self) -> BoxFuture<'_, Readiness> {
        let waiting = vec!["an answer of a peer".into()];
        futures::future::ready(Readiness::new(waiting)).boxed()
    }
}

/// A running server, which stops when dropped.
pub(crate) struct TestServer {
    pub(crate) address: SocketAddr,
    pub(crate) handler: Arc<FixedHandler>,
    pub(crate) stop: CancellationToken,
    pub(crate) task: tokio::task::JoinHandle<()>,
}

impl TestServer {
    pub(crate) async fn start(
        handler: FixedHandler,
        configure: impl FnOnce(Builder) -> Builder,
    ) -> Self {
        let handler = Arc::new(handler);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let builder = Server::builder(listener, handler.clone())
            .keys(vec![Digest::of(b"another-key"), Digest::of(KEY.as_bytes())]);
        let server = configure(builder).build();
        let address = server.local_addr().expect("the listener has an address");
        let stop = CancellationToken::new();
        let task = tokio::spawn(server.run(stop.clone()));
        Self { address, handler, stop, task }
    }

    pub(crate) async fn start_default() -> Self {
        Self::start(FixedHandler::default(), |builder| builder).await
    }

    pub(crate) fn client(&self) -> Client {
        Client::new([self.address]).key(KEY).expect("the key is valid")
    }

    /// Sends bytes and returns all received bytes once the server closes the connection.
    pub(crate) async fn send_raw(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("the server listens");
        // The server may close the connection before it has read everything.
        stream.write_all(bytes).await.ok();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.ok();
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Sends a request with the valid key and returns the status line and the body.
    pub(crate) async fn call(&self, method: &str, path: &str, body: &str) -> String {
        let headers = format!("Authorization: Bearer {KEY}\r\n");
        self.call_with_headers(method, path, &headers, body).await
    }

    /// Sends a request with extra headers and returns the status line and the body.
    pub(crate) async fn call_with_headers(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> String {
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h1\r\nConnection: close\r\n{headers}\
             Content-Length: {length}\r\n\r\n{body}"
        );
        let response = self.send_raw(request.as_bytes()).await;
        let status = response.lines().next().unwrap_or("no response").to_owned();
        let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        format!("{status}\n{body}")
    }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
