//! Fakes of the home's traits for tests in one process.
#![allow(dead_code, unreachable_pub, missing_docs)]
#![allow(clippy::unwrap_used, clippy::needless_pass_by_value)]

pub mod engine;
pub mod process;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::BodyExt as _;
use hyper::{Request, Response, http::request::Parts};
use hyssop_caller::{
    body::Body,
    directory::{Address, Addresses, Directory, Missing, Terms},
    handler::Handler,
    home::{self, Home},
    observer::{Measurement, Observer},
    permits::{self, Decision, Permits, Stale},
    quarantine::{Fingerprint, Quarantine, Status},
    registry,
    relay::{Error, Relay},
};
use hyssop_document::{
    collections::Map,
    digest::Digest,
    group::Group,
    model::{self, Kind},
    name,
    number::{Incarnation, Percent, Tier, Tokens},
};
use hyssop_policy::{
    decision::{Reason, Refusal},
    permit::{Id, Permit, Release},
};
use parking_lot::Mutex;

use self::{
    engine::{Fleet, FleetBackends},
    process::Process,
};

/// A fixed document, and the addresses of other daemons.
pub struct FakeDirectory {
    pub own: Incarnation,
    pub peers: Mutex<Map<Incarnation, SocketAddr>>,
}

fn class(name: &str, tier: u8, idempotent: bool) -> model::Class {
    model::Class {
        name: name::Class::new(name),
        tier: Tier(tier),
        first_token_ms: 5_000,
        complete_ms: 20_000,
        max_running_ms: 20_000,
        idempotent,
        floor_percent: Percent(0),
    }
}

fn pool(name: &str, kind: Kind) -> model::Pool {
    model::Pool {
        name: name::Pool::new(name),
        kind,
        latest_end_ms: 30_000,
        cold_limit: 1,
        warm_limit: 8,
        queue_limit: 100,
    }
}

impl Directory for FakeDirectory {
    fn workspace(&self, key: &Digest) -> Result<name::Workspace, Missing> {
        let known = [("key-desk", "desk"), ("key-quay", "quay")];
        let found = known.iter().find(|(text, _)| Digest::of(text.as_bytes()) == *key);
        found.map(|(_, name)| name::Workspace::new(name)).ok_or(Missing::Workspace)
    }

    fn terms(
        &self,
        key: &Digest,
        class_name: &name::Class,
        pool_name: &name::Pool,
    ) -> Result<Terms, Missing> {
        let workspace = self.workspace(key)?;
        let class = match class_name.as_str() {
            "draft" => class("draft", 2, true),
            "booking" => class("booking", 1, false),
            _ => return Err(Missing::Class),
        };
        let pool = match pool_name.as_str() {
            "model" => pool("model", Kind::Model),
            "orders" => pool("orders", Kind::Service),
            _ => return Err(Missing::Pool),
        };
        Ok(Terms { workspace, class, pool })
    }

    fn addresses(&self) -> Addresses {
        let address = Address {
            address: "127.0.0.1:1".parse().unwrap(),
            host: name::Host::new("h1"),
            zone: name::Zone::new("z1"),
            incarnation: self.own,
        };
        Addresses { lifetime_ms: 10_000, addresses: vec![address] }
    }

    fn incarnation(&self) -> Incarnation {
        self.own
    }

    fn locate(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        self.peers.lock().get(&incarnation).copied()
    }
}

/// Grants permits to the backend servers of a fleet in rotation.
pub struct FakePermits {
    pub scheduler: Incarnation,
    pub process: Process,
    pub fleet: Arc<Fleet>,
    pub granted: AtomicU64,
    pub requests: Mutex<Vec<permits::Request>>,
    pub released: Mutex<Vec<Release>>,
    /// Decisions to return before any permit is granted, last first.
    pub scripted: Mutex<Vec<Decision>>,
    /// The number of permits still to be reported as stale when checked.
    pub stale: AtomicU64,
}

impl FakePermits {
    fn grant(&self, request: &permits::Request) -> Option<Permit> {
        let number = self.granted.load(Ordering::SeqCst);
        let (backend, address) = self.fleet.choose(request, number)?;
        let id = Id { scheduler: self.scheduler, number };
        self.granted.fetch_add(1, Ordering::SeqCst);
        if request.suspect {
            self.fleet.record_suspect(id, address);
        }
        Some(Permit {
            id,
            group: Group { pool: request.pool.clone(), index: 0 },
            backend,
            address,
            backend_incarnation: self.fleet.incarnation(address),
            limit: 8,
            granted_at_ms: 0,
            use_timeout_ms: 500,
            latest_end_ms: 30_000,
        })
    }
}

