//! A caller's request, from the choice of a backend server to the response head.

mod blame;
mod buffered;
mod builder;
mod continuation;
mod exchange;
mod forward;
mod hedge;
mod race;
mod takeover;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{BufMut as _, Bytes, BytesMut};
use compact_str::CompactString;
use hyper::{HeaderMap, Method, Response, StatusCode, header::CONTENT_LENGTH};
use hyssop_backend::blame::{Fingerprint, Status};
use hyssop_document::{name::Backend, number::Tier};
use hyssop_policy::local::{
    decider::{self, Decision, End},
    demand::{Demand, SegmentIds},
};

use crate::{
    body::{Body, full, streamed},
    dialect::{AttemptMeta, RequestMeta},
    environment::{RetryPolicy, Route, Workspace},
    gateway::Gateway,
    http::head::Head,
    intake::elapsed_ms,
    metrics::Running,
    refusal::{Reason, Refusal},
    relay::Relay,
};

use self::{forward::Forwarded, race::Attempt};

pub use buffered::{BufferedBody, Reservation};
pub use builder::Builder;
pub use exchange::{Error, Exchange, ParsedHead};
pub(crate) use takeover::{Continuation, Takeover};

/// The maximum number of backend servers that receive one request, including those that reject it.
const MAX_TRIES: u32 = 4;
/// The maximum number of backend servers that can't be reached for one request. When many have
/// crashed, a request may meet several of them before a sound one.
const MAX_UNREACHED_TRIES: u32 = 8;
/// Another backend server is tried only if more time than this is left.
const MIN_TIME_LEFT: Duration = Duration::from_millis(40);
/// The pause before the next try after a rejection or a failed connection.
const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// How long an error body may take that is kept while another backend server is tried.
const SAVED_BODY_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum size of such an error body.
const MAX_SAVED_BODY_BYTES: usize = 64 << 10;
/// `Retry-After` for requests that backend servers rejected.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A caller's request while it is being served.
pub struct Call {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) meta: RequestMeta,
    pub(crate) route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    tier: Tier,
    method: Method,
    target: CompactString,
    /// The headers that all attempts share, in wire format.
    shared_headers: Bytes,
    /// The headers as the caller sent them.
    headers: HeaderMap,
    /// Whether a peer forwarded the request, as it reaches no backend server of the pool.
    is_forwarded: bool,
    body: BufferedBody,
    fingerprint: Fingerprint,
    /// The segments of the prompt that other requests may share.
    segments: Vec<Fingerprint>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    demand: Demand,
    /// The number of backend servers that the request was sent to, or that could not be reached.
    tries: u32,
    /// The number of backend servers that could not be reached.
    unreached: u32,
    /// The number of backend servers that may have run the request.
    runs: u32,
    pub(crate) last_event_id: Option<u64>,
    pub(crate) version: u64,
    /// An error response to pass on if no other backend server returns a better response.
    saved_response: Option<(Head, Bytes)>,
    /// The predicted time to the first event at the time of a refusal.
    predicted: Option<Duration>,
    /// The fraction of its workspace's requests that is served, if that refused the call.
    share_ratio: Option<f64>,
    /// Counts the request as running, once it is being served.
    running: Option<Running>,
}

/// Why no response can be passed on, after one try or after all.
#[derive(Debug)]
pub enum Failure {
    /// The daemon refuses the request. No backend server has run it.
    Refused(Refusal),
    /// The request may have run, and failed.
    Broken(Error),
    /// The deadline has passed.
    Timeout,
}

enum TryResult {
    Opened(Box<(Exchange, Head)>),
    Retry,
    Failed(Failure),
}

impl Call {
    /// Starts building a call for a request on `route`.
    pub fn builder(gateway: Arc<Gateway>, meta: RequestMeta, route: Arc<Route>) -> Builder {
        Builder::new(gateway, meta, route)
    }

    /// Serves the call and returns the response for the caller. `running` is dropped at the end of the
    /// response.
    pub async fn run(mut self, running: Running) -> Response<Body> {
        self.running = Some(running);
        if let Some(forwarded) = self.forward().await {
            return self.forwarded_response(forwarded);
        }
        if let Err(failure) = self.find_build().await {
            return self.failure_response(failure);
        }
        match self.open().await {
            Ok((exchange, head)) => self.relay(exchange, &head),
            // The attempts may have shown that the pool is out of reach.
            Err(failure) => match self.forward().await {
                Some(forwarded) => self.forwarded_response(forwarded),
                None => self.failure_response(failure),
            },
        }
    }

