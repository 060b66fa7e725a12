//! Limits on the runs of a home.

use std::time::Duration;

/// Limits on the runs of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of dispatched attempts of one request.
    pub max_attempts: u32,
    /// The maximum number of permits of one request, used or not.
    pub max_permits: u32,
    /// The maximum number of resumptions of one attempt.
    pub max_resumptions: u32,
    /// The maximum time without data from an engine.
    pub read_timeout: Duration,
    /// The time for which a request with a key keeps running after its last caller has left.
    pub abandon_grace: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_attempts: 5,
            max_permits: 12,
            max_resumptions: 3,
            read_timeout: Duration::from_secs(60),
            abandon_grace: Duration::from_secs(5),
        }
    }
}
