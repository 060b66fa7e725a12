//! A fleet of stand-ins for engines and plain services, without sockets.

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
        Answer, Attempt, Backends, Connection, Dropped, Failure, FailureKind, Part, Target,
    },
    outcome,
    permits::Ask,
};
use hyssop_document::{collections::Map, digest::Digest, model::Kind, name};
use hyssop_policy::permit::Id;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::life::Life;

/// What a backend server does with the next attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// Answers.
    Answer,
    /// Breaks the connection after so many tokens, and resumes.
    Break(u64),
    /// Breaks the connection after so many tokens, and does not know the attempt when it is
    /// resumed.
    Forget(u64),
    /// Breaks the connection after so many tokens, and does not accept a resumption.
    BreakForGood(u64),
    /// Dies after so many tokens.
    Die(u64),
    /// Answers 503.
    Overloaded,
    /// Answers with this status.
    Status(u16),
    /// Answers 503 as a plain service does, with a body.
    Unavailable,
    /// Answers with other tokens than it ought to from this number on.
    Differ(u64),
    /// Takes the request and says nothing.
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
    pub acts: Mutex<VecDeque<Act>>,
    pub known: Mutex<Map<CompactString, ()>>,
    pub incarnation: AtomicU64,
    /// Questions for its incarnation that get no answer.
    pub mute: AtomicU64,
}

/// The fleet.
pub struct Fleet {
    pub servers: Vec<Arc<Server>>,
    pub executions: Mutex<Vec<Execution>>,
    pub step: Duration,
    pub crashes: AtomicU64,
    pub refuse_connections: AtomicBool,
    /// Whether a dead server comes back by itself when it is chosen.
    pub restart: bool,
    /// Whether a dead server is back before anybody connects to it.
    pub quick: bool,
    /// Questions for its incarnation that a server leaves without an answer when it dies.
    pub mute: u64,
    /// The places of the suspects that run, by permit.
    pub solo: Mutex<Map<Id, usize>>,
    pub solo_ended: Notify,
    /// Where connections were asked for.
    pub targets: Mutex<Vec<Target>>,
}

impl Fleet {
    pub fn new(servers: usize) -> Arc<Self> {
        Arc::new(Self::build(servers))
    }

    pub fn build(servers: usize) -> Self {
        let server = || Server {
            alive: watch::Sender::new(true),
            acts: Mutex::default(),
            known: Mutex::default(),
            incarnation: AtomicU64::new(1),
            mute: AtomicU64::new(0),
        };
        Self {
            servers: (0..servers).map(|_| Arc::new(server())).collect(),
            executions: Mutex::default(),
            step: Duration::ZERO,
            crashes: AtomicU64::new(0),
            refuse_connections: AtomicBool::new(false),
            restart: true,
            quick: false,
            mute: 0,
            solo: Mutex::default(),
            solo_ended: Notify::new(),
            targets: Mutex::default(),
        }
    }

    /// Sets what every server does first.
    pub fn act(&self, act: Act) {
        for server in &self.servers {
            server.acts.lock().push_back(act);
        }
    }

    pub fn runs(&self) -> usize {
        self.executions.lock().len()
    }

    pub fn choose(&self, ask: &Ask, number: u64) -> Option<(name::Backend, SocketAddr)> {
        let count = self.servers.len();
        let order = (0..count).map(|offset| (number as usize + offset) % count);
        let name = |index: usize| name::Backend::new(&format!("b{index}"));
        let taken = self.solo.lock();
        let free = |index: usize| !ask.solo || !taken.values().any(|place| *place == index);
        let fits = |index: &usize| !ask.exclude.contains(&name(*index)) && free(*index);
        let index = order.clone().find(fits)?;
        let address = SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16));
        Some((name(index), address))
    }

    pub fn incarnation(&self, address: SocketAddr) -> u64 {
        let server = &self.servers[usize::from(address.port() - 9000)];
        server.incarnation.load(Ordering::SeqCst)
    }

    /// What the server itself says, if it answers.
    fn told_incarnation(&self, address: SocketAddr) -> Option<u64> {
        let server = &self.servers[usize::from(address.port() - 9000)];
        let take = |mute: u64| mute.checked_sub(1);
        let muted = server.mute.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        muted.is_err().then(|| self.incarnation(address))
    }

    /// Notes that a suspect runs where it was sent.
    pub fn take_solo(&self, id: Id, address: SocketAddr) {
        self.solo.lock().insert(id, usize::from(address.port() - 9000));
    }

    pub fn release(&self, id: Id) {
        if self.solo.lock().remove(&id).is_some() {
            self.solo_ended.notify_waiters();
        }
    }

    pub fn kill(&self, index: usize) {
        if self.servers[index].alive.send_replace(false) {
            self.crashes.fetch_add(1, Ordering::SeqCst);
            self.servers[index].known.lock().clear();
            self.servers[index].incarnation.fetch_add(1, Ordering::SeqCst);
            self.servers[index].mute.store(self.mute, Ordering::SeqCst);
        }
    }
}

