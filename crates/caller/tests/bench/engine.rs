//! Fake engines and plain services without sockets.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use compact_str::CompactString;
use futures::future::BoxFuture;
use hyssop_caller::{
    backends::{
        Attempt, Backends, Chunk, Connection, Dropped, Failure, FailureKind, Response, Target,
    },
    outcome,
    permits::Request,
};
use hyssop_document::{collections::Map, digest::Digest, model::Kind, name};
use hyssop_policy::permit::Id;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::process::Process;

/// The behavior of a backend server at its next attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// Sends a complete response.
    Respond,
    /// Interrupts the connection after this many tokens and can resume.
    Interrupt(u64),
    /// Interrupts the connection after this many tokens and has no record of the attempt when it is
    /// resumed.
    Forget(u64),
    /// Reports a read timeout after this many tokens, which is not resumed.
    Timeout(u64),
    /// Crashes after this many tokens.
    Crash(u64),
    /// Returns 503 as an engine does.
    Overloaded,
    /// Returns this status.
    Status(u16),
    /// Returns 503 with a body, as a plain service does.
    Unavailable,
    /// Sends other tokens than expected from this number on.
    Diverge(u64),
    /// Accepts the request and sends nothing.
    Hang,
}

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    pub at: tokio::time::Instant,
    pub backend: usize,
    pub attempt: CompactString,
    pub body: String,
    pub cancelled: bool,
}

pub struct Server {
    pub alive: watch::Sender<bool>,
    pub behaviors: Mutex<VecDeque<Behavior>>,
    pub attempts: Mutex<Map<CompactString, ()>>,
    pub incarnation: AtomicU64,
    /// The number of queries for the incarnation that remain unanswered.
    pub unanswered_queries: AtomicU64,
    /// The number of connections that will be reset while they are opened.
    pub connection_resets: AtomicU64,
}

/// A set of fake backend servers.
pub struct Fleet {
    pub servers: Vec<Arc<Server>>,
    pub executions: Mutex<Vec<Execution>>,
    pub chunk_interval: Duration,
    pub crashes: AtomicU64,
    pub refuse_connections: AtomicBool,
    /// Whether a crashed server restarts when it is connected to.
    pub restart: bool,
    /// Whether a crashed server accepts connections at once.
    pub instant_restart: bool,
    /// The number of queries for the incarnation that a server leaves unanswered after a crash.
    pub unanswered_queries: u64,
    /// The number of connections that a server resets after a crash, before it refuses them.
    pub connection_resets: u64,
    /// The server indexes of running suspects by permit.
    pub suspects: Mutex<Map<Id, usize>>,
    pub suspect_ended: Notify,
    /// The targets of all connections.
    pub targets: Mutex<Vec<Target>>,
}

impl Fleet {
    pub fn new(servers: usize) -> Arc<Self> {
        Arc::new(Self::build(servers))
    }

    pub fn build(servers: usize) -> Self {
        let server = || Server {
            alive: watch::Sender::new(true),
            behaviors: Mutex::default(),
            attempts: Mutex::default(),
            incarnation: AtomicU64::new(1),
            unanswered_queries: AtomicU64::new(0),
            connection_resets: AtomicU64::new(0),
        };
        Self {
            servers: (0..servers).map(|_| Arc::new(server())).collect(),
            executions: Mutex::default(),
            chunk_interval: Duration::ZERO,
            crashes: AtomicU64::new(0),
            refuse_connections: AtomicBool::new(false),
            restart: true,
            instant_restart: false,
            unanswered_queries: 0,
            connection_resets: 0,
            suspects: Mutex::default(),
            suspect_ended: Notify::new(),
            targets: Mutex::default(),
        }
    }

    /// Queues a behavior at every server.
    pub fn inject(&self, behavior: Behavior) {
        for server in &self.servers {
            server.behaviors.lock().push_back(behavior);
        }
    }

    pub fn runs(&self) -> usize {
        self.executions.lock().len()
    }

    pub fn choose(&self, request: &Request, number: u64) -> Option<(name::Backend, SocketAddr)> {
        let count = self.servers.len();
        let order = (0..count).map(|offset| (number as usize + offset) % count);
        let name = |index: usize| name::Backend::new(&format!("b{index}"));
        let suspects = self.suspects.lock();
        let free = |index: usize| !request.suspect || !suspects.values().any(|busy| *busy == index);
        let fits = |index: &usize| !request.exclude.contains(&name(*index)) && free(*index);
        let index = order.clone().find(fits)?;
        let address = SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16));
        Some((name(index), address))
    }

    pub fn incarnation(&self, address: SocketAddr) -> u64 {
        let server = &self.servers[usize::from(address.port() - 9000)];
        server.incarnation.load(Ordering::SeqCst)
    }

    /// The server's response to a query for its incarnation.
    fn reported_incarnation(&self, address: SocketAddr) -> Option<u64> {
        let server = &self.servers[usize::from(address.port() - 9000)];
        let decrement = |queries: u64| queries.checked_sub(1);
        let unanswered =
            server.unanswered_queries.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement);
        unanswered.is_err().then(|| self.incarnation(address))
    }

    /// Records the server that a suspect runs on.
    pub fn record_suspect(&self, id: Id, address: SocketAddr) {
        self.suspects.lock().insert(id, usize::from(address.port() - 9000));
    }

    pub fn release(&self, id: Id) {
        if self.suspects.lock().remove(&id).is_some() {
            self.suspect_ended.notify_waiters();
        }
    }

    pub fn crash(&self, index: usize) {
        if self.servers[index].alive.send_replace(false) {
            self.crashes.fetch_add(1, Ordering::SeqCst);
            self.servers[index].attempts.lock().clear();
            self.servers[index].incarnation.fetch_add(1, Ordering::SeqCst);
            self.servers[index].unanswered_queries.store(self.unanswered_queries, Ordering::SeqCst);
            self.servers[index].connection_resets.store(self.connection_resets, Ordering::SeqCst);
        }
    }
}

