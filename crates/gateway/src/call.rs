//! One request of a caller, from its placement to the head of its answer.

mod builder;
mod exchange;
mod held;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{BufMut as _, Bytes, BytesMut};
use compact_str::CompactString;
use hyper::{HeaderMap, Method, Response, StatusCode, header::CONTENT_LENGTH};
use hyssop_backend::blame::{Fingerprint, Standing};
use hyssop_document::{name::Backend, number::Tier};
use hyssop_policy::local::{
    decider::{End, OVERDUE, Verdict},
    demand::Demand,
};

use crate::{
    body::{Body, full, streamed},
    dialect::{Ask, Attempt},
    environment::{RetryPolicy, Route, Workspace},
    gateway::Gateway,
    http::head::Head,
    intake::ms,
    relay::Relay,
    reply::{Reason, Refusal},
};

pub use builder::Builder;
pub use exchange::{Answered, Exchange, Fault};
pub use held::Held;

/// The number of backend servers that are tried for one request, those that reject it included.
const MAX_TRIES: u32 = 4;
/// The least time left that another try is worth.
const LEAST_LEFT: Duration = Duration::from_millis(40);
/// The pause before a refused or unreachable backend server's pool is asked again.
const PAUSE: Duration = Duration::from_millis(15);
/// A request that may run again goes elsewhere when its first event is late by a multiple of what was
/// predicted and some time on top: sooner if the backend server has sent nothing to this daemon
/// meanwhile, later if it answers others, since a queue is not shorter for those who leave it.
const LATE_SILENT: (u32, Duration) = OVERDUE;
const LATE_ALIVE: (u32, Duration) = (6, Duration::from_millis(1_500));
/// The largest body of a failed answer that is kept while the request is tried elsewhere.
const SAVED_BYTES: usize = 64 << 10;
/// When callers come back after backend servers rejected their requests.
const REJECTED_RETRY: Duration = Duration::from_millis(200);

/// One request of a caller.
pub struct Call {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) ask: Ask,
    pub(crate) route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    tier: Tier,
    method: Method,
    target: CompactString,
    shared: Bytes,
    body: Held,
    fingerprint: Fingerprint,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    demand: Demand,
    tries: u32,
    /// How many backend servers may have run it.
    runs: u32,
    pub(crate) last_event: Option<u64>,
    pub(crate) version: u64,
    saved: Option<(Head, Bytes)>,
    /// The predicted time to the first event, when it was refused.
    predicted: Option<Duration>,
}

/// Why no answer came from one try, or from all.
#[derive(Debug)]
pub enum Failure {
    /// The daemon refuses; no backend server has run it.
    Refused(Refusal),
    /// It may have run, and broke.
    Broken(Fault),
    /// The time is over.
    Timeout,
}

enum Step {
    Opened(Box<(Exchange, Head)>),
    Again,
    Failed(Failure),
}

impl Call {
    /// Settings of a new call.
    pub fn builder(gateway: Arc<Gateway>, ask: Ask, route: Arc<Route>) -> Builder {
        Builder::new(gateway, ask, route)
    }

    /// Serves the call.
    pub async fn run(mut self) -> Response<Body> {
        match self.open().await {
            Ok((exchange, head)) => self.relay(exchange, &head),
            Err(failure) => self.failed(failure),
        }
    }

    /// Tries backend servers until one answers with a head that is to be passed on.
    pub(crate) async fn open(&mut self) -> Result<(Exchange, Head), Failure> {
        loop {
            match self.try_once().await {
                Step::Opened(opened) => return Ok(*opened),
                Step::Again => {}
                Step::Failed(failure) => return Err(failure),
            }
        }
    }

