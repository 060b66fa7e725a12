//! Builds a call.

use std::{
    hash::{BuildHasher as _, Hasher as _},
    sync::Arc,
    time::Instant,
};

use bytes::Bytes;
use compact_str::CompactString;
use hyper::Method;
use hyssop_backend::blame::Fingerprint;
use hyssop_document::name::Pool;
use hyssop_policy::local::demand::Demand;
use rand::RngExt as _;

use super::{Call, Held};
use crate::{
    dialect::Ask,
    environment::{Route, Workspace},
    gateway::Gateway,
};

/// The seed of fingerprints: daemons tell them to each other, so all use the same.
const SEED: u64 = 0x6879_7373_6f70;

/// Settings of a call.
pub struct Builder {
    gateway: Arc<Gateway>,
    ask: Ask,
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    method: Method,
    target: CompactString,
    shared: Bytes,
    body: Held,
    arrived: Instant,
    deadline: Instant,
    version: u64,
}

impl Builder {
    pub(super) fn new(gateway: Arc<Gateway>, ask: Ask, route: Arc<Route>) -> Self {
        let now = Instant::now();
        let body = Held::empty(Arc::clone(&gateway));
        let deadline = now + route.timeout;
        Self {
            gateway,
            ask,
            route,
            workspace: None,
            method: Method::GET,
            target: CompactString::const_new("/"),
            shared: Bytes::new(),
            body,
            arrived: now,
            deadline,
            version: 0,
        }
    }

    /// Sets the caller's workspace.
    pub fn workspace(mut self, workspace: Option<Arc<Workspace>>) -> Self {
        self.workspace = workspace;
        self
    }

    /// Sets the method, the path with its query, and the headers that all attempts share.
    pub fn request(mut self, method: Method, target: CompactString, shared: Bytes) -> Self {
        self.method = method;
        self.target = target;
        self.shared = shared;
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: Held) -> Self {
        self.body = body;
        self
    }

    /// Sets when the request came and when its answer is due.
    pub fn times(mut self, arrived: Instant, deadline: Instant) -> Self {
        self.arrived = arrived;
        self.deadline = deadline;
        self
    }

    /// Sets the version of the environment that it was admitted by.
    pub fn version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }

    /// The call.
    pub fn build(self) -> Call {
        let tier = self.workspace.as_ref().and_then(|workspace| workspace.tier);
        let tier = tier.unwrap_or(self.route.tier);
        let likely = self.ask.likely_output_tokens.unwrap_or(self.ask.max_output_tokens);
        let demand = Demand {
            pool: choose(&self.route.pools),
            tier,
            parts: self.ask.parts.clone(),
            prompt_tokens: self.ask.prompt_tokens,
            output_tokens: likely.min(self.ask.max_output_tokens),
            arrived: self.arrived,
            target: self.route.target_latency,
            deadline: self.deadline,
            excluded: Vec::new(),
            repeat: false,
        };
        Call {
            fingerprint: self.fingerprint(),
            last_event: self.ask.last_event,
            gateway: self.gateway,
            ask: self.ask,
            route: self.route,
            workspace: self.workspace,
            tier,
            method: self.method,
            target: self.target,
            shared: self.shared,
            body: self.body,
            arrived: self.arrived,
            deadline: self.deadline,
            demand,
            tries: 0,
            runs: 0,
            version: self.version,
            saved: None,
            predicted: None,
        }
    }

    /// What makes the request the same when it comes again: its path, its caller and its body.
    fn fingerprint(&self) -> Fingerprint {
        let mut hasher = foldhash::quality::FixedState::with_seed(SEED).build_hasher();
        hasher.write(self.target.as_bytes());
        hasher.write(self.ask.key.as_deref().unwrap_or_default().as_bytes());
        hasher.write(&self.body.bytes());
        Fingerprint(hasher.finish())
    }
}

/// One of the pools, by their weights.
fn choose(pools: &[(Pool, u32)]) -> Pool {
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