/// The token with this number, from 1, of the expected response.
pub fn token(body: &str, number: u64) -> String {
    let seed = format!("{body} {number}");
    format!("{:04x} ", Digest::of(seed.as_bytes()).short() & 0xffff)
}

pub const TOKENS: u64 = 12;

/// The text of the expected response to a body.
pub fn expected(body: &str) -> String {
    (1..=TOKENS).map(|number| token(&prompt(body), number)).collect()
}

/// The text of a response that differs from a token number on.
pub fn diverging(body: &str, from: u64) -> String {
    let tokens = 1..=TOKENS;
    let other =
        |number| if number >= from { "other ".into() } else { token(&prompt(body), number) };
    tokens.map(other).collect()
}

pub fn booked(body: &str) -> String {
    format!("booked {body}")
}

fn prompt(body: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    value["prompt"].as_str().unwrap_or_default().to_owned()
}

fn failure(kind: FailureKind, execution: outcome::Execution) -> Failure {
    Failure { kind, execution, message: "fake".into() }
}

/// The fleet behind the trait of a home.
pub struct FleetBackends {
    pub fleet: Arc<Fleet>,
    pub process: Process,
}

impl Backends for FleetBackends {
    fn connect(&self, target: Target) -> BoxFuture<'_, Result<Box<dyn Connection>, Failure>> {
        self.fleet.targets.lock().push(target);
        let index = usize::from(target.address.port() - 9000);
        let server = &self.fleet.servers[index];
        let decrement = |resets: u64| resets.checked_sub(1);
        if server
            .connection_resets
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
        {
            let reset = FailureKind::Connect { refused: false };
            return Box::pin(async { Err(failure(reset, outcome::Execution::NotRun)) });
        }
        let crashed = !*server.alive.borrow();
        if crashed && self.fleet.restart {
            // Only the first connection after the crash is refused.
            server.alive.send_replace(true);
        }
        let refused = crashed && !self.fleet.instant_restart
            || self.fleet.refuse_connections.load(Ordering::SeqCst);
        let connection =
            FakeConnection { fleet: Arc::clone(&self.fleet), process: self.process.clone(), index };
        Box::pin(async move {
            connection.process.wait_running().await;
            if refused {
                return Err(failure(
                    FailureKind::Connect { refused: true },
                    outcome::Execution::NotRun,
                ));
            }
            Ok(Box::new(connection) as Box<dyn Connection>)
        })
    }

    fn incarnation(&self, address: SocketAddr) -> BoxFuture<'_, Option<u64>> {
        let incarnation = self.fleet.reported_incarnation(address);
        Box::pin(async move { incarnation })
    }
}

struct FakeConnection {
    fleet: Arc<Fleet>,
    process: Process,
    index: usize,
}

impl Connection for FakeConnection {
    fn send(
        self: Box<Self>,
        attempt: Attempt,
    ) -> BoxFuture<'static, Result<Box<dyn Response>, Failure>> {
        Box::pin(async move {
            let server = Arc::clone(&self.fleet.servers[self.index]);
            let is_known = server.attempts.lock().insert(attempt.id.clone(), ()).is_some();
            if attempt.resume_after.is_some_and(|after| after > 0) && !is_known {
                let kind =
                    FailureKind::Status { code: 404, content_type: None, body: "gone".into() };
                return Err(failure(kind, outcome::Execution::Ran));
            }
            let behavior = if attempt.resume_after.is_some() && is_known {
                Behavior::Respond
            } else {
                server.behaviors.lock().pop_front().unwrap_or(Behavior::Respond)
            };
            match behavior {
                Behavior::Overloaded => {
                    let kind = FailureKind::Overloaded { retry_after: None };
                    return Err(failure(kind, outcome::Execution::Ran));
                }
                Behavior::Status(code) => {
                    let body = "{\"error\":1}".into();
                    let content_type = Some("application/json".into());
                    let kind = FailureKind::Status { code, content_type, body };
                    return Err(failure(kind, outcome::Execution::Ran));
                }
                _ => {}
            }
            let body = String::from_utf8(attempt.body.to_vec()).unwrap();
            if attempt.resume_after.is_none() || !is_known {
                self.fleet.executions.lock().push(Execution {
                    at: tokio::time::Instant::now(),
                    backend: self.index,
                    attempt: attempt.id.clone(),
                    body: body.clone(),
                    cancelled: false,
                });
            }
            let poison = match attempt.kind {
                Kind::Model => Behavior::Crash(3),
                Kind::Service => Behavior::Crash(0),
            };
            let behavior = if body.contains("poison") { poison } else { behavior };
            let alive = server.alive.subscribe();
            let number = attempt.resume_after.unwrap_or(0);
            let (fleet, process, index) = (self.fleet, self.process, self.index);
            Ok(Box::new(FakeResponse {
                fleet,
                process,
                index,
                attempt,
                body,
                behavior,
                number,
                alive,
                ended: false,
            }) as Box<dyn Response>)
        })
    }
}

