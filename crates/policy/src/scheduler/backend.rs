//! What a scheduler knows about one backend server.

use std::time::{Duration, Instant};

use hyssop_document::model;

use crate::{
    coldstart::{Cause, Completion, Epoch, Tracker},
    estimate::{Drift, Speed},
    load::Load,
    permit::{End, Release},
    share::Share,
    status,
    straggler::Verdict,
};

use super::grants::Grant;

/// The part of the KV cache above which a backend server gets nothing new.
const KV_HIGH_WATER_MARK: f32 = 0.9;

/// The part of the growth of all answers that counts. They end at different times, so the cache never
/// holds all of them at their full lengths.
const KV_GROWTH_PART: f32 = 0.5;

/// The largest growth that is expected.
const LARGEST_KV_GROWTH: f32 = 2.0;

/// The age above which a report of the KV cache is not used.
const KV_REPORT_AGE: Duration = Duration::from_secs(5);

/// The time for which a backend server gets nothing after a failed connection, unless it reports.
/// Otherwise one that fails every request at once would look like the least loaded one.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// The time for which a request that was broken off still counts at a cold backend server.
const BREAK_OFF_DELAY: Duration = Duration::from_millis(500);

/// A report with the time at which it came.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    at: Instant,
}

/// What a scheduler knows about one backend server.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) model: model::Backend,
    pub(super) in_service: bool,
    pub(super) tracker: Tracker,
    pub(super) verdict: Verdict,
    pub(super) speed: Speed,
    pub(super) drift: Drift,
    pub(super) running: u32,
    /// The running requests that are suspected of crashing backend servers.
    pub(super) suspects: u32,
    /// The times until which requests that were broken off still count.
    broken_off: Vec<Instant>,
    report: Option<Report>,
    /// The time until which it gets nothing after a failed connection, unless it reports before.
    failed_until: Option<Instant>,
    granted_since_report: u32,
    finished_since_report: u32,
    /// The tokens of prompts and answers that are there, over all counted permits.
    tokens: u64,
    /// The tokens that are expected at the ends of the answers.
    expected_tokens: u64,
}

impl Backend {
    pub(super) fn new(model: model::Backend, pool: &model::Pool) -> Self {
        Self {
            model,
            in_service: true,
            tracker: Tracker::new(pool.cold_limit, pool.warm_limit),
            verdict: Verdict::default(),
            speed: Speed::default(),
            drift: Drift::default(),
            running: 0,
            suspects: 0,
            broken_off: Vec::new(),
            report: None,
            failed_until: None,
            granted_since_report: 0,
            finished_since_report: 0,
            tokens: 0,
            expected_tokens: 0,
        }
    }

    /// The number of requests that the backend server may run, over all schedulers.
    pub(super) fn limit(&self) -> u32 {
        self.verdict.limit(self.tracker.limit())
    }

    /// The number of slots that a scheduler with `share` may use.
    pub(super) fn slots(&self, share: Share) -> u32 {
        if self.in_service { share.limit(self.limit()) } else { 0 }
    }

    /// The requests that are known to count: the larger of the own count and what the backend server
    /// reported, moved on by the grants and the completions since then.
    pub(super) fn counted(&self, now: Instant) -> u32 {
        self.own(now).max(self.reported())
    }

    /// Whether one more request may be granted.
    pub(super) fn has_room(&self, share: Share, now: Instant) -> bool {
        self.in_service
            && self.failed_until.is_none_or(|until| until <= now)
            && self.own(now) < self.slots(share)
            && self.counted(now) < self.limit()
            && self.kv_used(now) < KV_HIGH_WATER_MARK
    }

    /// The part of the KV cache that will be used.
    ///
    /// The answers that run go on growing, and each grant since the report adds the average part.
    pub(super) fn kv_used(&self, now: Instant) -> f32 {
        let Some(report) = self.report else { return 0.0 };
        let stale = now.saturating_duration_since(report.at) > KV_REPORT_AGE;
        let requests = report.load.requests();
        if stale || requests == 0 {
            return 0.0;
        }
        let each = report.load.kv_used / requests as f32;
        (report.load.kv_used + each * self.granted_since_report as f32) * self.growth()
    }

    /// The factor by which the tokens that are there are expected to grow.
    fn growth(&self) -> f32 {
        if self.tokens == 0 {
            return 1.0;
        }
        let missing = self.expected_tokens.saturating_sub(self.tokens) as f32;
        let growth = 1.0 + KV_GROWTH_PART * missing / self.tokens as f32;
        growth.min(LARGEST_KV_GROWTH)
    }

    /// Takes note of tokens that have arrived, and of more that are expected.
    pub(super) fn progress(&mut self, arrived: u64, expected: u64) {
        self.tokens += arrived;
        self.expected_tokens += expected;
    }

    /// Takes note that a connection failed in the cold start `epoch`.
    pub(super) fn fail(&mut self, epoch: Epoch, now: Instant) {
        if epoch == self.tracker.epoch() {
            self.failed_until = Some(now + FAILURE_PAUSE);
        }
        let cause = self.tracker.fail(epoch);
        self.log_cold(cause);
    }

