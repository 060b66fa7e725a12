//! Whether the source is lost, and since when.

use std::time::{Duration, Instant};

use super::{Cache, LAPSED_SERVER_GRACE};

impl Cache {
    /// Records that the source can't be reached or refuses calls.
    pub fn on_source_lost(&self, now: Instant) {
        let mut inner = self.inner.lock();
        inner.grace_until = None;
        inner.knowledge.end();
        inner.source_lost_at.get_or_insert(now);
    }

    /// The time since the source's last response in ms, or `None` before the first.
    pub fn source_age_ms(&self, now: Instant) -> Option<u64> {
        Some(now.duration_since(self.inner.lock().last_response?).as_millis() as u64)
    }

    /// Records a response of the source to this daemon or a peer. Returns the length of the outage
    /// that this ends, if any.
    pub fn on_source_response(&self, now: Instant) -> Option<Duration> {
        let mut inner = self.inner.lock();
        inner.last_response = Some(now);
        let lost_at = inner.source_lost_at.take()?;
        let grace_until = now + LAPSED_SERVER_GRACE;
        inner.grace_until = Some(grace_until);
        for cached in inner.servers.values_mut() {
            if let Some(expires_at) = &mut cached.expires_at {
                *expires_at = grace_until;
            }
        }
        Some(now.duration_since(lost_at))
    }

    /// Whether the source is reachable: false from [`Self::on_source_lost`] until its next
    /// response.
    pub fn is_source_up(&self) -> bool {
        self.inner.lock().source_lost_at.is_none()
    }
}
