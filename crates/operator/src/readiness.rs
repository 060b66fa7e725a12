//! The readiness of a daemon for callers.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The result of a readiness check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the daemon is ready for callers.
    pub ready: bool,
    /// The conditions that keep the daemon from being ready; empty if it is ready.
    pub waiting_for: Vec<CompactString>,
}

impl Readiness {
    /// The readiness of a daemon that waits for these conditions.
    pub fn new(waiting_for: Vec<CompactString>) -> Self {
        Self { ready: waiting_for.is_empty(), waiting_for }
    }
}
