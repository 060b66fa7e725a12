//! Builder for calls.

use std::{
    hash::{BuildHasher as _, Hasher as _},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::CompactString;
use hyper::{HeaderMap, Method};
use hyssop_backend::blame::Fingerprint;
use hyssop_document::name::Pool;
use hyssop_policy::local::demand::{Demand, Segment};
use rand::RngExt as _;

use super::{BufferedBody, Call};
use crate::{
    dialect::RequestMeta,
    environment::{Route, Workspace},
    gateway::Gateway,
};

/// Identical on all daemons, since they exchange fingerprints.
const FINGERPRINT_SEED: u64 = 0x6879_7373_6f70;

/// The time by which the deadline of a returning caller is shorter at least than its route allows.
/// Callers round their deadlines, and their clocks and the network add some ms.
const RETURN_MARGIN: Duration = Duration::from_millis(50);

/// Builds a [`Call`].
pub struct Builder {
    gateway: Arc<Gateway>,
    meta: RequestMeta,
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    method: Method,
    target: CompactString,
    shared_headers: Bytes,
    headers: HeaderMap,
    is_forwarded: bool,
    body: BufferedBody,
    arrived: Instant,
    deadline: Instant,
    version: u64,
}

impl Builder {
    pub(super) fn new(gateway: Arc<Gateway>, meta: RequestMeta, route: Arc<Route>) -> Self {
        let now = Instant::now();
        let body = BufferedBody::empty(Arc::clone(&gateway));
        let deadline = now + route.timeout;
        Self {
            gateway,
            meta,
            route,
            workspace: None,
            method: Method::GET,
            target: CompactString::const_new("/"),
            shared_headers: Bytes::new(),
            headers: HeaderMap::new(),
            is_forwarded: false,
            body,
            arrived: now,
            deadline,
            version: 0,
        }
    }

    /// Sets the caller's workspace. Without one the route's tier applies.
    pub fn workspace(mut self, workspace: Option<Arc<Workspace>>) -> Self {
        self.workspace = workspace;
        self
    }

    /// Sets the method, the path with its query, and the headers that all attempts share, in wire
    /// format.
    pub fn request(mut self, method: Method, target: CompactString, shared_headers: Bytes) -> Self {
        self.method = method;
        self.target = target;
        self.shared_headers = shared_headers;
        self
    }

    /// Sets the headers as they arrived, and whether a peer forwarded the request, which it did not by
    /// default.
    pub fn received(mut self, headers: HeaderMap, is_forwarded: bool) -> Self {
        (self.headers, self.is_forwarded) = (headers, is_forwarded);
        self
    }

    /// Sets the request body, empty by default.
    pub fn body(mut self, body: BufferedBody) -> Self {
        self.body = body;
        self
    }

    /// Sets the arrival time and the deadline, by default now and the route's timeout later.
    pub fn times(mut self, arrived: Instant, deadline: Instant) -> Self {
        self.arrived = arrived;
        self.deadline = deadline;
        self
    }

    /// Sets the version of the environment by which the request was admitted.
    pub fn version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }

    /// Chooses a pool by weight and returns the call.
    pub fn build(self) -> Call {
        let tier = self.workspace.as_ref().and_then(|workspace| workspace.tier);
        let tier = tier.unwrap_or(self.route.tier);
        let expected = self.meta.expected_output_tokens.unwrap_or(self.meta.max_output_tokens);
        let left = self.deadline.saturating_duration_since(self.arrived);
        let demand = Demand {
            pool: choose_pool(&self.route.pools),
            tier,
            route_tier: self.route.tier,
            segments: self.meta.segments.clone(),
            prompt_tokens: self.meta.prompt_tokens,
            output_tokens: expected.min(self.meta.max_output_tokens),
            arrived: self.arrived,
            target: self.route.target_latency,
            max_event_gap: self.route.max_event_gap,
            deadline: self.deadline,
            build: None,
            excluded: Vec::new(),
            is_repeat: false,
            is_recorded: false,
            may_have_run: false,
            workspace: self.workspace.as_deref().map(Workspace::demand),
            is_returning: left + RETURN_MARGIN < self.route.timeout,
        };
        Call {
            fingerprint: self.fingerprint(),
            segments: segment_fingerprints(&demand),
            last_event_id: self.meta.last_event_id,
            gateway: self.gateway,
            meta: self.meta,
            route: self.route,
            workspace: self.workspace,
            tier,
            method: self.method,
            target: self.target,
            shared_headers: self.shared_headers,
            headers: self.headers,
            is_forwarded: self.is_forwarded,
            body: self.body,
            arrived: self.arrived,
            deadline: self.deadline,
            demand,
            tries: 0,
            unreached: 0,
            runs: 0,
            version: self.version,
            saved_response: None,
            predicted: None,
            share_ratio: None,
            running: None,
        }
    }

    /// Hashes what identifies a repeated request: its path, the caller's key and its body.
    fn fingerprint(&self) -> Fingerprint {
        let mut hasher = foldhash::quality::FixedState::with_seed(FINGERPRINT_SEED).build_hasher();
        hasher.write(self.target.as_bytes());
        hasher.write(self.meta.key.as_deref().unwrap_or_default().as_bytes());
        hasher.write(&self.body.bytes());
        Fingerprint(hasher.finish())
    }
}

/// Hashes the segments that other requests may share, each with the pool that runs it.
fn segment_fingerprints(demand: &Demand) -> Vec<Fingerprint> {
    let fingerprint = |segment: &Segment| {
        let mut hasher = foldhash::quality::FixedState::with_seed(FINGERPRINT_SEED).build_hasher();
        hasher.write(demand.pool.as_str().as_bytes());
        hasher.write_u64(segment.id);
        Fingerprint(hasher.finish())
    };
    demand.shared_segments().iter().map(fingerprint).collect()
}

/// Chooses a pool at random by weight.
fn choose_pool(pools: &[(Pool, u32)]) -> Pool {
    let total: u32 = pools.iter().map(|(_, weight)| weight).sum();
    let mut at = if total == 0 { 0 } else { rand::rng().random_range(0..total) };
    for (pool, weight) in pools {
        if at < *weight {
            return pool.clone();
        }
        at -= weight;
    }
    pools[0].0.clone()
}
