//! What a backend server reports about itself, with a lag.

use serde::{Deserialize, Serialize};

/// One report of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The run of the backend server's process.
    pub incarnation: u64,
    /// The requests that it runs.
    pub running: u32,
    /// The requests that wait inside it.
    pub waiting: u32,
    /// The used part of the KV cache, 0 to 1.
    pub kv_used: f32,
    /// Whether it says that it is in cold start.
    pub cold: bool,
    /// The tokens that it generates in a second, if it says so.
    pub tokens_per_s: Option<f64>,
}

impl Load {
    /// The requests inside the backend server, running or waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