impl Permits for FakePermits {
    fn request(&self, request: permits::Request) -> BoxFuture<'_, Decision> {
        self.requests.lock().push(request.clone());
        if let Some(decision) = self.scripted.lock().pop() {
            return Box::pin(async move { decision });
        }
        Box::pin(async move {
            loop {
                self.process.wait_running().await;
                let ended = self.fleet.suspect_ended.notified();
                if let Some(permit) = self.grant(&request) {
                    return Decision::Granted(permit);
                }
                if !request.suspect || self.fleet.suspects.lock().is_empty() {
                    let refusal = Refusal { reason: Reason::NoBackend, retry_after_ms: 500 };
                    return Decision::Refused(refusal);
                }
                ended.await;
            }
        })
    }

    fn check(&self, _permit: &Permit) -> Result<(), Stale> {
        let taken =
            self.stale.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
        if taken.is_ok() { Err(Stale) } else { Ok(()) }
    }

    fn release(&self, release: Release) {
        self.fleet.release(release.id);
        self.released.lock().push(release);
    }

    fn record_progress(&self, _id: Id, _tokens: Tokens) {}
}

/// Crash records, shared by all homes of a test.
#[derive(Default)]
pub struct FakeQuarantine {
    pub crashes: Mutex<Map<Fingerprint, u32>>,
}

impl Quarantine for FakeQuarantine {
    fn status(&self, fingerprint: Fingerprint) -> Status {
        match self.crashes.lock().get(&fingerprint) {
            None => Status::Clear,
            Some(1 | 2) => Status::Suspect,
            Some(_) => Status::Quarantined,
        }
    }

    fn blame(&self, fingerprint: Fingerprint, solo: bool) -> Status {
        let mut crashes = self.crashes.lock();
        let count = crashes.entry(fingerprint).or_insert(0);
        *count = (*count).max(1) + u32::from(solo);
        drop(crashes);
        self.status(fingerprint)
    }

    fn clear_suspect(&self, fingerprint: Fingerprint) {
        let mut crashes = self.crashes.lock();
        if crashes.get(&fingerprint) == Some(&1) {
            crashes.remove(&fingerprint);
        }
    }
}

/// Relays to homes in the same process.
#[derive(Default)]
pub struct FakeRelay {
    pub homes: Mutex<Map<SocketAddr, (Home, Process)>>,
    /// Whether responses of the other daemon are lost.
    pub drop_responses: std::sync::atomic::AtomicBool,
}

impl Relay for FakeRelay {
    fn relay(
        &self,
        address: SocketAddr,
        relayed_by: compact_str::CompactString,
        mut head: Parts,
        body: Bytes,
    ) -> BoxFuture<'_, Result<Response<Body>, Error>> {
        let home = self.homes.lock().get(&address).cloned();
        Box::pin(async move {
            let exited = || Error { exited: true, message: "gone".into() };
            let (home, process) = home.ok_or_else(exited)?;
            if process.get() == process::State::Exited {
                return Err(exited());
            }
            process.wait_running().await;
            head.headers.insert("x-relayed-by", relayed_by.parse().unwrap());
            let response = home.serve(head, body).await;
            if self.drop_responses.load(Ordering::SeqCst) {
                return Err(Error { exited: false, message: "lost".into() });
            }
            Ok(response)
        })
    }
}

/// Collects measurements.
#[derive(Default)]
pub struct Measurements(pub Mutex<Vec<Measurement>>);

impl Observer for Measurements {
    fn on_end(&self, measurement: &Measurement) {
        self.0.lock().push(measurement.clone());
    }
}

/// One home with its fakes.
pub struct Bench {
    pub home: Home,
    pub process: Process,
    pub address: SocketAddr,
    pub directory: Arc<FakeDirectory>,
    pub permits: Arc<FakePermits>,
    pub quarantine: Arc<FakeQuarantine>,
    pub measurements: Arc<Measurements>,
    pub fleet: Arc<Fleet>,
    pub relay: Arc<FakeRelay>,
}

pub fn incarnation(number: u64) -> Incarnation {
    Incarnation::new(1_700_000_000_000 + number, number)
}

impl Bench {
    pub fn new(fleet: Arc<Fleet>) -> Self {
        Self::with(1, fleet, Arc::default(), Arc::default(), |builder| builder)
    }

