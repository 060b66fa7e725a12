//! Admission of callers' requests: headers, route, API key, limits and body.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use compact_str::CompactString;
use hyper::{
    HeaderMap, Request, Response, Uri,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
    http::request::Parts,
};

use crate::{
    body::Body,
    call::{Builder, Call},
    dialect::RequestMeta,
    environment::{Environment, Route, Workspace},
    gateway::Gateway,
    metrics::Running,
    refusal::{Reason, Refusal},
    upload,
};

/// `Retry-After` of a daemon that is not ready. Short, since other daemons can serve the caller.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` of a daemon that is not ready while the source of published records is
/// unreachable: other daemons lack the records as well.
const SOURCE_DOWN_RETRY_AFTER: Duration = Duration::from_millis(1_200);
/// The time from the end of a process until its successor accepts callers.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// The maximum time for reading the body of a caller that sends no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// A caller.
    Caller,
    /// A peer that reaches no backend server of the request's pool.
    Peer,
}

/// Serves a request.
pub async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    sender: Sender,
) -> Response<Body> {
    let running = gateway.metrics.start_request();
    let arrived = Instant::now();
    let mut response = match gateway.dialect.parse_request(request.headers()) {
        Ok(meta) => respond(&gateway, meta, request, sender, arrived, running).await,
        Err(malformed) => {
            tracing::info!(event = "answered", reason = %Reason::Malformed, %malformed);
            gateway.metrics.count_response("", 400, "malformed");
            let response = Refusal::new(Reason::Malformed).response(HeaderMap::new());
            let (head, body) = request.into_parts();
            refuse(&head, body, response)
        }
    };
    if gateway.departure.has_begun() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn respond(
    gateway: &Arc<Gateway>,
    meta: RequestMeta,
    request: Request<Incoming>,
    sender: Sender,
    arrived: Instant,
    running: Running,
) -> Response<Body> {
    let id = meta.id.clone();
    let mut pending = Pending { gateway, id: &id, arrived, is_answered: false };
    let (head, mut body) = request.into_parts();
    let accepted = accept(gateway, meta, &head, &mut body, arrived).await;
    let response = match accepted {
        Ok(call) => {
            let headers = received_headers(head);
            call.received(headers, sender == Sender::Peer).build().run(running).await
        }
        Err(refused) => {
            let RefusedRequest { refusal, version } = refused;
            tracing::info!(
                event = "answered", %id, status = refusal.reason.status().as_u16(),
                reason = %refusal.reason, version, after_ms = elapsed_ms(arrived),
                applied = %gateway.cache.snapshot().applied,
                source_age_ms = gateway.cache.source_age_ms(Instant::now())
            );
            let reason = compact_str::format_compact!("{}", refusal.reason);
            gateway.metrics.count_response("", refusal.reason.status().as_u16(), &reason);
            let mut headers = HeaderMap::new();
            gateway.dialect.write_request_id(&id, &mut headers);
            refuse(&head, body, refusal.response(headers))
        }
    };
    pending.is_answered = true;
    response
}

/// Discards the rest of the body of a refused request, and announces the end of the connection if that
/// can't be done.
fn refuse(head: &Parts, body: Incoming, mut response: Response<Body>) -> Response<Body> {
    if !upload::discard(head, body) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Logs a request whose connection ends before a response begins.
struct Pending<'a> {
    gateway: &'a Gateway,
    id: &'a str,
    arrived: Instant,
    is_answered: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            tracing::info!(
                event = "unanswered",
                id = self.id,
                after_ms = elapsed_ms(self.arrived),
                ending = self.gateway.departure.is_ending()
            );
            self.gateway.metrics.count_unanswered();
        }
    }
}

pub(crate) fn elapsed_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// A refusal before any backend server is chosen, with the version of the environment.
struct RefusedRequest {
    refusal: Refusal,
    version: u64,
}

