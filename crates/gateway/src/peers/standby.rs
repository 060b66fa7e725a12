//! When a daemon goes on from idle to standby watcher.

use std::time::{Duration, Instant};

use hyssop_view::member::Role;

/// Since when an idle daemon has been wanted as a standby watcher.
#[derive(Debug, Default)]
pub(super) struct Standby {
    since: Option<Instant>,
}

impl Standby {
    /// The role that a daemon assumes: an idle one stays idle for `delay` before it stands by.
    pub(super) fn delay(
        &mut self,
        role: Role,
        current: Role,
        delay: Duration,
        now: Instant,
    ) -> Role {
        if (current, role) != (Role::Idle, Role::StandbyWatcher) {
            self.since = None;
            return role;
        }
        let since = *self.since.get_or_insert(now);
        if now.duration_since(since) < delay { Role::Idle } else { role }
    }
}
