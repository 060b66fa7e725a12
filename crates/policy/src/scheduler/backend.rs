//! The scheduler's state of one backend server.

use std::time::{Duration, Instant};

use hyssop_document::model;

use crate::{
    coldstart::{Cause, Completion, Epoch, Tracker},
    estimate::{DriftDetector, Speed},
    load::Load,
    permit::{End, Release},
    share::Share,
    status,
    straggler::Detector,
};

use super::grants::Grant;

/// A backend server gets no new requests above this fraction of its KV cache.
const KV_HIGH_WATER_RATIO: f32 = 0.9;

/// The fraction of the expected growth of all responses that counts. Responses end at different
/// times, so the cache never holds all of them at full length.
const KV_GROWTH_RATIO: f32 = 0.5;

/// The maximum expected growth of the used KV cache.
const MAX_KV_GROWTH_FACTOR: f32 = 2.0;

/// The age above which the KV cache usage of a report is ignored.
const KV_REPORT_TTL: Duration = Duration::from_secs(5);

/// The time for which a backend server gets no requests after a failed connection, unless it
/// reports its load. Otherwise a backend server that fails every request at once would look the
/// least loaded.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// The time for which an aborted request still counts at a cold backend server.
const ABORTED_TTL: Duration = Duration::from_millis(500);

/// A load report with its time of arrival.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    received_at: Instant,
}

/// Measurements of a request that ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    /// Whether the backend server met the targets of the class, not counting the wait in the queue.
    pub(super) on_time: bool,
    /// The time to the first token, divided by the typical time of the class.
    pub(super) first_token_ratio: Option<f64>,
    /// The group's median of `first_token_ratio`.
    pub(super) group_median: Option<f64>,
}

/// The state of one backend server.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) model: model::Backend,
    pub(super) in_service: bool,
    pub(super) tracker: Tracker,
    pub(super) straggler: Detector,
    pub(super) speed: Speed,
    pub(super) drift: DriftDetector,
    pub(super) running: u32,
    /// The number of running requests that are suspected of crashing backend servers.
    pub(super) running_suspects: u32,
    /// The times until which aborted requests still count.
    aborted_until: Vec<Instant>,
    last_report: Option<Report>,
    /// The end of the pause after a failed connection. A load report clears it.
    failed_until: Option<Instant>,
    granted_since_report: u32,
    finished_since_report: u32,
    /// The tokens of prompts and received output, over all permits in use.
    current_tokens: u64,
    /// The expected tokens of prompts and complete responses, over all permits in use.
    expected_tokens: u64,
}

impl Backend {
    pub(super) fn new(model: model::Backend, pool: &model::Pool) -> Self {
        Self {
            model,
            in_service: true,
            tracker: Tracker::new(pool.cold_limit, pool.warm_limit),
            straggler: Detector::default(),
            speed: Speed::default(),
            drift: DriftDetector::default(),
            running: 0,
            running_suspects: 0,
            aborted_until: Vec::new(),
            last_report: None,
            failed_until: None,
            granted_since_report: 0,
            finished_since_report: 0,
            current_tokens: 0,
            expected_tokens: 0,
        }
    }

    /// The number of requests that the backend server may run, over all schedulers.
    pub(super) fn limit(&self) -> u32 {
        self.straggler.reduced_limit(self.tracker.limit())
    }

    /// The number of slots that a scheduler with `share` may use.
    pub(super) fn slots(&self, share: Share) -> u32 {
        if self.in_service { share.of(self.limit()) } else { 0 }
    }

    /// The estimated number of requests at the backend server: the larger of the scheduler's own
    /// count and the last report, adjusted by the grants and completions since then.
    pub(super) fn occupancy(&self, now: Instant) -> u32 {
        self.own_count(now).max(self.reported_count())
    }

