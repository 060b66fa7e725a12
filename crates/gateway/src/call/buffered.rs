//! Request bodies in memory.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;

use crate::gateway::Gateway;

/// Memory for a request body, counted in [`Gateway::body_bytes`] until it is dropped.
pub struct Reservation {
    gateway: Arc<Gateway>,
    bytes: usize,
}

impl Reservation {
    /// A reservation of 0 bytes.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway, bytes: 0 }
    }

    /// Reserves memory for `bytes` in total. Returns whether the daemon has as much.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let (used, limit) = (&self.gateway.body_bytes, self.gateway.settings.body_memory_bytes);
        let fits = |used: usize| used.checked_add(more).filter(|&sum| sum <= limit);
        let reserved = used.try_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok();
        if reserved {
            self.bytes += more;
        }
        reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.gateway.body_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A request body in memory, with its reservation.
pub struct BufferedBody {
    _reservation: Reservation,
    bytes: Bytes,
}

impl BufferedBody {
    /// Keeps `bytes`, for which the memory is reserved.
    pub fn new(reservation: Reservation, bytes: Bytes) -> Self {
        Self { _reservation: reservation, bytes }
    }

    /// A body of 0 bytes.
    pub fn empty(gateway: Arc<Gateway>) -> Self {
        Self::new(Reservation::new(gateway), Bytes::new())
    }

    /// The bytes, shared without a copy.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}