/// The token with a number of the answer to a prompt.
pub fn token(body: &str, number: u64) -> String {
    let seed = format!("{body} {number}");
    format!("{:04x} ", Digest::of(seed.as_bytes()).short() & 0xffff)
}

pub const TOKENS: u64 = 12;

/// The whole answer to a body.
pub fn expected(body: &str) -> String {
    (1..=TOKENS).map(|number| token(&prompt(body), number)).collect()
}

/// The answer of an engine that differs from a number on.
pub fn differing(body: &str, from: u64) -> String {
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

fn failure(kind: FailureKind, ran: outcome::Execution) -> Failure {
    Failure { kind, ran, message: "stand-in".into() }
}

/// The fleet as a home uses it.
pub struct Door {
    pub fleet: Arc<Fleet>,
    pub life: Life,
}

impl Backends for Door {
    fn connect(&self, target: Target) -> BoxFuture<'_, Result<Box<dyn Connection>, Failure>> {
        self.fleet.targets.lock().push(target);
        let index = usize::from(target.address.port() - 9000);
        let server = &self.fleet.servers[index];
        let dead = !*server.alive.borrow();
        if dead && self.fleet.restart {
            // The connection that notices the crash is refused, later ones are not.
            server.alive.send_replace(true);
        }
        let refused =
            dead && !self.fleet.quick || self.fleet.refuse_connections.load(Ordering::SeqCst);
        let link = Link { fleet: Arc::clone(&self.fleet), life: self.life.clone(), index };
        Box::pin(async move {
            link.life.up().await;
            if refused {
                return Err(failure(
                    FailureKind::Connect { refused: true },
                    outcome::Execution::NotRun,
                ));
            }
            Ok(Box::new(link) as Box<dyn Connection>)
        })
    }

    fn incarnation(&self, address: SocketAddr) -> BoxFuture<'_, Option<u64>> {
        let incarnation = self.fleet.told_incarnation(address);
        Box::pin(async move { incarnation })
    }
}

struct Link {
    fleet: Arc<Fleet>,
    life: Life,
    index: usize,
}

impl Connection for Link {
    fn send(
        self: Box<Self>,
        attempt: Attempt,
    ) -> BoxFuture<'static, Result<Box<dyn Answer>, Failure>> {
        Box::pin(async move {
            let server = Arc::clone(&self.fleet.servers[self.index]);
            let known = server.known.lock().insert(attempt.id.clone(), ()).is_some();
            if attempt.resume_after.is_some_and(|after| after > 0) && !known {
                let kind =
                    FailureKind::Status { code: 404, content_type: None, body: "gone".into() };
                return Err(failure(kind, outcome::Execution::Ran));
            }
            let act = if attempt.resume_after.is_some() && known {
                Act::Answer
            } else {
                server.acts.lock().pop_front().unwrap_or(Act::Answer)
            };
            match act {
                Act::Overloaded => {
                    let kind = FailureKind::Overloaded { retry_after: None };
                    return Err(failure(kind, outcome::Execution::Ran));
                }
                Act::Status(code) => {
                    let body = "{\"error\":1}".into();
                    let content_type = Some("application/json".into());
                    let kind = FailureKind::Status { code, content_type, body };
                    return Err(failure(kind, outcome::Execution::Ran));
                }
                _ => {}
            }
            let body = String::from_utf8(attempt.body.to_vec()).unwrap();
            if attempt.resume_after.is_none() || !known {
                self.fleet.executions.lock().push(Execution {
                    at: tokio::time::Instant::now(),
                    backend: self.index,
                    attempt: attempt.id.clone(),
                    body: body.clone(),
                    cancelled: false,
                });
            }
            let poison = match attempt.kind {
                Kind::Model => Act::Die(3),
                Kind::Service => Act::Die(0),
            };
            let act = if body.contains("poison") { poison } else { act };
            let alive = server.alive.subscribe();
            let number = attempt.resume_after.unwrap_or(0);
            let (fleet, life, index) = (self.fleet, self.life, self.index);
            Ok(Box::new(Stream {
                fleet,
                life,
                index,
                attempt,
                body,
                act,
                number,
                alive,
                ended: false,
            }) as Box<dyn Answer>)
        })
    }
}

