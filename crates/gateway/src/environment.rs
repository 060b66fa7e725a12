//! The environment that operators declare: routes, pools, workspaces, limits.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use derive_more::Display;
use hyssop_document::{
    collections::Map,
    name::{Pool as PoolName, Workspace as WorkspaceName},
    number::Tier,
};
use hyssop_policy::local::demand;
use hyssop_view::heartbeat::name_hash;

/// Whether a request may run again on another backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RetryPolicy {
    /// The request may run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// The request may run at most once.
    #[display("non_idempotent")]
    AtMostOnce,
    /// The request may run again, resumed after the last event that the caller has received.
    #[display("resumable")]
    Resumable,
}

impl RetryPolicy {
    /// Whether another backend server may run a request that may have run before.
    pub fn allows_rerun(self) -> bool {
        self != Self::AtMostOnce
    }
}

/// A route: which requests belong to it, their guarantees, and the pools that serve them.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name in logs and metrics.
    pub name: CompactString,
    /// The `Host` header of requests, in lower case and without a port.
    pub host: CompactString,
    /// The prefix of request paths. Begins and ends with a slash.
    pub path_prefix: CompactString,
    /// Whether responses are streams of events.
    pub streams: bool,
    /// Whether a request may run again on another backend server.
    pub retry_policy: RetryPolicy,
    /// The maximum time from a request's arrival to the end of its response.
    pub timeout: Duration,
    /// The time within which the response, or the first event of a stream, is on target.
    pub target_latency: Duration,
    /// The maximum gap between two events of a stream that is on target.
    pub max_event_gap: Option<Duration>,
    /// The tier of requests whose workspace has none of its own.
    pub tier: Tier,
    /// The maximum number of backend servers that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// The pools that serve the route, each with its weight.
    pub pools: Vec<(PoolName, u32)>,
}

/// A pool of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// The pool's name.
    pub name: PoolName,
    /// The maximum number of connections that one backend server accepts from all daemons together.
    pub max_connections: u32,
    /// The requests per second that a cold backend server sustains from all daemons together; 0 if
    /// backend servers are never cold.
    pub cold_rate: f64,
    /// The capacity of the pool's engines, or `None` for plain services.
    pub engine: Option<Engine>,
}

/// The capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// The maximum number of requests in one batch.
    pub slots: u32,
    /// The size of the KV cache in tokens.
    pub cache_tokens: u64,
    /// The tokens of KV cache per ms that an engine fetches from another one, or `None` if it can't.
    pub fetch_tokens_per_ms: Option<f64>,
}

/// A tenant of the environment, identified by the API keys of its callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The workspace's name.
    pub name: WorkspaceName,
    /// The tier of the workspace's requests, in place of the tier of their route.
    pub tier: Option<Tier>,
    /// The workspace's part of a pool that is short of capacity, relative to other workspaces.
    pub weight: u32,
}

impl Workspace {
    /// The weight of a workspace for which operators declare none.
    pub const DEFAULT_WEIGHT: u32 = 1;

    /// The properties that placement depends on.
    pub fn demand(&self) -> demand::Workspace {
        demand::Workspace { hash: name_hash(self.name.as_str()), weight: self.weight }
    }
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's head.
    pub max_head_bytes: usize,
    /// The maximum size of a request's body.
    pub max_body_bytes: usize,
    /// The time within which a request's head must arrive.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the declared environment, indexed for lookups.
#[derive(Debug, Clone)]
pub struct Environment {
    /// The version that operators gave to the environment.
    pub version: u64,
    /// The limits on what callers send.
    pub limits: Limits,
    routes: Map<CompactString, Map<CompactString, Arc<Route>>>,
    /// The pools of all routes of each host.
    host_pools: Map<CompactString, Vec<PoolName>>,
    pools: Map<PoolName, Arc<Pool>>,
    workspaces: Option<Map<CompactString, Arc<Workspace>>>,
}

impl Environment {
    /// Indexes a version. `keys` maps API keys to workspaces, or is `None` if requests need no
    /// keys.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        pools: Vec<Pool>,
        keys: Option<Map<CompactString, Arc<Workspace>>>,
    ) -> Self {
        let mut by_host: Map<CompactString, Map<CompactString, Arc<Route>>> = Map::default();
        let mut host_pools: Map<CompactString, Vec<PoolName>> = Map::default();
        for route in routes {
            let pools = host_pools.entry(route.host.clone()).or_default();
            let new = route.pools.iter().map(|(pool, _)| pool).filter(|pool| !pools.contains(pool));
            let new: Vec<PoolName> = new.cloned().collect();
            pools.extend(new);
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), Arc::new(route));
        }
        let pools = pools.into_iter().map(|pool| (pool.name.clone(), Arc::new(pool))).collect();
        Self { version, limits, routes: by_host, host_pools, pools, workspaces: keys }
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|&(_, byte)| byte == b'/');
        slashes.filter_map(|(at, _)| prefixes.get(&path[..=at])).next()
    }

    /// All routes, in any order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(Map::values)
    }

    /// The pools of the routes of `host`, or `None` if it has no routes.
    pub fn pools_of_host(&self, host: &str) -> Option<&[PoolName]> {
        self.host_pools.get(host).map(Vec::as_slice)
    }

    /// The pool with this name, if it is declared.
    pub fn pool(&self, name: &PoolName) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// All declared pools, in any order.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// Whether requests need an API key, except those of public routes.
    pub fn needs_key(&self) -> bool {
        self.workspaces.is_some()
    }

    /// The workspace of an API key, if the key is valid.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.as_ref()?.get(key)
    }

    /// The number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Map::len).sum()
    }
}