    /// Whether another backend server may get the request after one may have run it.
    pub(crate) fn may_rerun(&self) -> bool {
        self.route.retry_policy.allows_rerun()
            && self.runs < self.route.max_attempts.max(1)
            && self.tries < MAX_TRIES
            && self.left() > LEAST_LEFT
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    async fn try_once(&mut self) -> Step {
        let now = Instant::now();
        let standing = self.gateway.suspects.lock().status(self.fingerprint, now);
        if standing == Standing::Quarantined {
            return Step::Failed(Failure::Refused(Refusal::new(Reason::Quarantined)));
        }
        let suspect = standing == Standing::Suspect;
        let place = match self.place(suspect, now) {
            Verdict::Send(place) => place,
            Verdict::Refuse { reason, retry_after, predicted } => {
                self.predicted = predicted;
                return Step::Failed(self.refusal(reason.into(), retry_after));
            }
        };
        let snapshot = self.gateway.cache.snapshot();
        let Some(server) = snapshot.servers.get(&place.server).cloned() else {
            self.demand.excluded.push(place.server);
            return Step::Again;
        };
        self.tries += 1;
        let ticket = self.gateway.decider.lock().sent(&place, &self.demand, now);
        let suspect = suspect.then_some(self.fingerprint);
        let mut exchange = Exchange::new(Arc::clone(&self.gateway), server, ticket, suspect);
        tracing::info!(
            event = "sent", id = %self.ask.id, route = %self.route.name, tier = %self.tier,
            server = %place.server, attempt = self.tries,
            predicted_ms = place.predicted.as_millis() as u64, unread = place.unread,
            running = place.load.running, queued_tokens = place.load.unread_tokens,
            held_tokens = place.load.held_tokens, aside = place.aside,
            prompt = self.demand.prompt_tokens, version = self.version,
            applied = %snapshot.applied,
            source_age_ms = self.gateway.cache.source_age_ms(now), left_ms = self.left().as_millis() as u64,
            waited_ms = ms(self.arrived), after_event = self.last_event
        );
        let once = self.route.retry_policy == RetryPolicy::AtMostOnce;
        if let Err(fault) = exchange.connect(once).await {
            let end = fault.end_unsent();
            return self.not_run(exchange, &fault, end).await;
        }
        let head = self.request_head(&place.server);
        exchange.send(head, self.body.bytes());
        let answer = self.wait(&mut exchange, place.predicted, now).await;
        self.judge(exchange, answer).await
    }

    /// Waits for an answer's head. Gives up early only where another backend server can take over.
    async fn wait(
        &self,
        exchange: &mut Exchange,
        predicted: Duration,
        sent: Instant,
    ) -> Result<Answered, Fault> {
        if self.may_rerun() {
            for (factor, slack) in [LATE_SILENT, LATE_ALIVE] {
                let late =
                    (sent + predicted * factor + slack).saturating_duration_since(Instant::now());
                let answer = exchange.head(&self.method, &self.ask.id, late.min(self.left())).await;
                let plain = self.demand.prompt_tokens == 0;
                let give_up = plain || factor == LATE_ALIVE.0 || !exchange.server_heard_since(sent);
                match answer {
                    Err(Fault::Late(_)) if !give_up || !self.has_elsewhere(exchange) => {}
                    answer => return answer,
                }
            }
        }
        exchange.head(&self.method, &self.ask.id, self.left()).await
    }

    /// Whether another backend server would get the request now.
    fn has_elsewhere(&self, exchange: &Exchange) -> bool {
        let mut demand = self.demand.clone();
        demand.excluded.push(exchange.server.name.clone());
        let placed = self.gateway.decider.lock().place(&demand, Instant::now());
        matches!(placed, Verdict::Send(_))
    }

    /// Decides where it goes. A suspect runs where no other suspect of this daemon runs, if it can, so
    /// that the one which breaks a backend server is known.
    fn place(&self, suspect: bool, now: Instant) -> Verdict {
        if suspect {
            let mut alone = self.demand.clone();
            alone.excluded.extend(self.gateway.suspects.lock().occupied_servers());
            let verdict = self.gateway.decider.lock().place(&alone, now);
            if matches!(verdict, Verdict::Send(_)) {
                return verdict;
            }
        }
        self.gateway.decider.lock().place(&self.demand, now)
    }

    fn refusal(&self, reason: Reason, retry_after: Duration) -> Failure {
        if self.runs > 0 {
            // Something may have run, so that a refusal would promise too much.
            return Failure::Broken(Fault::Elsewhere);
        }
        Failure::Refused(Refusal::after(reason, retry_after))
    }

    /// Goes on after a try of which no byte reached a backend server, or that it rejected.
    async fn not_run(&mut self, mut exchange: Exchange, fault: &Fault, end: End) -> Step {
        let server = exchange.server.name.clone();
        tracing::info!(
            event = "not_run", id = %self.ask.id, %server, attempt = self.tries, %fault, %end
        );
        exchange.finish(end);
        self.demand.excluded.push(server);
        self.demand.repeat |= end == End::Rejected;
        if self.tries >= MAX_TRIES || self.left() < LEAST_LEFT {
            return Step::Failed(self.refusal(Reason::Rejected, REJECTED_RETRY));
        }
        tokio::time::sleep(PAUSE).await;
        Step::Again
    }

    async fn judge(&mut self, mut exchange: Exchange, answer: Result<Answered, Fault>) -> Step {
        let answered = match answer {
            Ok(answered) => answered,
            Err(fault) if exchange.is_unsent() => {
                return self.not_run(exchange, &fault, End::Unreachable).await;
            }
            Err(fault) => return self.broke(exchange, fault),
        };
        let Answered { head, mark } = answered;
        if mark.not_run {
            exchange.drain(&head).await;
            let wrong = head.status == StatusCode::MISDIRECTED_REQUEST;
            let end = if wrong { End::Unreachable } else { End::Rejected };
            return self.not_run(exchange, &Fault::Rejected(head.status), end).await;
        }
        let encoded = head.headers.contains_key(hyper::header::CONTENT_ENCODING);
        let success = head.status.is_success();
        if success && (!mark.signed || encoded) {
            return self.broke(exchange, Fault::Unsigned);
        }
        if is_promise(head.status) || !mark.signed && head.status.is_server_error() {
            return self.broke(exchange, Fault::Status(head.status));
        }
        self.runs += 1;
        if head.status.is_server_error() && self.may_rerun() {
            return self.save(exchange, head).await;
        }
        Step::Opened(Box::new((exchange, head)))
    }

    /// Keeps a failed answer and tries elsewhere.
    async fn save(&mut self, mut exchange: Exchange, head: Head) -> Step {
        let server = exchange.server.name.clone();
        let status = head.status.as_u16();
        let limit = self.left();
        match exchange.collect(head.framing, SAVED_BYTES, limit).await {
            Ok(body) => {
                tracing::info!(event = "failed_answer", id = %self.ask.id, %server, status);
                exchange.finish(End::Complete);
                self.saved = Some((head, body));
                self.demand.excluded.push(server);
                self.demand.repeat = true;
                Step::Again
            }
            Err(fault) => {
                self.runs -= 1;
                self.broke(exchange, fault)
            }
        }
    }

    /// Goes on after a try that may have run and gave no whole head.
    fn broke(&mut self, mut exchange: Exchange, fault: Fault) -> Step {
        self.runs += 1;
        self.took_break(&mut exchange, &fault);
        if self.left() < LEAST_LEFT {
            return Step::Failed(Failure::Timeout);
        }
        if self.may_rerun() { Step::Again } else { Step::Failed(Failure::Broken(fault)) }
    }

    /// Takes that an exchange broke, for this call and for those to come.
    pub(crate) fn took_break(&mut self, exchange: &mut Exchange, fault: &Fault) {
        let server = Arc::clone(&exchange.server);
        tracing::info!(
            event = "broken", id = %self.ask.id, server = %server.name, attempt = self.tries, %fault,
            after_ms = ms(self.arrived), last_event = self.last_event
        );
        let timeout = matches!(fault, Fault::Late(_));
        exchange.finish(if timeout && self.left() < LEAST_LEFT {
            End::Abandoned
        } else {
            End::Broken
        });
        self.demand.excluded.push(server.name.clone());
        self.demand.repeat = true;
        if fault.is_reset() {
            let now = Instant::now();
            self.gateway.suspects.lock().record_failure(&server.name, self.fingerprint, now);
            let gateway = Arc::clone(&self.gateway);
            tokio::spawn(async move { gateway.probe_server(&server.name, server.address).await });
        }
    }

    fn request_head(&self, server: &Backend) -> Bytes {
        let mut out = BytesMut::with_capacity(self.shared.len() + self.target.len() + 256);
        out.put_slice(self.method.as_str().as_bytes());
        out.put_u8(b' ');
        out.put_slice(self.target.as_bytes());
        out.put_slice(b" HTTP/1.1\r\n");
        out.put_slice(&self.shared);
        let attempt = Attempt {
            left: self.left(),
            server,
            workspace: self.workspace.as_ref().map(|workspace| &workspace.name),
            tier: self.tier,
            route_tier: self.route.tier,
            last_event: self.last_event,
        };
        self.gateway.dialect.write_attempt(&attempt, &mut out);
        let body = self.body.bytes();
        if !body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            out.put_slice(
                compact_str::format_compact!("content-length: {}\r\n", body.len()).as_bytes(),
            );
        }
        out.put_slice(b"\r\n");
        out.freeze()
    }

