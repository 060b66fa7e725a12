//! Request bodies in memory.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;

use crate::gateway::Gateway;

/// A request body in memory, counted in [`Gateway::body_bytes`] until it is dropped.
pub struct BufferedBody {
    gateway: Arc<Gateway>,
    bytes: Bytes,
}

impl BufferedBody {
    /// Counts and keeps `bytes`.
    pub fn new(gateway: Arc<Gateway>, bytes: Bytes) -> Self {
        gateway.body_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        Self { gateway, bytes }
    }

    /// A body of 0 bytes.
    pub fn empty(gateway: Arc<Gateway>) -> Self {
        Self { gateway, bytes: Bytes::new() }
    }

    /// The bytes, shared without a copy.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.gateway.body_bytes.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}
