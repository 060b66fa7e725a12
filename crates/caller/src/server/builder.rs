//! Settings of a server.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{Limits, Server, Shared, read::Memory, table::Table};
use crate::desk::Desk;

/// Builds a [`Server`].
pub struct Builder {
    listener: TcpListener,
    desk: Arc<dyn Desk>,
    limits: Limits,
    stop: CancellationToken,
}

impl Builder {
    pub(super) fn new(listener: TcpListener, desk: Arc<dyn Desk>) -> Self {
        let stop = CancellationToken::new();
        Self { listener, desk, limits: Limits::default(), stop }
    }

    /// Sets the limits.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the token that stops the server.
    pub fn stop(mut self, stop: CancellationToken) -> Self {
        self.stop = stop;
        self
    }

    /// The server.
    pub fn build(self) -> Server {
        let shared = Shared {
            desk: self.desk,
            limits: self.limits,
            table: Table::new(self.limits.connections),
            memory: Memory::new(self.limits.all_body_bytes),
            stop: self.stop.clone(),
        };
        Server { listener: self.listener, shared: Arc::new(shared), stop: self.stop }
    }
}