struct FakeResponse {
    fleet: Arc<Fleet>,
    process: Process,
    index: usize,
    attempt: Attempt,
    body: String,
    behavior: Behavior,
    number: u64,
    alive: watch::Receiver<bool>,
    ended: bool,
}

impl FakeResponse {
    async fn next_chunk(&mut self) -> Result<Option<Chunk>, Failure> {
        let interrupted = || failure(FailureKind::Interrupted, outcome::Execution::MayHaveRun);
        self.process.wait_running().await;
        if self.alive.has_changed().unwrap_or(true) {
            return Err(interrupted());
        }
        let crashed = self.alive.changed();
        tokio::select! {
            biased;
            _ = crashed => return Err(interrupted()),
            () = tokio::time::sleep(self.fleet.chunk_interval), if !self.fleet.chunk_interval.is_zero() => {}
            () = tokio::task::yield_now(), if self.fleet.chunk_interval.is_zero() => {}
        }
        match self.behavior {
            Behavior::Interrupt(at) if self.number == at => return Err(interrupted()),
            Behavior::Timeout(at) if self.number == at => {
                let server = &self.fleet.servers[self.index];
                server.attempts.lock().remove(&self.attempt.id);
                return Err(failure(FailureKind::Timeout, outcome::Execution::MayHaveRun));
            }
            Behavior::Forget(at) if self.number == at => {
                self.fleet.servers[self.index].attempts.lock().remove(&self.attempt.id);
                return Err(interrupted());
            }
            Behavior::Crash(at) if self.number == at => {
                self.fleet.crash(self.index);
                return Err(interrupted());
            }
            Behavior::Hang => {
                let read_timeout = tokio::time::sleep(self.attempt.read_timeout);
                tokio::select! {
                    _ = self.alive.changed() => return Err(interrupted()),
                    () = read_timeout => return Err(failure(FailureKind::Timeout, outcome::Execution::MayHaveRun)),
                }
            }
            _ => {}
        }
        Ok(match self.attempt.kind {
            Kind::Model => self.token(),
            Kind::Service => self.body_chunk(),
        })
    }

    fn token(&mut self) -> Option<Chunk> {
        self.number += 1;
        let id = &self.attempt.id;
        if self.number > TOKENS + 1 {
            self.ended = true;
            return None;
        }
        if self.number == TOKENS + 1 {
            let data = format!(
                "{{\"id\":\"cmpl-{id}\",\"choices\":[],\"usage\":{{\"completion_tokens\":{TOKENS}}}}}"
            );
            return Some(Chunk::Usage { tokens: TOKENS, data: data.into() });
        }
        let differs = matches!(self.behavior, Behavior::Diverge(from) if self.number >= from);
        let text =
            if differs { "other ".to_owned() } else { token(&prompt(&self.body), self.number) };
        let finish = if self.number == TOKENS { "\"stop\"" } else { "null" };
        let data = format!(
            "{{\"id\":\"cmpl-{id}\",\"choices\":[{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":{finish}}}]}}"
        );
        Some(Chunk::Token { number: Some(self.number), data: data.into() })
    }

    fn body_chunk(&mut self) -> Option<Chunk> {
        self.number += 1;
        if self.number > 1 {
            self.ended = true;
            return None;
        }
        Some(Chunk::Body(booked(&self.body).into()))
    }
}

impl Response for FakeResponse {
    fn status(&self) -> u16 {
        if self.behavior == Behavior::Unavailable { 503 } else { 200 }
    }

    fn content_type(&self) -> Option<CompactString> {
        Some("text/plain".into())
    }

    fn next(&mut self) -> BoxFuture<'_, Result<Option<Chunk>, Failure>> {
        Box::pin(self.next_chunk())
    }

    fn dropped(&self) -> Dropped {
        Dropped::default()
    }
}

impl Drop for FakeResponse {
    fn drop(&mut self) {
        if !self.ended {
            let mut executions = self.fleet.executions.lock();
            let own = executions.iter_mut().find(|run| run.attempt == self.attempt.id);
            if let Some(run) = own {
                run.cancelled = true;
            }
        }
    }
}
