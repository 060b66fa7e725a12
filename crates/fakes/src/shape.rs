//! The shape of a test deployment: its document and its loopback network.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU16, Ordering},
};

use hyssop_document::{
    digest::Digest,
    model::{Backend, Class, Document, Kind, Pool, Workspace, Zone},
    name,
    number::{Percent, Revision, Tier},
};

/// The operator key of every test deployment.
pub const OPERATOR_KEY: &str = "operator-key";

const FIRST_PORT: u16 = 20_000;
/// The number of ports that one network uses on each of its addresses.
const PORTS_PER_NETWORK: u16 = 100;
const MAX_NETWORKS: u16 = 100;

static NEXT_NETWORK: AtomicU16 = AtomicU16::new(0);

/// The API key of a workspace's callers.
pub fn workspace_key(workspace: &name::Workspace) -> String {
    format!("key-of-{workspace}")
}

/// Loopback addresses that no other test process uses.
///
/// Each host and backend server has its own IP address, derived from the process id. The ports are
/// below the range of ephemeral ports.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second_octet: u8,
    third_octet: u8,
    base_port: u16,
}

impl Network {
    /// A network that does not overlap with the others of this process.
    pub fn new() -> Self {
        let pid = std::process::id();
        let number = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed) % MAX_NETWORKS;
        Self {
            second_octet: (1 + pid / 250 % 250) as u8,
            third_octet: (1 + pid % 250) as u8,
            base_port: FIRST_PORT + number * PORTS_PER_NETWORK,
        }
    }

    /// The address of `host`, 1 to 254, with `port` as an offset from the network's first port.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.second_octet, self.third_octet, host));
        SocketAddr::new(ip, self.base_port + port)
    }

    /// The addresses of the daemon with index `index`.
    pub fn daemon(&self, index: usize) -> DaemonAddresses {
        let host = 1 + index as u8;
        DaemonAddresses {
            caller: self.address(host, 0),
            peer: self.address(host, 1),
            operator: self.address(host, 2),
        }
    }

    /// The request address and the control address of the backend server with index `index`.
    pub fn backend(&self, index: usize) -> (SocketAddr, SocketAddr) {
        let host = 100 + index as u8;
        (self.address(host, 0), self.address(host, 1))
    }

    /// The read address and the control address of the platform.
    pub fn platform(&self) -> (SocketAddr, SocketAddr) {
        (self.address(250, 0), self.address(250, 1))
    }

    /// The listen address of the link with index `index`.
    pub fn link(&self, index: usize) -> SocketAddr {
        self.address(251, index as u16)
    }
}

impl Default for Network {
    fn default() -> Self {
        Self::new()
    }
}

/// The listen addresses of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// A deployment to start: a document whose backend servers are fakes.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The document.
    pub document: Document,
    /// The loopback network.
    pub network: Network,
}

impl Shape {
    /// A deployment with `zones` availability zones, without pools, classes and workspaces.
    pub fn new(environment: &str, zones: usize) -> Self {
        let zones = (0..zones).map(|index| Zone { name: zone(index) });
        let document = Document {
            environment: name::Environment::new(environment),
            revision: Revision(1),
            group_size: 64,
            classes: Vec::new(),
            workspaces: Vec::new(),
            zones: zones.collect(),
            pools: Vec::new(),
            backends: Vec::new(),
        };
        Self { document, network: Network::new() }
    }

    /// Adds a class.
    pub fn class(mut self, class: Class) -> Self {
        self.document.classes.push(class);
        self
    }

    /// Adds a workspace with its share.
    pub fn workspace(mut self, workspace: &str, share: u32) -> Self {
        let name = name::Workspace::new(workspace);
        let key_sha256 = Digest::of(workspace_key(&name).as_bytes());
        self.document.workspaces.push(Workspace { name, share, key_sha256 });
        self
    }

    /// Adds a pool with `count` backend servers, distributed over the availability zones.
    pub fn pool(mut self, pool: Pool, count: usize) -> Self {
        for index in 0..count {
            let (address, _) = self.network.backend(self.document.backends.len());
            let zones = self.document.zones.len();
            let name = format!("{}-{index}", pool.name);
            self.document.backends.push(Backend {
                name: name::Backend::new(&name),
                address,
                zone: zone(index % zones),
                pool: pool.name.clone(),
            });
        }
        self.document.pools.push(pool);
        self
    }

    /// The document as published, in JSON.
    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec_pretty(&self.document).expect("a document is serializable")
    }
}

/// The availability zone with index `index`.
pub fn zone(index: usize) -> name::Zone {
    name::Zone::new(&format!("z{}", index + 1))
}

/// The host with index `index`.
pub fn host(index: usize) -> name::Host {
    name::Host::new(&format!("h{}", index + 1))
}

/// An idempotent class with its targets in milliseconds.
pub fn class(name: &str, tier: u8, first_token_ms: u64, complete_ms: u64) -> Class {
    Class {
        name: name::Class::new(name),
        tier: Tier(tier),
        first_token_ms,
        complete_ms,
        max_running_ms: 2 * complete_ms,
        idempotent: true,
        floor_percent: Percent(5),
    }
}

/// A pool of model engines.
pub fn model(name: &str, warm_limit: u32) -> Pool {
    Pool {
        name: name::Pool::new(name),
        kind: Kind::Model,
        latest_end_ms: 60_000,
        cold_limit: 2,
        warm_limit,
        queue_limit: 1_000,
    }
}

/// A pool of plain services.
pub fn service(name: &str, warm_limit: u32) -> Pool {
    Pool { kind: Kind::Service, cold_limit: warm_limit, ..model(name, warm_limit) }
}
