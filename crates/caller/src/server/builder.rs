//! Construction of a server.

use std::sync::Arc;

use hyssop_listener::Gate;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{Limits, Server, Shared, connections::Connections, read::MemoryLimit};
use crate::handler::Handler;

/// Builds a [`Server`].
pub struct Builder {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: Limits,
    stop: CancellationToken,
}

impl Builder {
    pub(super) fn new(listener: TcpListener, handler: Arc<dyn Handler>) -> Self {
        let stop = CancellationToken::new();
        Self { listener, handler, limits: Limits::default(), stop }
    }

    /// Sets the limits on connections and requests.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the token that stops the server.
    pub fn stop(mut self, stop: CancellationToken) -> Self {
        self.stop = stop;
        self
    }

    /// Makes the server, which accepts connections once [`Server::run`] is called.
    pub fn build(self) -> Server {
        let shared = Shared {
            handler: self.handler,
            limits: self.limits,
            connections: Connections::new(self.limits.max_connections),
            memory: MemoryLimit::new(self.limits.max_total_body_bytes),
            gate: Gate::default(),
            cutting: CancellationToken::new(),
        };
        Server { listener: self.listener, shared: Arc::new(shared), stop: self.stop }
    }
}