    fn forwarded_response(self, forwarded: Result<Forwarded, Failure>) -> Response<Body> {
        match forwarded {
            Ok(forwarded) => self.pass_on(forwarded),
            Err(failure) => self.failure_response(failure),
        }
    }

    /// Tries backend servers until one returns a response head that can be passed on.
    pub(crate) async fn open(&mut self) -> Result<(Exchange, Head), Failure> {
        loop {
            match self.try_once().await {
                TryResult::Opened(opened) => return Ok(*opened),
                TryResult::Retry => {}
                TryResult::Failed(failure) => return Err(failure),
            }
        }
    }

    /// Whether the request may be sent to another backend server after one may have run it.
    pub(crate) fn may_rerun(&self) -> bool {
        self.route.retry_policy.allows_rerun()
            && self.runs < self.route.max_attempts.max(1)
            && !self.has_used_all_tries()
            && self.time_left() > MIN_TIME_LEFT
    }

    fn has_used_all_tries(&self) -> bool {
        self.tries - self.unreached >= MAX_TRIES || self.unreached >= MAX_UNREACHED_TRIES
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    async fn try_once(&mut self) -> TryResult {
        let now = Instant::now();
        let Some(status) = self.blame_status(now) else {
            return TryResult::Failed(Failure::Refused(Refusal::new(Reason::Quarantined)));
        };
        let suspect = status == Status::Suspect;
        let placement = match self.choose_server(&self.demand, suspect, now) {
            Decision::Send(placement) => placement,
            Decision::Refuse { reason, retry_after, predicted } => {
                self.predicted = predicted;
                self.note_share(reason);
                self.note_repeat_refusal(reason, now);
                return TryResult::Failed(self.refusal(reason.into(), retry_after));
            }
        };
        let snapshot = self.gateway.cache.snapshot();
        let Some(server) = snapshot.servers.get(&placement.server).cloned() else {
            self.demand.excluded.push(placement.server);
            return TryResult::Retry;
        };
        self.tries += 1;
        let (send_id, slowness, repeats_left) = {
            let mut decider = self.gateway.decider.lock();
            let slowness = decider.slowness(&placement.server);
            let send_id = decider.record_sent(&placement, &self.demand, now);
            (send_id, slowness, decider.repeats_left(&self.demand.pool, now))
        };
        self.demand.is_recorded = true;
        if self.demand.is_repeat {
            self.gateway.metrics.count_repeat("sent");
        }
        let suspect = suspect.then_some(self.fingerprint);
        let mut exchange = Exchange::new(Arc::clone(&self.gateway), server, send_id, suspect);
        tracing::info!(
            event = "sent", id = %self.meta.id, route = %self.route.name, tier = %self.tier,
            server = %placement.server, attempt = self.tries, repeat = self.demand.is_repeat,
            repeats_left,
            predicted_ms = placement.predicted.as_millis() as u64, unread = placement.uncached_tokens,
            running = placement.load.running, queued_tokens = placement.load.pending_tokens,
            held_tokens = placement.load.held_tokens, aside = placement.reserved_engines,
            fetch_from = placement.cache_source.as_ref().map(Backend::as_str),
            slowness = slowness.factor, measurements = slowness.measurements,
            prompt = self.demand.prompt_tokens, version = self.version,
            applied = %snapshot.applied,
            source_age_ms = self.gateway.cache.source_age_ms(now),
            left_ms = self.time_left().as_millis() as u64,
            waited_ms = elapsed_ms(self.arrived), after_event = self.last_event_id,
            build = %exchange.server.build, resumes = self.meta.resumes.as_deref(),
            shared = %SegmentIds(self.demand.shared_segments())
        );
        let non_idempotent = self.route.retry_policy == RetryPolicy::AtMostOnce;
        if let Err(error) = exchange.connect(non_idempotent).await {
            let end = error.end_before_send();
            return self.on_not_run(exchange, &error, end).await;
        }
        let source = placement.cache_source.as_ref().and_then(|name| snapshot.servers.get(name));
        let head = self.request_head(&placement.server, source.map(|source| source.address));
        exchange.send(head, self.body.bytes());
        let attempt = Attempt { exchange, placement, sent: now };
        let (exchange, result) = self.wait_hedged(attempt, suspect.is_some()).await;
        self.on_head(exchange, result).await
    }

    /// Chooses a backend server. A suspect is sent where no other suspect of this daemon runs, if
    /// possible, so that a crash can be attributed to one request.
    fn choose_server(&self, demand: &Demand, suspect: bool, now: Instant) -> Decision {
        if suspect {
            let mut isolated = demand.clone();
            isolated.excluded.extend(self.gateway.suspects.lock().occupied_servers());
            let decision = self.gateway.decider.lock().place_request(&isolated, now);
            if matches!(decision, Decision::Send(_)) {
                return decision;
            }
        }
        self.gateway.decider.lock().place_request(demand, now)
    }

    /// Counts a refusal by share, and keeps its figure for the log.
    fn note_share(&mut self, reason: decider::Reason) {
        if reason == decider::Reason::Share {
            let ratio = self.gateway.decider.lock().share_ratio(&self.demand);
            self.share_ratio = Some(ratio);
            let workspace = self.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
            self.gateway.metrics.count_share_refusal(workspace);
        }
    }

    /// Logs and counts a repeat that the budget refuses.
    fn note_repeat_refusal(&self, reason: decider::Reason, now: Instant) {
        if reason == decider::Reason::Repeats {
            let repeats_left = self.gateway.decider.lock().repeats_left(&self.demand.pool, now);
            tracing::info!(
                event = "not_repeated", id = %self.meta.id, pool = %self.demand.pool, repeats_left,
                tries = self.tries, runs = self.runs
            );
            self.gateway.metrics.count_repeat("refused");
        }
    }

    fn refusal(&self, reason: Reason, retry_after: Duration) -> Failure {
        if self.runs > 0 {
            // A refusal states that nothing has run, which is no longer certain.
            return Failure::Broken(Error::Elsewhere);
        }
        Failure::Refused(Refusal::temporary(reason, retry_after))
    }

    /// Handles a try that a backend server rejected, or of which no byte reached one.
    async fn on_not_run(&mut self, mut exchange: Exchange, error: &Error, end: End) -> TryResult {
        let server = exchange.server.name.clone();
        tracing::info!(
            event = "not_run", id = %self.meta.id, %server, attempt = self.tries,
            fault = %error, %end, reused = exchange.is_reused(),
            silent_ms = exchange.server_silent_ms()
        );
        exchange.finish(end);
        self.demand.excluded.push(server);
        self.demand.is_repeat |= matches!(error, Error::Rejected(_));
        if end == End::Unreachable && !matches!(error, Error::Rejected(_)) {
            self.unreached += 1;
        }
        let gives_up = self.has_used_all_tries() || self.may_be_forwarded();
        if gives_up || self.time_left() < MIN_TIME_LEFT {
            return TryResult::Failed(self.refusal(Reason::Rejected, REJECTED_RETRY_AFTER));
        }
        tokio::time::sleep(RETRY_PAUSE).await;
        TryResult::Retry
    }

    /// Decides whether a response head is passed on, and how to continue otherwise.
    async fn on_head(
        &mut self,
        mut exchange: Exchange,
        result: Result<ParsedHead, Error>,
    ) -> TryResult {
        let parsed = match result {
            Ok(parsed) => parsed,
            Err(error) if exchange.is_unsent() => {
                return self.on_not_run(exchange, &error, End::Unreachable).await;
            }
            Err(error) => return self.on_failure(exchange, error),
        };
        let ParsedHead { head, meta } = parsed;
        if meta.not_run {
            exchange.drain(&head).await;
            let wrong_server = head.status == StatusCode::MISDIRECTED_REQUEST;
            let end = if wrong_server { End::Unreachable } else { End::Rejected };
            return self.on_not_run(exchange, &Error::Rejected(head.status), end).await;
        }
        let encoded = head.headers.contains_key(hyper::header::CONTENT_ENCODING);
        let success = head.status.is_success();
        if success && (!meta.signed || encoded) {
            return self.on_failure(exchange, Error::Unsigned);
        }
        if claims_not_run(head.status) || !meta.signed && head.status.is_server_error() {
            return self.on_failure(exchange, Error::Status(head.status));
        }
        self.runs += 1;
        if head.status.is_server_error() && self.may_rerun() {
            return self.save_and_retry(exchange, head).await;
        }
        TryResult::Opened(Box::new((exchange, head)))
    }

    /// Keeps an error response and tries another backend server.
    async fn save_and_retry(&mut self, mut exchange: Exchange, head: Head) -> TryResult {
        let server = exchange.server.name.clone();
        let status = head.status.as_u16();
        let limit = self.time_left().min(SAVED_BODY_TIMEOUT);
        match exchange.collect(head.framing, MAX_SAVED_BODY_BYTES, limit).await {
            Ok(body) => {
                tracing::info!(event = "failed_answer", id = %self.meta.id, %server, status);
                exchange.finish(End::Complete);
                self.saved_response = Some((head, body));
                self.demand.excluded.push(server);
                self.demand.record_run();
                TryResult::Retry
            }
            Err(error) => {
                self.runs -= 1;
                self.on_failure(exchange, error)
            }
        }
    }

    /// Handles a try that may have run and gave no usable response.
    fn on_failure(&mut self, mut exchange: Exchange, error: Error) -> TryResult {
        self.runs += 1;
        self.record_failure(&mut exchange, &error);
        if self.time_left() < MIN_TIME_LEFT {
            return TryResult::Failed(Failure::Timeout);
        }
        if self.may_rerun() { TryResult::Retry } else { TryResult::Failed(Failure::Broken(error)) }
    }

    fn request_head(&self, server: &Backend, cache_source: Option<SocketAddr>) -> Bytes {
        let mut out = BytesMut::with_capacity(self.shared_headers.len() + self.target.len() + 256);
        self.write_request_line(&mut out);
        out.put_slice(&self.shared_headers);
        let attempt = AttemptMeta {
            time_left: self.time_left(),
            server,
            workspace: self.workspace.as_ref().map(|workspace| &workspace.name),
            tier: self.tier,
            route_tier: self.route.tier,
            last_event_id: self.last_event_id,
            cache_source,
        };
        self.gateway.dialect.write_attempt(&attempt, &mut out);
        self.write_length(&mut out);
        out.put_slice(b"\r\n");
        out.freeze()
    }

    fn write_request_line(&self, out: &mut BytesMut) {
        out.put_slice(self.method.as_str().as_bytes());
        out.put_u8(b' ');
        out.put_slice(self.target.as_bytes());
        out.put_slice(b" HTTP/1.1\r\n");
    }

    fn write_length(&self, out: &mut BytesMut) {
        let body = self.body.bytes();
        if !body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            out.put_slice(
                compact_str::format_compact!("content-length: {}\r\n", body.len()).as_bytes(),
            );
        }
    }

