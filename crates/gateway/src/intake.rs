//! From a caller's request to a call that can be placed.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http_body_util::{BodyExt as _, Limited};
use hyper::{
    HeaderMap, Request, Response, Uri,
    body::{Body as _, Incoming},
    header::{CONNECTION, HOST, HeaderValue},
};

use crate::{
    body::Body,
    call::{Call, Held},
    dialect::Ask,
    environment::{Environment, Limits, Route, Workspace},
    gateway::Gateway,
    reply::{Reason, Refusal},
};

/// When callers come back to a daemon that is not ready. Its peers answer sooner.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);
/// The same while the source of published records is away, and no peer has them either.
const SOURCE_AWAY_RETRY: Duration = Duration::from_millis(1_200);
/// The time to read a body of a caller that names no deadline.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Answers a caller's request.
pub async fn handle(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    gateway.metrics.running.inc();
    let arrived = Instant::now();
    let mut response = match gateway.dialect.ask(request.headers()) {
        Ok(ask) => answer(&gateway, ask, request, arrived).await,
        Err(malformed) => {
            tracing::info!(event = "answered", reason = %Reason::Malformed, %malformed);
            gateway.metrics.count_response("", 400, "malformed");
            Refusal::new(Reason::Malformed).response(HeaderMap::new())
        }
    };
    if gateway.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    gateway.metrics.running.dec();
    response
}

async fn answer(
    gateway: &Arc<Gateway>,
    ask: Ask,
    request: Request<Incoming>,
    arrived: Instant,
) -> Response<Body> {
    let id = ask.id.clone();
    match accept(gateway, ask, request, arrived).await {
        Ok(call) => call.run().await,
        Err(refused) => {
            let Refused { refusal, version } = refused;
            tracing::info!(
                event = "answered", %id, status = refusal.reason.status().as_u16(),
                reason = %refusal.reason, version, after_ms = ms(arrived),
                applied = %gateway.cache.snapshot().applied,
                source_age_ms = gateway.cache.source_age_ms(Instant::now())
            );
            let reason = compact_str::format_compact!("{}", refusal.reason);
            gateway.metrics.count_response("", refusal.reason.status().as_u16(), &reason);
            let mut headers = HeaderMap::new();
            gateway.dialect.echo(&id, &mut headers);
            refusal.response(headers)
        }
    }
}

pub(crate) fn ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// A request that is answered before it is placed.
struct Refused {
    refusal: Refusal,
    version: u64,
}

async fn accept(
    gateway: &Arc<Gateway>,
    ask: Ask,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Call, Refused> {
    let snapshot = gateway.cache.snapshot();
    let source_up = gateway.cache.is_source_up();
    let retry = if source_up { NOT_READY_RETRY } else { SOURCE_AWAY_RETRY };
    let not_ready = Refusal::after(Reason::NotReady, retry);
    let Some(environment) = snapshot.environment.clone() else {
        return Err(Refused { refusal: not_ready, version: 0 });
    };
    let version = environment.version;
    let refused = |refusal| Refused { refusal, version };
    if gateway.cache.is_suspended() {
        return Err(refused(not_ready));
    }
    let (route, workspace) =
        admit(&environment, &ask, &request).map_err(|reason| refused(Refusal::new(reason)))?;
    let patience = ask.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + patience;
    let (head, body) = request.into_parts();
    let body_deadline = ask.deadline.unwrap_or(BODY_TIME);
    let read = read_body(gateway, body, &environment.limits);
    let body = match tokio::time::timeout(body_deadline, read).await {
        Ok(body) => body.map_err(refused)?,
        Err(_) => return Err(refused(Refusal::new(Reason::SlowBody))),
    };
    let mut shared = BytesMut::with_capacity(512);
    gateway.dialect.write_shared(&head.headers, &mut shared);
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    Ok(Call::builder(Arc::clone(gateway), ask, route)
        .workspace(workspace)
        .request(head.method, CompactString::new(target), shared.freeze())
        .body(body)
        .times(arrived, deadline)
        .version(version)
        .build())
}

fn admit(
    environment: &Environment,
    ask: &Ask,
    request: &Request<Incoming>,
) -> Result<(Arc<Route>, Option<Arc<Workspace>>), Reason> {
    let host = host(request.headers(), request.uri()).ok_or(Reason::Malformed)?;
    let path = request.uri().path();
    let route = environment.route(&host, path).ok_or(Reason::NoRoute)?;
    if route.public || !environment.needs_key() {
        return Ok((Arc::clone(route), None));
    }
    let key = ask.key.as_deref().ok_or(Reason::UnknownKey)?;
    let workspace = environment.workspace(key).ok_or(Reason::UnknownKey)?;
    Ok((Arc::clone(route), Some(Arc::clone(workspace))))
}

/// The host that a request names, in lower case and without a port.
fn host(headers: &HeaderMap, uri: &Uri) -> Option<CompactString> {
    let named = match uri.host() {
        Some(host) => host,
        None => headers.get(HOST)?.to_str().ok()?,
    };
    let host = named.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
    Some(CompactString::new(host.map_or(named, |(host, _)| host)).to_ascii_lowercase())
}

async fn read_body(
    gateway: &Arc<Gateway>,
    body: Incoming,
    limits: &Limits,
) -> Result<Held, Refusal> {
    if body.is_end_stream() {
        return Ok(Held::empty(Arc::clone(gateway)));
    }
    let declared = body.size_hint().exact().unwrap_or(0);
    if declared > limits.max_body_bytes as u64 {
        return Err(Refusal::new(Reason::TooLarge));
    }
    let held = gateway.body_bytes.load(Ordering::Relaxed);
    if held + declared as usize > gateway.settings.body_memory_bytes {
        return Err(Refusal::after(Reason::Memory, NOT_READY_RETRY));
    }
    let collected = Limited::new(body, limits.max_body_bytes).collect().await;
    let bytes: Bytes = match collected {
        Ok(collected) => collected.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Refusal::new(Reason::TooLarge));
        }
        Err(error) => {
            tracing::info!(event = "body_not_read", %error);
            return Err(Refusal::new(Reason::Malformed));
        }
    };
    Ok(Held::new(Arc::clone(gateway), bytes))
}
