//! A request's body, counted while it is held.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;

use crate::gateway::Gateway;

/// A body that counts against the memory for bodies.
pub struct Held {
    gateway: Arc<Gateway>,
    bytes: Bytes,
}

impl Held {
    /// Holds `bytes`.
    pub fn new(gateway: Arc<Gateway>, bytes: Bytes) -> Self {
        gateway.body_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        Self { gateway, bytes }
    }

    /// Holds nothing.
    pub fn empty(gateway: Arc<Gateway>) -> Self {
        Self { gateway, bytes: Bytes::new() }
    }

    /// The bytes.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.gateway.body_bytes.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}
