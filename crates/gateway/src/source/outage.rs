//! What tells a daemon that the source is lost while no other daemon watches it.

use std::time::{Duration, Instant};

use hyssop_view::watch::Watch;

use super::Error;

/// How long calls must have failed before the source counts as lost, so that a peer whose calls
/// succeed can report it.
const FAILURE_CONFIRMATION_TIME: Duration = Duration::from_millis(300);
/// How long no daemon may watch the source, after all watchers have reported that they can't, before it
/// counts as lost: until a standby watcher has called it and its peers have received its heartbeat. Leases
/// of backend servers last for more than three seconds, so none that runs out meanwhile is taken for
/// removed.
const REPORT_CONFIRMATION_TIME: Duration = Duration::from_millis(800);
/// The status of calls beyond the rate that all daemons share.
const TOO_MANY_REQUESTS: u16 = 429;

/// The failed calls of this daemon, and the reports of others, since the source was last watched.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    failing_since: Option<Instant>,
    /// Whether the failures tell more than that many daemons call at the same time.
    is_unreachable: bool,
    /// Since when all watchers have reported that they can't reach the source.
    reported_since: Option<Instant>,
}

impl Outage {
    /// Records a failed call of this daemon.
    pub(super) fn record_failure(&mut self, error: &Error, now: Instant) {
        self.failing_since.get_or_insert(now);
        self.is_unreachable |= *error != Error::Refused(TOO_MANY_REQUESTS);
    }

    /// Records whether other daemons watch the source. Returns whether it is lost.
    pub(crate) fn record_watch(&mut self, watch: Watch, now: Instant) -> bool {
        match watch {
            Watch::Active => return false,
            Watch::Silent => {}
            Watch::Ended => {
                self.reported_since.get_or_insert(now);
            }
        }
        let has_lasted = |since: Option<Instant>, time: Duration| {
            since.is_some_and(|since| now.duration_since(since) >= time)
        };
        has_lasted(self.failing_since, FAILURE_CONFIRMATION_TIME)
            || has_lasted(self.reported_since, REPORT_CONFIRMATION_TIME)
    }

    /// Ends it, after a call of this daemon or a peer has succeeded. Returns whether the source was
    /// unreachable for this daemon for long enough to count as lost.
    pub(crate) fn end(&mut self, now: Instant) -> bool {
        let Self { failing_since, is_unreachable, .. } = std::mem::take(self);
        let failed_for = failing_since.map(|since| now.duration_since(since));
        is_unreachable && failed_for.is_some_and(|time| time >= FAILURE_CONFIRMATION_TIME)
    }
}
