//! Load reports of backend servers, which arrive with a delay.

use serde::{Deserialize, Serialize};

/// A load report of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Identifies the run of the backend server's process.
    pub incarnation: u64,
    /// The number of requests that the backend server runs.
    pub running: u32,
    /// The number of requests in the backend server's own queue.
    pub waiting: u32,
    /// The used fraction of the KV cache, 0 to 1.
    pub kv_used: f32,
    /// Whether the backend server reports that it is cold.
    pub cold: bool,
    /// The output rate in tokens per second, if the backend server reports one.
    pub tokens_per_s: Option<f64>,
}

impl Load {
    /// The number of requests at the backend server, running or waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