    /// Whether one more request may be granted.
    pub(super) fn has_room(&self, share: Share, now: Instant) -> bool {
        self.in_service
            && self.failed_until.is_none_or(|until| until <= now)
            && self.own_count(now) < self.slots(share)
            && self.occupancy(now) < self.limit()
            && self.kv_used(now) < KV_HIGH_WATER_RATIO
    }

    /// The expected used fraction of the KV cache.
    ///
    /// Running responses keep growing, and each grant since the report adds the average usage of a
    /// request.
    pub(super) fn kv_used(&self, now: Instant) -> f32 {
        let Some(report) = self.last_report else { return 0.0 };
        let stale = now.saturating_duration_since(report.received_at) > KV_REPORT_TTL;
        let requests = report.load.requests();
        if stale || requests == 0 {
            return 0.0;
        }
        let per_request = report.load.kv_used / requests as f32;
        (report.load.kv_used + per_request * self.granted_since_report as f32)
            * self.kv_growth_factor()
    }

    /// The factor by which the current tokens are expected to grow.
    fn kv_growth_factor(&self) -> f32 {
        if self.current_tokens == 0 {
            return 1.0;
        }
        let pending = self.expected_tokens.saturating_sub(self.current_tokens) as f32;
        let factor = 1.0 + KV_GROWTH_RATIO * pending / self.current_tokens as f32;
        factor.min(MAX_KV_GROWTH_FACTOR)
    }

    /// Adds tokens that have arrived and further tokens that are expected.
    pub(super) fn record_progress(&mut self, arrived: u64, expected: u64) {
        self.current_tokens += arrived;
        self.expected_tokens += expected;
    }

    /// Records that a connection failed in the cold start `epoch`.
    pub(super) fn record_failure(&mut self, epoch: Epoch, now: Instant) {
        if epoch == self.tracker.epoch() {
            self.failed_until = Some(now + FAILURE_PAUSE);
        }
        let cause = self.tracker.record_failure(epoch);
        self.log_cold_start(cause);
    }

    /// Records that no load report could be fetched.
    pub(super) fn record_unreachable(&mut self, now: Instant) {
        if self.failed_until.is_none() {
            self.record_failure(self.tracker.epoch(), now);
        }
        self.failed_until = Some(now + FAILURE_PAUSE);
    }

    /// Clears an expired failure pause and expired aborted requests.
    pub(super) fn expire(&mut self, now: Instant) {
        self.failed_until = self.failed_until.filter(|until| *until > now);
        self.aborted_until.retain(|until| *until > now);
    }

