//! The model of the document, as operators write it in JSON.
//!
//! These types enforce no rules. [`crate::load`] checks the values.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    name,
    number::{Percent, Revision, Tier},
};

/// The group size if the document sets none, in backend servers.
pub const DEFAULT_GROUP_SIZE: usize = 64;

/// The queue limit of a group if the pool sets none, in requests.
pub const DEFAULT_QUEUE_LIMIT: usize = 1000;

/// The document of one environment: everything that operators declare.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Document {
    /// The environment that the document describes.
    pub environment: name::Environment,
    /// Daemons adopt a document only if its revision is higher than that of the one in force.
    pub revision: Revision,
    /// The number of backend servers in a group. Each group has one scheduler.
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
    /// The target for the time to the complete response, in milliseconds.
    pub complete_ms: u64,
    /// The maximum time that a request may run on a backend server, in milliseconds.
    pub max_running_ms: u64,
    /// Whether a request of the class may be executed more than once.
    pub idempotent: bool,
    /// The percentage of a pool's slots reserved for the class while its requests wait.
    pub floor_percent: Percent,
}

impl Class {
    /// The target for the time to the first token.
    pub fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// The target for the time to the complete response.
    pub fn complete_target(&self) -> Duration {
        Duration::from_millis(self.complete_ms)
    }

    /// The maximum time that a request may run on a backend server.
    pub fn max_running(&self) -> Duration {
        Duration::from_millis(self.max_running_ms)
    }
}

/// A workspace: the callers of one customer, with a share of the capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Workspace {
    /// The name.
    pub name: name::Workspace,
    /// The weight relative to other workspaces in the same class.
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

/// Whether the backend servers of a pool run a model or a plain service.
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

/// The error for a text that is not a kind of pool.
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
    /// Whether the pool serves a model or a plain service.
    pub kind: Kind,
    /// The maximum time that a permit is counted after its grant, in milliseconds.
    pub latest_end_ms: u64,
    /// The number of concurrent requests that a backend server sustains during cold start.
    pub cold_limit: u32,
    /// The number of concurrent requests that a warm backend server sustains.
    pub warm_limit: u32,
    /// The number of requests that may wait in each group of the pool.
    pub queue_limit: usize,
}

impl Pool {
    /// The maximum time that a permit is counted after its grant.
    pub fn latest_end(&self) -> Duration {
        Duration::from_millis(self.latest_end_ms)
    }
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Backend {
    /// The name.
    pub name: name::Backend,
    /// The address that the backend server listens on.
    pub address: SocketAddr,
    /// The availability zone of the backend server.
    pub zone: name::Zone,
    /// The pool that the backend server belongs to.
    pub pool: name::Pool,
}
