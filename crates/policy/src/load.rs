//! Load reports of backend servers, which arrive with a delay.

use serde::{Deserialize, Serialize};

/// A load report of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Identifies the run of the backend server's process.
    pub incarnation: u64,
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of requests in its own queue.
    pub waiting: u32,
    /// The used fraction of the KV cache, 0 to 1.
    pub kv_used: f32,
    /// Whether it reports to be in cold start.
    pub cold: bool,
    /// Its output rate in tokens per second, if it reports one.
    pub tokens_per_s: Option<f64>,
}

impl Load {
    /// The number of requests at the backend server, running or waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
