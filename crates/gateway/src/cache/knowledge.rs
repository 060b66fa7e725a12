//! Since when this daemon knows every build that a pool had.
//!
//! For streams that no daemon knows any more, as all were killed in a release. Such a stream may go
//! on only at a build that is known to be the only one that can have begun it.

use std::time::{Duration, Instant};

use hyssop_document::{build::Build, name::Pool};

use super::{Cache, Inner, MAX_LIFETIME};
use crate::{record::Position, restore::REWRITE_TIME};

/// Since when a state is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Since {
    /// Since before the first stream began.
    Beginning,
    Time(Instant),
}

/// The time for which the published state has been known without a gap.
///
/// It begins [`REWRITE_TIME`] after the state was read in full, as a source that comes back, or was
/// restored, lacks backend servers until they publish themselves again. It begins in the past if the
/// source shows all changes from before the read (`past.rs`). It ends with each gap in which a build
/// can come and go unseen.
#[derive(Debug, Default)]
pub(super) struct Knowledge {
    complete_since: Option<Since>,
    /// The time before which the knowledge doesn't count, whenever it begins.
    settled_at: Option<Instant>,
    /// The number of gaps so far.
    gaps: u64,
    /// The latest position that a peer reported.
    peers_at: Position,
}

impl Knowledge {
    /// Ends the knowledge: what is published now is unknown.
    pub(super) fn end(&mut self) {
        self.gaps += 1;
        self.complete_since = None;
    }

    /// Starts the knowledge anew, as something came and went unseen before `now`.
    pub(super) fn restart(&mut self, now: Instant) {
        self.gaps += 1;
        self.complete_since = self.complete_since.map(|since| since.max(Since::Time(now)));
    }

    /// The number of gaps so far.
    pub(super) fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Extends the knowledge to the past, unless a gap came after the first `gaps`. It counts from
    /// `settled_at` on.
    pub(super) fn extend(&mut self, gaps: u64, settled_at: Option<Instant>) -> bool {
        let is_extended = self.gaps == gaps && self.complete_since.is_some();
        if is_extended {
            (self.complete_since, self.settled_at) = (Some(Since::Beginning), settled_at);
        }
        is_extended
    }
}

impl Inner {
    /// Records that the state is complete as of `now`.
    pub(super) fn confirm(&mut self, now: Instant) {
        let is_complete = self.complete_at != Position::default();
        if is_complete && !self.suspended && self.source_lost_at.is_none() {
            self.knowledge.complete_since.get_or_insert(Since::Time(now + REWRITE_TIME));
        }
    }

    /// Since when the published state has been known without a gap, if it is known now.
    fn known_since(&self) -> Option<Since> {
        let is_behind = self.applied < self.knowledge.peers_at || !self.awaited.is_empty();
        let is_current = !is_behind && !self.suspended && self.source_lost_at.is_none();
        self.knowledge.complete_since.filter(|_| is_current)
    }
}

impl Cache {
    /// Marks the state as out of date after a suspension of the process, until the source or a peer
    /// has provided it again.
    pub fn set_suspended(&self, suspended: bool) {
        let mut inner = self.inner.lock();
        inner.suspended = suspended;
        inner.knowledge.end();
    }

    /// Whether the state is out of date, so that it must not be used.
    pub fn is_suspended(&self) -> bool {
        self.inner.lock().suspended
    }

    /// The build that began all streams of a route with these pools which a caller can resume who
    /// waits for `left`: the only one that the pools have had for as long as such a stream can last,
    /// draining servers included.
    ///
    /// # Errors
    ///
    /// If there may have been others: the time after which this daemon will know, if time alone ends
    /// the doubt.
    pub fn only_build(
        &self,
        pools: &[(Pool, u32)],
        left: Option<Duration>,
        now: Instant,
    ) -> Result<Build, Option<Duration>> {
        let inner = self.inner.lock();
        let pools = || pools.iter().map(|(pool, _)| pool);
        let servers = inner.servers.values().map(|cached| &cached.server);
        let mut builds = servers
            .filter(|server| pools().any(|pool| server.pool == *pool))
            .map(|server| &server.build);
        let build = builds.next().ok_or(None)?;
        if builds.any(|other| other != build) {
            return Err(None);
        }
        let known = inner.known_since().ok_or(None)?;
        let others = pools().filter_map(|pool| inner.departed_builds.last_other(pool, build));
        let since = others.map(Since::Time).fold(known, Since::max);
        let ages = pools().map(|pool| inner.lifetimes.max_age(pool, left, now));
        let age = ages.max().unwrap_or(MAX_LIFETIME);
        let covered_at = match since {
            Since::Beginning => None,
            Since::Time(since) => Some(since + age),
        };
        match covered_at.max(inner.knowledge.settled_at) {
            Some(known_at) if now < known_at => Err(Some(known_at - now)),
            _ => Ok(build.clone()),
        }
    }

    /// Records the position of a peer. One that watches the source and is not ahead shows that this
    /// daemon, which may have no other source, has the current state.
    pub fn on_peer_position(&self, position: Position, watches_source: bool, now: Instant) {
        let mut inner = self.inner.lock();
        inner.knowledge.peers_at = inner.knowledge.peers_at.max(position);
        if watches_source && position <= inner.applied {
            inner.confirm(now);
        }
    }
}
