//! Streams that are continued: only at the build that began them.
//!
//! For releases, during which a pool has backend servers of several builds. What two builds write
//! doesn't fit together, and backend servers don't check it.

use std::time::{Duration, Instant};

use hyssop_document::build::Build;
use hyssop_view::origin::StreamId;

use super::{Call, Failure};
use crate::{
    cache::MAX_LIFETIME,
    intake::elapsed_ms,
    record::Server,
    refusal::{Reason, Refusal},
};

/// `Retry-After` for streams whose build only another daemon can know.
const UNKNOWN_BUILD_RETRY_AFTER: Duration = Duration::from_millis(200);
/// How long a stream may be taken up after the deadline of the request that began it.
const TAKE_UP_MARGIN: Duration = Duration::from_secs(1);
/// The maximum time for which the build of a stream is recorded.
const MAX_ORIGIN_TTL: Duration = MAX_LIFETIME;

impl Call {
    /// Finds the build that began the stream, if the caller takes one up.
    ///
    /// # Errors
    ///
    /// Refuses the request if the build is unknown and could be another one than that of the
    /// backend servers in service.
    pub(super) async fn find_build(&mut self) -> Result<(), Failure> {
        if self.route.streams
            && let Some(deadline) = self.meta.deadline
        {
            let now = Instant::now();
            self.gateway.cache.record_deadline(&self.demand.pool, deadline, now);
        }
        let takes_up = self.last_event_id.is_some() || self.meta.resumes.is_some();
        if !self.route.streams || !takes_up {
            return Ok(());
        }
        let origin = match &self.meta.resumes {
            Some(resumes) => self.gateway.origins.find(StreamId::of_request(resumes)).await,
            None => None,
        };
        let known = origin.is_some();
        let build = origin.map_or_else(|| self.only_possible_build(), Ok);
        self.demand.build = build.as_ref().ok().cloned();
        tracing::info!(
            event = "taken_up", id = %self.meta.id, resumes = self.meta.resumes.as_deref(), known,
            build = self.demand.build.as_ref().map(tracing::field::display),
            after_ms = elapsed_ms(self.arrived),
            source_age_ms = self.gateway.cache.source_age_ms(Instant::now())
        );
        let refused = |after| Failure::Refused(Refusal::temporary(Reason::UnknownBuild, after));
        build.map(drop).map_err(refused)
    }

    /// The build that began a stream of which neither this daemon nor its peers know the origin, if
    /// the route's pools had only one since the stream can have begun.
    ///
    /// # Errors
    ///
    /// If the build is unknown: the time after which the caller may return. If this daemon will not
    /// know within the time that the caller has left, another one may.
    fn only_possible_build(&self) -> Result<Build, Duration> {
        let (cache, left) = (&self.gateway.cache, self.meta.deadline);
        cache.only_build(&self.route.pools, left, Instant::now()).map_err(|wait| {
            let useful = wait.filter(|wait| left.is_none_or(|left| *wait < left));
            useful.unwrap_or(UNKNOWN_BUILD_RETRY_AFTER)
        })
    }

    /// Records that the caller gets the first event of a stream from `server`.
    pub(crate) fn begin_stream(&mut self, server: &Server) {
        let build = self.demand.build.get_or_insert_with(|| server.build.clone());
        if !self.route.retry_policy.allows_rerun() {
            return;
        }
        let first_request = self.meta.resumes.as_ref().unwrap_or(&self.meta.id);
        let now = Instant::now();
        let caller_deadline = self.meta.deadline.map_or(self.deadline, |left| self.arrived + left);
        let left = caller_deadline.max(self.deadline).saturating_duration_since(now);
        let ttl = (left + TAKE_UP_MARGIN).min(MAX_ORIGIN_TTL);
        self.gateway.origins.record(StreamId::of_request(first_request), build, ttl, now);
    }
}
