//! What a daemon's own calls tell of the source while the watchers are silent.

use std::time::{Duration, Instant};

use super::Error;

/// How long calls must have failed before the source counts as lost, so that a peer whose calls
/// succeed can report it.
const CONFIRMATION_TIME: Duration = Duration::from_millis(300);
/// The status of calls beyond the rate that all daemons share.
const TOO_MANY_REQUESTS: u16 = 429;

/// The failed calls of a daemon that stands in for silent watchers.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    since: Option<Instant>,
    /// Whether the failures tell more than that many daemons call at the same time.
    is_unreachable: bool,
}

impl Outage {
    pub(super) fn record(&mut self, error: &Error, now: Instant) {
        self.since.get_or_insert(now);
        self.is_unreachable |= *error != Error::Refused(TOO_MANY_REQUESTS);
    }

    /// Whether the source is lost.
    pub(crate) fn is_confirmed(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now.duration_since(since) >= CONFIRMATION_TIME)
    }

    /// Ends it, after a call of this daemon or a peer has succeeded. Returns whether the source was
    /// unreachable for this daemon.
    pub(crate) fn end(&mut self) -> bool {
        std::mem::take(self).is_unreachable
    }
}