    /// Takes note that no load report could be had.
    pub(super) fn unreachable(&mut self, now: Instant) {
        if self.failed_until.is_none() {
            self.fail(self.tracker.epoch(), now);
        }
        self.failed_until = Some(now + FAILURE_PAUSE);
    }

    /// Forgets failures and requests that were broken off long enough ago.
    pub(super) fn expire(&mut self, now: Instant) {
        self.failed_until = self.failed_until.filter(|until| *until > now);
        self.broken_off.retain(|until| *until > now);
    }

    /// The next time at which a request that was broken off stops counting.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.broken_off.iter().copied().chain(self.failed_until).min()
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.report.map_or(0, |report| report.load.incarnation)
    }

    /// Takes in a report. A cold start that begins with it is logged.
    pub(super) fn report(&mut self, load: Load, now: Instant) {
        let cause = self.tracker.report(load.incarnation, load.cold);
        self.report = Some(Report { load, at: now });
        self.failed_until = None;
        self.granted_since_report = 0;
        self.finished_since_report = 0;
        self.log_cold(cause);
    }

    /// Counts a new permit.
    pub(super) fn grant(&mut self, grant: &Grant) {
        self.adopt(grant);
        self.granted_since_report += 1;
    }

    /// Counts a permit that is not new.
    pub(super) fn adopt(&mut self, grant: &Grant) {
        self.running += 1;
        self.suspects += u32::from(grant.solo);
        self.tokens += grant.tokens();
        self.expected_tokens += grant.cost;
    }

    /// Forgets all counted permits.
    pub(super) fn clear(&mut self) {
        self.running = 0;
        self.suspects = 0;
        self.tokens = 0;
        self.expected_tokens = 0;
    }

    /// Stops counting a permit. `end` is how its use ended, if that is known.
    pub(super) fn end(&mut self, grant: &Grant, end: Option<End>, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.suspects = self.suspects.saturating_sub(u32::from(grant.solo));
        self.tokens = self.tokens.saturating_sub(grant.tokens());
        self.expected_tokens = self.expected_tokens.saturating_sub(grant.cost);
        self.finish(grant);
        let done = matches!(end, Some(End::Completed | End::NotDispatched | End::Refused503));
        if !done {
            self.broken_off.push(now + BREAK_OFF_DELAY);
        }
    }

    /// Learns from the end of a request.
    ///
    /// `on_time` tells whether it met the targets of its class without what it waited before.
    pub(super) fn learn(
        &mut self,
        grant: &Grant,
        release: &Release,
        on_time: bool,
        group_ms: Option<f64>,
        now: Instant,
    ) {
        let Some(epoch) = grant.epoch else { return };
        let cause = match release.end {
            End::BackendFailed => {
                self.fail(epoch, now);
                None
            }
            End::Refused503 => {
                self.tracker.refuse(epoch);
                None
            }
            End::Completed => {
                self.tracker.complete(Completion { epoch, on_time, loaded: grant.loaded });
                self.learn_speed(release, group_ms)
            }
            End::Cancelled | End::NotDispatched | End::TimedOut => None,
        };
        self.log_cold(cause);
    }

    pub(super) fn status(&self, share: Share, now: Instant) -> status::Backend {
        status::Backend {
            name: self.model.name.clone(),
            zone: self.model.zone.clone(),
            in_service: self.in_service,
            cold: self.tracker.is_cold().then(|| self.tracker.cause()),
            straggler: self.verdict.is_straggler(),
            limit: self.limit(),
            has_room: self.has_room(share, now),
            running: self.running,
            reported: self.report.map_or(0, |report| report.load.requests()),
            kv_used: self.report.map_or(0.0, |report| report.load.kv_used),
            first_token_ms: self.speed.first_token_ms.get(),
            inter_token_ms: self.speed.inter_token_ms.get(),
        }
    }

    fn own(&self, now: Instant) -> u32 {
        if !self.tracker.is_cold() {
            return self.running;
        }
        let broken_off = self.broken_off.iter().filter(|until| **until > now).count();
        self.running + broken_off as u32
    }

    fn reported(&self) -> u32 {
        let Some(report) = self.report else { return 0 };
        let finished = if self.tracker.is_cold() { 0 } else { self.finished_since_report };
        report.load.requests().saturating_sub(finished) + self.granted_since_report
    }

    fn finish(&mut self, grant: &Grant) {
        let in_report = self.report.is_some_and(|report| grant.granted < report.at);
        if in_report {
            self.finished_since_report += 1;
        } else {
            self.granted_since_report = self.granted_since_report.saturating_sub(1);
        }
    }

    fn learn_speed(&mut self, release: &Release, group_ms: Option<f64>) -> Option<Cause> {
        let first_token_ms = release.first_token_ms.unwrap_or(release.elapsed_ms) as f64;
        self.speed.first_token_ms.record(first_token_ms);
        let gaps = release.output_tokens.0.saturating_sub(1);
        if let (Some(first), 1..) = (release.first_token_ms, gaps) {
            let streaming_ms = release.elapsed_ms.saturating_sub(first) as f64;
            self.speed.inter_token_ms.record(streaming_ms / gaps as f64);
        }
        if self.drift.record(first_token_ms, group_ms) { self.tracker.drift() } else { None }
    }

    fn log_cold(&self, cause: Option<Cause>) {
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
