//! The model of the document, as operators write it in JSON.
//!
//! The types here only hold what was read. [`crate::load`] checks it.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    name,
    number::{Percent, Revision, Tier},
};

/// The number of backend servers in a group, if the document does not say.
pub const DEFAULT_GROUP_SIZE: usize = 64;

/// The number of requests that may wait in a group, if the document does not say.
pub const DEFAULT_QUEUE_LIMIT: usize = 1000;

/// One environment: everything operators declare.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Document {
    /// The environment that the document is for.
    pub environment: name::Environment,
    /// The revision. Daemons adopt only a higher one.
    pub revision: Revision,
    /// The number of backend servers in a group, which one scheduler decides for.
    pub group_size: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The backend servers.
    pub backends: Vec<Backend>,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Class {
    /// The name that callers give in the `Request-Class` header.
    pub name: name::Class,
    /// The service tier.
    pub tier: Tier,
    /// The target for the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// The target for the time to the complete answer, in milliseconds.
    pub complete_ms: u64,
    /// The longest time that a request may run at a backend server, in milliseconds.
    pub max_running_ms: u64,
    /// Whether a request of the class may run more than once.
    pub idempotent: bool,
    /// The share of a pool's slots kept for the class while its requests wait.
    pub floor_percent: Percent,
}

impl Class {
    /// The target for the time to the first token.
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// The target for the time to the complete answer.
    pub fn complete(&self) -> Duration {
        Duration::from_millis(self.complete_ms)
    }

    /// The longest time that a request may run at a backend server.
    pub fn max_running(&self) -> Duration {
        Duration::from_millis(self.max_running_ms)
    }
}

/// A workspace: one customer's share of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Workspace {
    /// The name.
    pub name: name::Workspace,
    /// The weight against other workspaces of the same class.
    pub share: u32,
    /// The SHA-256 digest of the key that callers present.
    pub key_sha256: Digest,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Zone {
    /// The name.
    pub name: name::Zone,
}

/// What the backend servers of a pool serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A language model.
    #[display("model")]
    Model,
    /// A plain service.
    #[display("service")]
    Service,
}

/// A text that is no kind of pool.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a pool's kind is \"model\" or \"service\"")]
pub struct KindError;

impl FromStr for Kind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        match text {
            "model" => Ok(Self::Model),
            "service" => Ok(Self::Service),
            _ => Err(KindError),
        }
    }
}

/// A pool: the backend servers of one model or of one plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Pool {
    /// The name: the `model` of a request's body, or the service in its path.
    pub name: name::Pool,
    /// What the pool serves.
    pub kind: Kind,
    /// The longest time that a permit is counted after its grant, in milliseconds.
    pub latest_end_ms: u64,
    /// The number of requests that a backend server in cold start can bear.
    pub cold_limit: u32,
    /// The number of requests that a warm backend server can bear.
    pub warm_limit: u32,
    /// The number of requests that may wait in each group of the pool.
    pub queue_limit: usize,
}

impl Pool {
    /// The longest time that a permit is counted after its grant.
    pub fn latest_end(&self) -> Duration {
        Duration::from_millis(self.latest_end_ms)
    }
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Backend {
    /// The name.
    pub name: name::Backend,
    /// The address that it serves on.
    pub address: SocketAddr,
    /// The availability zone that it is in.
    pub zone: name::Zone,
    /// The pool that it belongs to.
    pub pool: name::Pool,
}
