//! What operators have declared: routes, pools, workspaces, limits.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use derive_more::Display;
use hyssop_document::{
    collections::Map,
    name::{Pool as PoolName, Workspace as WorkspaceName},
    number::Tier,
};

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Repeat {
    /// Any number of times.
    #[display("idempotent")]
    Idempotent,
    /// At most once.
    #[display("non_idempotent")]
    Once,
    /// Again from the first event that the caller lacks.
    #[display("resumable")]
    Resume,
}

impl Repeat {
    /// Whether a second backend server may run a request that the first may have run.
    pub fn allows_rerun(self) -> bool {
        self != Self::Once
    }
}

/// What the requests of a route are promised and where they go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: CompactString,
    /// The host that callers name, in lower case.
    pub host: CompactString,
    /// The beginning of the paths. Begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// How often a request may run.
    pub repeat: Repeat,
    /// The longest time until the final answer.
    pub timeout: Duration,
    /// The time to the answer, or to the first event of a stream, that is in time.
    pub target: Duration,
    /// The longest pause between two events that is in time.
    pub max_gap: Option<Duration>,
    /// The tier of requests whose workspace has none of its own.
    pub tier: Tier,
    /// The number of backend servers that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// The pools that serve the route, with the weight of each.
    pub pools: Vec<(PoolName, u32)>,
}

/// Interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// The name.
    pub name: PoolName,
    /// The connections that one backend server accepts from all daemons.
    pub max_connections: u32,
    /// The requests a second that a cold backend server bears from all daemons; 0 if it is never cold.
    pub cold_rate: f64,
    /// What model engines can hold. Absent for plain services.
    pub engine: Option<Engine>,
}

/// The size of a model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// The requests in one batch.
    pub slots: u32,
    /// The tokens of KV cache.
    pub cache_tokens: u64,
}

/// A customer's share of the environment.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The name.
    pub name: WorkspaceName,
    /// The tier of all its requests, if it has one of its own.
    pub tier: Option<Tier>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The bytes of a request's head.
    pub head_bytes: usize,
    /// The bytes of a request's body.
    pub body_bytes: usize,
    /// The time for a request's head.
    pub head_time: Duration,
    /// The time that a connection may be idle.
    pub idle_time: Duration,
}

/// One accepted version of everything that operators declare.
#[derive(Debug, Clone)]
pub struct Environment {
    /// The version.
    pub version: u64,
    /// The limits on what callers send.
    pub limits: Limits,
    routes: Map<CompactString, Map<CompactString, Arc<Route>>>,
    pools: Map<PoolName, Arc<Pool>>,
    workspaces: Option<Map<CompactString, Arc<Workspace>>>,
}

impl Environment {
    /// Indexes a version. `keys` holds the workspace of each key, or `None` if no keys are needed.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        pools: Vec<Pool>,
        keys: Option<Map<CompactString, Arc<Workspace>>>,
    ) -> Self {
        let mut by_host: Map<CompactString, Map<CompactString, Arc<Route>>> = Map::default();
        for route in routes {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let pools = pools.into_iter().map(|pool| (pool.name.clone(), Arc::new(pool))).collect();
        Self { version, limits, routes: by_host, pools, workspaces: keys }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|&(_, byte)| byte == b'/');
        slashes.filter_map(|(at, _)| prefixes.get(&path[..=at])).next()
    }

    /// The pool of a name.
    pub fn pool(&self, name: &PoolName) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// Whether requests on routes that are not public need a key.
    pub fn needs_key(&self) -> bool {
        self.workspaces.is_some()
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.as_ref()?.get(key)
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Map::len).sum()
    }
}