    /// The next time at which a failure pause ends or an aborted request stops counting.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.aborted_until.iter().copied().chain(self.failed_until).min()
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.last_report.map_or(0, |report| report.load.incarnation)
    }

    /// Records a load report. If it begins a cold start, the cause is logged.
    pub(super) fn record_load(&mut self, load: Load, now: Instant) {
        let cause = self.tracker.record_report(load.incarnation, load.cold);
        self.last_report = Some(Report { load, received_at: now });
        self.failed_until = None;
        self.granted_since_report = 0;
        self.finished_since_report = 0;
        self.log_cold_start(cause);
    }

    /// Counts a new permit.
    pub(super) fn grant(&mut self, grant: &Grant) {
        self.adopt(grant);
        self.granted_since_report += 1;
    }

    /// Counts a permit without adjusting the last report.
    pub(super) fn adopt(&mut self, grant: &Grant) {
        self.running += 1;
        self.running_suspects += u32::from(grant.suspect);
        self.current_tokens += grant.current_tokens();
        self.expected_tokens += grant.cost_tokens;
    }

    /// Resets the counts of all permits.
    pub(super) fn clear_permits(&mut self) {
        self.running = 0;
        self.running_suspects = 0;
        self.current_tokens = 0;
        self.expected_tokens = 0;
    }

    /// Stops counting a permit. `end` is `None` for a permit that expired.
    pub(super) fn end(&mut self, grant: &Grant, end: Option<End>, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.running_suspects = self.running_suspects.saturating_sub(u32::from(grant.suspect));
        self.current_tokens = self.current_tokens.saturating_sub(grant.current_tokens());
        self.expected_tokens = self.expected_tokens.saturating_sub(grant.cost_tokens);
        self.count_end(grant);
        let done = matches!(end, Some(End::Completed | End::NotDispatched | End::Refused503));
        if !done {
            self.aborted_until.push(now + ABORTED_TTL);
        }
    }

    /// Updates the limit and the speed from a request that ended.
    pub(super) fn record_release(
        &mut self,
        grant: &Grant,
        release: &Release,
        sample: Sample,
        now: Instant,
    ) {
        let Some(epoch) = grant.epoch else { return };
        let cause = match release.end {
            End::BackendFailed => {
                self.record_failure(epoch, now);
                None
            }
            End::Refused503 => {
                self.tracker.record_refusal(epoch);
                None
            }
            End::Completed => {
                self.tracker.record_completion(Completion {
                    epoch,
                    on_time: sample.on_time,
                    loaded: grant.loaded,
                });
                self.record_speed(release, sample)
            }
            End::Cancelled | End::NotDispatched | End::TimedOut => None,
        };
        self.log_cold_start(cause);
    }

    pub(super) fn status(&self, share: Share, now: Instant) -> status::Backend {
        status::Backend {
            name: self.model.name.clone(),
            zone: self.model.zone.clone(),
            in_service: self.in_service,
            cold: self.tracker.is_cold().then(|| self.tracker.cause()),
            straggler: self.straggler.is_straggler(),
            limit: self.limit(),
            has_room: self.has_room(share, now),
            running: self.running,
            reported: self.last_report.map_or(0, |report| report.load.requests()),
            kv_used: self.last_report.map_or(0.0, |report| report.load.kv_used),
            first_token_ms: self.speed.first_token_ms.get(),
            inter_token_ms: self.speed.inter_token_ms.get(),
        }
    }

    fn own_count(&self, now: Instant) -> u32 {
        if !self.tracker.is_cold() {
            return self.running;
        }
        let aborted = self.aborted_until.iter().filter(|until| **until > now).count();
        self.running + aborted as u32
    }

    fn reported_count(&self) -> u32 {
        let Some(report) = self.last_report else { return 0 };
        let finished = if self.tracker.is_cold() { 0 } else { self.finished_since_report };
        report.load.requests().saturating_sub(finished) + self.granted_since_report
    }

    fn count_end(&mut self, grant: &Grant) {
        let in_report =
            self.last_report.is_some_and(|report| grant.granted_at < report.received_at);
        if in_report {
            self.finished_since_report += 1;
        } else {
            self.granted_since_report = self.granted_since_report.saturating_sub(1);
        }
    }

    fn record_speed(&mut self, release: &Release, sample: Sample) -> Option<Cause> {
        let first_token_ms = release.first_token_ms.unwrap_or(release.elapsed_ms) as f64;
        self.speed.first_token_ms.record(first_token_ms);
        let gaps = release.output_tokens.0.saturating_sub(1);
        if let (Some(first), 1..) = (release.first_token_ms, gaps) {
            let streaming_ms = release.elapsed_ms.saturating_sub(first) as f64;
            self.speed.inter_token_ms.record(streaming_ms / gaps as f64);
        }
        let first_token_ratio = sample.first_token_ratio?;
        self.speed.first_token_ratio.record(first_token_ratio);
        if self.drift.record(first_token_ratio, sample.group_median) {
            self.tracker.record_drift()
        } else {
            None
        }
    }

    fn log_cold_start(&self, cause: Option<Cause>) {
        if let Some(cause) = cause {
            log::warn!(
                "backend turned cold backend={} cause={cause} limit={} running={}",
                self.model.name,
                self.limit(),
                self.running
            );
        }
    }
}
