//! Whether a daemon is ready for callers.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The answer to a readiness check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the daemon is ready.
    pub ready: bool,
    /// What the daemon still waits for; empty when it is ready.
    pub waiting_for: Vec<CompactString>,
}

impl Readiness {
    /// A daemon that is ready unless it waits for something.
    pub fn new(waiting_for: Vec<CompactString>) -> Self {
        Self { ready: waiting_for.is_empty(), waiting_for }
    }
}
