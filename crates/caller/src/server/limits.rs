//! Limits on connections and requests.

use std::time::Duration;

/// Limits on the connections of a server and on their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open connections.
    pub max_connections: usize,
    /// The maximum size of a request's head.
    pub max_head_bytes: usize,
    /// The maximum number of header fields of a request.
    pub max_header_fields: usize,
    /// The maximum size of a request's body.
    pub max_body_bytes: usize,
    /// The maximum size of all request bodies in memory together.
    pub max_total_body_bytes: usize,
    /// The time limit for a request's head, and for an idle connection.
    pub head_timeout: Duration,
    /// The time limit for a request's body.
    pub body_timeout: Duration,
    /// The time for which writes to a caller may make no progress.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_head_bytes: 32 << 10,
            max_header_fields: 64,
            max_body_bytes: 4 << 20,
            max_total_body_bytes: 128 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(20),
            write_timeout: Duration::from_secs(30),
        }
    }
}