    fn relay(self, exchange: Exchange, head: &Head) -> Response<Body> {
        let mut response = answer(head, full(Bytes::new()));
        let streams = self.route.streams && head.status.is_success();
        if streams {
            // Another backend server may go on with it, so its length is not known.
            response.headers_mut().remove(CONTENT_LENGTH);
        }
        *response.body_mut() = streamed(Relay::new(self, exchange, head, streams));
        response
    }

    fn failed(self, failure: Failure) -> Response<Body> {
        if let Some((head, body)) = self.saved {
            let server_status = head.status.as_u16();
            tracing::info!(
                event = "answered", id = %self.ask.id, status = server_status, reason = "saved",
                after_ms = ms(self.arrived)
            );
            self.gateway.metrics.count_response(&self.route.name, server_status, "saved");
            return answer(&head, full(body));
        }
        let (refusal, cause) = match failure {
            Failure::Refused(refusal) => (refusal, CompactString::default()),
            Failure::Broken(fault) => {
                (Refusal::new(Reason::Broken), compact_str::format_compact!("{fault}"))
            }
            Failure::Timeout => (Refusal::new(Reason::Timeout), CompactString::default()),
        };
        let status = refusal.reason.status().as_u16();
        tracing::info!(
            event = "answered", id = %self.ask.id, route = %self.route.name, tier = %self.tier, status,
            reason = %refusal.reason, cause = %cause, tries = self.tries, runs = self.runs,
            version = self.version, after_ms = ms(self.arrived),
            retry_after_ms = refusal.retry_after.map(|after| after.as_millis() as u64),
            predicted_ms = self.predicted.map(|predicted| predicted.as_millis() as u64),
            source_age_ms = self.gateway.cache.source_age_ms(Instant::now())
        );
        let reason = compact_str::format_compact!("{}", refusal.reason);
        self.gateway.metrics.count_response(&self.route.name, status, &reason);
        let mut headers = HeaderMap::new();
        self.gateway.dialect.echo(&self.ask.id, &mut headers);
        refusal.response(headers)
    }
}

/// Statuses that promise that a request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// An answer with a backend server's status and headers.
fn answer(head: &Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = passed_on(&head.headers);
    response
}

/// An answer's headers without those that concern one connection.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    const OF_CONNECTION: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-authenticate",
    ];
    let mut passed = headers.clone();
    let named = headers.get_all(hyper::header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    for name in named.map(str::trim).chain(OF_CONNECTION) {
        passed.remove(name);
    }
    passed
}