    pub fn with(
        number: u64,
        fleet: Arc<Fleet>,
        quarantine: Arc<FakeQuarantine>,
        relay: Arc<FakeRelay>,
        configure: impl FnOnce(home::Builder) -> home::Builder,
    ) -> Self {
        let process = Process::default();
        let directory =
            Arc::new(FakeDirectory { own: incarnation(number), peers: Mutex::default() });
        let permits = Arc::new(FakePermits {
            scheduler: directory.own,
            process: process.clone(),
            fleet: Arc::clone(&fleet),
            granted: AtomicU64::new(0),
            requests: Mutex::default(),
            released: Mutex::default(),
            scripted: Mutex::default(),
            stale: AtomicU64::new(0),
        });
        let measurements = Arc::new(Measurements::default());
        let limits =
            home::Limits { abandon_grace: Duration::from_millis(100), ..home::Limits::default() };
        let backends = Arc::new(FleetBackends { fleet: fleet.clone(), process: process.clone() });
        let builder = Home::builder(directory.clone(), permits.clone(), backends)
            .quarantine(quarantine.clone())
            .relay(relay.clone())
            .observer(measurements.clone())
            .limits(limits);
        let home = configure(builder).build();
        let address = ([127, 0, 0, 1], number as u16).into();
        Self { home, process, address, directory, permits, quarantine, measurements, fleet, relay }
    }

    pub fn with_registry_limits(limits: registry::Limits, fleet: Arc<Fleet>) -> Self {
        Self::with(1, fleet, Arc::default(), Arc::default(), |builder| {
            builder.registry_limits(limits)
        })
    }

    /// Sends a request and reads the reply to its end.
    pub async fn send(&self, call: Call) -> Reply {
        let (head, body) = call.parts();
        Reply::read(self.home.serve(head, body).await).await
    }
}

/// A request to be sent.
#[derive(Clone)]
pub struct Call {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Call {
    /// An idempotent request to the model.
    pub fn draft(prompt: &str) -> Self {
        let body = serde_json::json!({"model": "model", "prompt": prompt, "max_tokens": 12});
        Self::new("/v1/completions", "draft", body.to_string())
    }

    /// A non-idempotent request to the plain service.
    pub fn booking(what: &str) -> Self {
        Self::new("/v1/services/orders/book", "booking", what.to_owned())
    }

    pub fn new(path: &str, class: &str, body: String) -> Self {
        let headers = vec![
            ("authorization".to_owned(), "Bearer key-desk".to_owned()),
            ("request-class".to_owned(), class.to_owned()),
            ("x-request-id".to_owned(), "r1".to_owned()),
        ];
        Self { path: path.to_owned(), headers, body }
    }

    pub fn set(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.retain(|(old, _)| old != name);
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn key(self, key: impl ToString) -> Self {
        self.set("idempotency-key", key)
    }

    pub fn stream(mut self) -> Self {
        let mut body: serde_json::Value = serde_json::from_str(&self.body).unwrap();
        body["stream"] = true.into();
        self.body = body.to_string();
        self
    }

    pub fn parts(self) -> (Parts, Bytes) {
        let mut builder = Request::post(self.path);
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        let (head, ()) = builder.body(()).unwrap().into_parts();
        (head, self.body.into())
    }
}

/// A key bound to a home, issued now.
pub fn key(home: u64, part: &str) -> String {
    key_at(home, now_ms(), part)
}

pub fn key_at(home: u64, issued_ms: u64, part: &str) -> String {
    format!("{}.{issued_ms}.{part}", incarnation(home))
}

pub fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    since.unwrap().as_millis() as u64
}

/// A response that was read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub body: String,
    pub aborted: bool,
}

impl Reply {
    pub async fn read(response: Response<Body>) -> Self {
        let (head, mut body) = response.into_parts();
        let outcome = head.headers.get("request-outcome");
        let outcome = outcome.map_or(String::new(), |value| value.to_str().unwrap().to_owned());
        let mut bytes = Vec::new();
        let mut aborted = false;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => aborted = true,
            }
        }
        let body = String::from_utf8(bytes).unwrap();
        Self { status: head.status.as_u16(), outcome, body, aborted }
    }

    /// The text of a model's JSON response or event stream.
    pub fn text(&self) -> String {
        let choice = |value: &serde_json::Value| {
            value["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
        };
        if !self.body.contains("data: ") {
            return serde_json::from_str(&self.body).map_or(String::new(), |value| choice(&value));
        }
        let data = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let chunks = data.filter_map(|data| serde_json::from_str(data).ok());
        chunks.map(|chunk| choice(&chunk)).collect()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    pub fn ran(&self) -> String {
        self.json()["ran"].as_str().unwrap_or_default().to_owned()
    }

    pub fn reason(&self) -> String {
        self.json()["reason"].as_str().unwrap_or_default().to_owned()
    }
}

/// A clock that reads the simulated time of tokio.
#[derive(Debug)]
pub struct Simulated;

impl hyssop_timer::Clock for Simulated {
    fn now(&self) -> std::time::Instant {
        tokio::time::Instant::now().into_std()
    }
}
