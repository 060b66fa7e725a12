//! Backend servers that fall silent while requests wait for them.
//!
//! For hosts that lose power or are cut off: their connections stay open and nothing fails. A server
//! that is only slow still accepts connections, so an attempt to connect tells the two apart. Other
//! signs of trouble come later, or are ignored if many servers show them at once.

use std::time::{Duration, Instant};

/// How long a backend server may send nothing while a request waits for it before it is examined.
const SILENCE_LIMIT: Duration = Duration::from_millis(250);

/// The examination of a backend server by an attempt to connect to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Examination {
    /// Nothing suggests that it can't be reached.
    #[default]
    None,
    /// An attempt is under way.
    Running,
    /// The last attempt failed.
    Failed,
}

impl Examination {
    /// Whether an attempt is due. `waiting_since` is when the oldest request in flight was sent,
    /// `silent_for` how long the backend server has sent nothing, `retry_at` when the backoff after
    /// a failure ends.
    pub(super) fn is_due(
        self,
        waiting_since: Option<Instant>,
        silent_for: impl FnOnce() -> Duration,
        retry_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        match self {
            Self::None => waiting_since.is_some_and(|since| {
                now.duration_since(since) >= SILENCE_LIMIT && silent_for() >= SILENCE_LIMIT
            }),
            Self::Running => false,
            Self::Failed => retry_at.is_none_or(|at| at <= now),
        }
    }
}
