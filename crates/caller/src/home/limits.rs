//! Limits on the runs of a home.

use std::time::Duration;

/// Limits on the runs of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The dispatched attempts of one request.
    pub attempts: u32,
    /// The permits of one request, used or not.
    pub permits: u32,
    /// The times that one attempt is resumed.
    pub resumptions: u32,
    /// The longest silence of an engine.
    pub silence: Duration,
    /// The time for which a request with a key runs on after its caller has left.
    pub patience: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            attempts: 5,
            permits: 12,
            resumptions: 3,
            silence: Duration::from_secs(60),
            patience: Duration::from_secs(5),
        }
    }
}