/// Checks a request, reads its body and begins to build the call.
async fn accept(
    gateway: &Arc<Gateway>,
    meta: RequestMeta,
    head: &Parts,
    body: &mut Incoming,
    arrived: Instant,
) -> Result<Builder, RefusedRequest> {
    let snapshot = gateway.cache.snapshot();
    let source_up = gateway.cache.is_source_up();
    let retry = if source_up { NOT_READY_RETRY_AFTER } else { SOURCE_DOWN_RETRY_AFTER };
    let not_ready = Refusal::temporary(Reason::NotReady, retry);
    let Some(environment) = snapshot.environment.clone() else {
        return Err(RefusedRequest { refusal: not_ready, version: 0 });
    };
    let version = environment.version;
    let refused = |refusal| RefusedRequest { refusal, version };
    if gateway.cache.is_suspended() {
        return Err(refused(not_ready));
    }
    let (route, workspace) =
        admit(&environment, &meta, head).map_err(|reason| refused(Refusal::new(reason)))?;
    let time_limit = meta.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + time_limit;
    let body_timeout = meta.deadline.unwrap_or(BODY_TIMEOUT);
    let read = upload::read(gateway, body, &environment.limits, NOT_READY_RETRY_AFTER);
    let body = match tokio::time::timeout(body_timeout, read).await {
        Ok(body) => body.map_err(refused)?,
        Err(_) => return Err(refused(Refusal::new(Reason::SlowBody))),
    };
    let now = Instant::now();
    if !gateway.takes(&meta.id, &route, deadline, now) {
        return Err(refused(Refusal::temporary(
            Reason::Leaving,
            leaving_retry_after(gateway, now),
        )));
    }
    let mut shared_headers = BytesMut::with_capacity(512);
    gateway.dialect.write_shared(&head.headers, &mut shared_headers);
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    Ok(Call::builder(Arc::clone(gateway), meta, route)
        .workspace(workspace)
        .request(head.method.clone(), CompactString::new(target), shared_headers.freeze())
        .body(body)
        .times(arrived, deadline)
        .version(version))
}

/// The headers of a request, with the host that selected its route.
fn received_headers(head: Parts) -> HeaderMap {
    let mut headers = head.headers;
    if let Some(host) = head.uri.host().and_then(|host| HeaderValue::from_str(host).ok()) {
        headers.insert(HOST, host);
    }
    headers
}

/// When the caller of a leaving daemon may retry: at once if another daemon accepts callers, else
/// when this one is back.
fn leaving_retry_after(gateway: &Gateway, now: Instant) -> Duration {
    if gateway.members.lock().ready(now).next().is_some() {
        return Duration::ZERO;
    }
    let left =
        gateway.departure.end().map_or(Duration::ZERO, |end| end.saturating_duration_since(now));
    left + RESTART_TIME
}

/// Finds the route of a request and, unless the route is public, the workspace of its key.
fn admit(
    environment: &Environment,
    meta: &RequestMeta,
    head: &Parts,
) -> Result<(Arc<Route>, Option<Arc<Workspace>>), Reason> {
    let host = request_host(&head.headers, &head.uri).ok_or(Reason::Malformed)?;
    let path = head.uri.path();
    let route = environment.route(&host, path).ok_or(Reason::NoRoute)?;
    if route.public || !environment.needs_key() {
        return Ok((Arc::clone(route), None));
    }
    let key = meta.key.as_deref().ok_or(Reason::UnknownKey)?;
    let workspace = environment.workspace(key).ok_or(Reason::UnknownKey)?;
    Ok((Arc::clone(route), Some(Arc::clone(workspace))))
}

/// Returns the host that a request addresses, in lower case and without a port.
fn request_host(headers: &HeaderMap, uri: &Uri) -> Option<CompactString> {
    let named = match uri.host() {
        Some(host) => host,
        None => headers.get(HOST)?.to_str().ok()?,
    };
    let host = named.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
    Some(CompactString::new(host.map_or(named, |(host, _)| host)).to_ascii_lowercase())
}