struct Stream {
    fleet: Arc<Fleet>,
    life: Life,
    index: usize,
    attempt: Attempt,
    body: String,
    act: Act,
    number: u64,
    alive: watch::Receiver<bool>,
    ended: bool,
}

impl Stream {
    async fn part(&mut self) -> Result<Option<Part>, Failure> {
        let broken = || failure(FailureKind::Broken, outcome::Execution::MayHaveRun);
        self.life.up().await;
        if self.alive.has_changed().unwrap_or(true) {
            return Err(broken());
        }
        let died = self.alive.changed();
        tokio::select! {
            biased;
            _ = died => return Err(broken()),
            () = tokio::time::sleep(self.fleet.step), if !self.fleet.step.is_zero() => {}
            () = tokio::task::yield_now(), if self.fleet.step.is_zero() => {}
        }
        match self.act {
            Act::Break(at) if self.number == at => return Err(broken()),
            Act::BreakForGood(at) if self.number == at => {
                let server = &self.fleet.servers[self.index];
                server.known.lock().remove(&self.attempt.id);
                return Err(failure(FailureKind::Silent, outcome::Execution::MayHaveRun));
            }
            Act::Forget(at) if self.number == at => {
                self.fleet.servers[self.index].known.lock().remove(&self.attempt.id);
                return Err(broken());
            }
            Act::Die(at) if self.number == at => {
                self.fleet.kill(self.index);
                return Err(broken());
            }
            Act::Hang => {
                let silence = tokio::time::sleep(self.attempt.silence);
                tokio::select! {
                    _ = self.alive.changed() => return Err(broken()),
                    () = silence => return Err(failure(FailureKind::Silent, outcome::Execution::MayHaveRun)),
                }
            }
            _ => {}
        }
        Ok(match self.attempt.kind {
            Kind::Model => self.token(),
            Kind::Service => self.piece(),
        })
    }

    fn token(&mut self) -> Option<Part> {
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
            return Some(Part::Usage { tokens: TOKENS, data: data.into() });
        }
        let differs = matches!(self.act, Act::Differ(from) if self.number >= from);
        let text =
            if differs { "other ".to_owned() } else { token(&prompt(&self.body), self.number) };
        let finish = if self.number == TOKENS { "\"stop\"" } else { "null" };
        let data = format!(
            "{{\"id\":\"cmpl-{id}\",\"choices\":[{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":{finish}}}]}}"
        );
        Some(Part::Token { number: Some(self.number), data: data.into() })
    }

    fn piece(&mut self) -> Option<Part> {
        self.number += 1;
        if self.number > 1 {
            self.ended = true;
            return None;
        }
        Some(Part::Body(booked(&self.body).into()))
    }
}

impl Answer for Stream {
    fn status(&self) -> u16 {
        if self.act == Act::Unavailable { 503 } else { 200 }
    }

    fn content_type(&self) -> Option<CompactString> {
        Some("text/plain".into())
    }

    fn next(&mut self) -> BoxFuture<'_, Result<Option<Part>, Failure>> {
        Box::pin(self.part())
    }

    fn dropped(&self) -> Dropped {
        Dropped::default()
    }
}

impl Drop for Stream {
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
