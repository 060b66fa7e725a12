//! Limits on connections and requests.

use std::time::Duration;

/// Limits on connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The open connections.
    pub connections: usize,
    /// The bytes of a request's head.
    pub head_bytes: usize,
    /// The header fields of a request.
    pub header_fields: usize,
    /// The bytes of a request's body.
    pub body_bytes: usize,
    /// The bytes of all bodies that are read or held.
    pub all_body_bytes: usize,
    /// The time for a request's head, and for which an idle connection is kept.
    pub head_time: Duration,
    /// The time for a request's body.
    pub body_time: Duration,
    /// The time for which a caller may refuse to take more of its answer.
    pub write_stall: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            head_bytes: 32 << 10,
            header_fields: 64,
            body_bytes: 4 << 20,
            all_body_bytes: 128 << 20,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(20),
            write_stall: Duration::from_secs(30),
        }
    }
}