    fn relay(mut self, exchange: Exchange, head: &Head) -> Response<Body> {
        self.headers.clear();
        let mut response = response_with(head, full(Bytes::new()));
        let streams = self.route.streams && head.status.is_success();
        if streams {
            // Another backend server may continue the stream, so its length is unknown.
            response.headers_mut().remove(CONTENT_LENGTH);
        }
        *response.body_mut() = streamed(Relay::new(self, exchange, head, streams));
        response
    }

    fn failure_response(self, failure: Failure) -> Response<Body> {
        if let Some((head, body)) = self.saved_response {
            let server_status = head.status.as_u16();
            tracing::info!(
                event = "answered", id = %self.meta.id, status = server_status, reason = "saved",
                after_ms = elapsed_ms(self.arrived)
            );
            self.gateway.metrics.count_response(&self.route.name, server_status, "saved");
            return response_with(&head, full(body));
        }
        let (refusal, cause) = match failure {
            Failure::Refused(refusal) => (refusal, CompactString::default()),
            Failure::Broken(error) => {
                (Refusal::new(Reason::Broken), compact_str::format_compact!("{error}"))
            }
            Failure::Timeout => (Refusal::new(Reason::Timeout), CompactString::default()),
        };
        let status = refusal.reason.status().as_u16();
        tracing::info!(
            event = "answered", id = %self.meta.id, route = %self.route.name, tier = %self.tier,
            status, reason = %refusal.reason, cause = %cause, tries = self.tries, runs = self.runs,
            version = self.version, after_ms = elapsed_ms(self.arrived),
            retry_after_ms = refusal.retry_after.map(|after| after.as_millis() as u64),
            predicted_ms = self.predicted.map(|predicted| predicted.as_millis() as u64),
            share_ratio = self.share_ratio, returning = self.demand.is_returning,
            source_age_ms = self.gateway.cache.source_age_ms(Instant::now())
        );
        let reason = compact_str::format_compact!("{}", refusal.reason);
        self.gateway.metrics.count_response(&self.route.name, status, &reason);
        let mut headers = HeaderMap::new();
        self.gateway.dialect.write_request_id(&self.meta.id, &mut headers);
        refusal.response(headers)
    }
}

/// Whether callers treat a status as a statement that the request has not run.
fn claims_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Creates a response with a backend server's status and headers.
fn response_with(head: &Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    response
}

/// Returns the headers without the hop-by-hop headers, which concern only one connection.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-authenticate",
    ];
    let mut end_to_end = headers.clone();
    let named = headers.get_all(hyper::header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    for name in named.map(str::trim).chain(HOP_BY_HOP) {
        end_to_end.remove(name);
    }
    end_to_end
}
