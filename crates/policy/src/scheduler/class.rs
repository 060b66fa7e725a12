//! The scheduler's state of one class.

use std::time::{Duration, Instant};

use hyssop_document::{model, number::Tokens};

use crate::{
    entry::Entry,
    estimate::{Average, Histogram},
    floor::{Floor, Level},
    permit::{End, Release},
};

use super::grants::Grant;

/// The assumed response length while there are too few samples.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// The fraction of requests granted in time that may still miss their target.
const TARGET_LATE_RATIO: f64 = 0.05;

/// The maximum change of the delay margin per request, as a fraction of the target.
const MARGIN_STEP_RATIO: f64 = 0.05;

/// The maximum delay margin, as a fraction of the target.
const MAX_MARGIN_RATIO: f64 = 0.5;

/// Times below this count as equal when backend servers are compared.
const MIN_COMPARED_MS: u64 = 10;

/// The time for which a class is treated as overloaded after a request past its target was refused.
/// Other requests past their targets are then likely to be refused as well.
const OVERLOAD_TTL: Duration = Duration::from_secs(5);

/// The state of one class.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) model: model::Class,
    /// Whether the document in force declares the class.
    pub(super) declared: bool,
    pub(super) floor: Floor,
    pub(super) running: u32,
    pub(super) granted: u64,
    pub(super) refused: u64,
    output_tokens: Histogram,
    elapsed_ms: Histogram,
    first_token_ms: Average,
    /// The time to the first token, or to the end of a response without tokens.
    response_start_ms: Average,
    /// The fraction of the first-token target that is reserved for delays after the grant.
    margin_ratio: f64,
    /// The time for which a slot is held beyond the request's time at the backend server.
    overhead_ms: Average,
    /// The end of the period in which the first-token target decides on admission.
    overloaded_until: Option<Instant>,
}

impl Class {
    pub(super) fn new(model: model::Class) -> Self {
        Self {
            floor: Floor::new(model.floor_percent),
            model,
            declared: true,
            running: 0,
            granted: 0,
            refused: 0,
            output_tokens: Histogram::default(),
            elapsed_ms: Histogram::default(),
            first_token_ms: Average::default(),
            response_start_ms: Average::default(),
            margin_ratio: 0.0,
            overhead_ms: Average::default(),
            overloaded_until: None,
        }
    }

    pub(super) fn configure(&mut self, model: model::Class) {
        self.floor.set_percent(model.floor_percent);
        self.model = model;
        self.declared = true;
    }

    pub(super) fn floor_level(&self, slots: u32, now: Instant) -> Level {
        self.floor.level(self.running, slots, now)
    }

    /// The slots of the floor, including the fraction.
    pub(super) fn floor_slots(&self, slots: u32) -> f64 {
        let percent = self.model.floor_percent.max(crate::floor::MIN_PERCENT);
        f64::from(slots) * f64::from(percent.0) / 100.0
    }

    /// The expected response length in tokens, of which `arrived` have been received.
    pub(super) fn expected_output_tokens(
        &self,
        arrived: Tokens,
        max_output: Option<Tokens>,
    ) -> u64 {
        let expected =
            self.output_tokens.expected_above(arrived.0).unwrap_or(DEFAULT_OUTPUT_TOKENS);
        expected.min(max_output.map_or(u64::MAX, |max_output| max_output.0)).max(arrived.0)
    }

    /// The expected time for which a slot is held, in milliseconds. 0 without estimates.
    pub(super) fn work_ms(&self, entry: &Entry, inter_token_ms: Option<f64>) -> u64 {
        let tokens = self.expected_output_tokens(Tokens(0), entry.max_output);
        let streamed = self.streamed_ms(tokens, inter_token_ms);
        let overhead_ms = self.overhead_ms.reliable().unwrap_or(0.0) as u64;
        streamed.or_else(|| self.elapsed_ms.expected_above(0)).map_or(0, |ms| ms + overhead_ms)
    }

    /// Records that a request was refused after it missed its target in the queue.
    pub(super) fn mark_overloaded(&mut self, now: Instant) {
        self.overloaded_until = Some(now + OVERLOAD_TTL);
    }

    /// Whether requests that missed their targets have recently been refused.
    pub(super) fn is_overloaded(&self, now: Instant) -> bool {
        self.overloaded_until.is_some_and(|until| until > now)
    }

    /// The quantile of the time at a backend server, in milliseconds. 0 without estimates.
    pub(super) fn service_ms_quantile(
        &self,
        entry: &Entry,
        quantile: f64,
        inter_token_ms: Option<f64>,
    ) -> u64 {
        let max_output = entry.max_output.map_or(u64::MAX, |max_output| max_output.0);
        let tokens = self.output_tokens.quantile(quantile).map(|tokens| tokens.min(max_output));
        let streamed = tokens.and_then(|tokens| self.streamed_ms(tokens, inter_token_ms));
        streamed.or_else(|| self.elapsed_ms.quantile(quantile)).unwrap_or(0)
    }

    /// The maximum wait after which the first-token target is usually met.
    pub(super) fn target_slack(&self) -> Duration {
        let first_token_ms = self.first_token_ms.reliable().unwrap_or(0.0);
        let first_token = Duration::from_secs_f64(first_token_ms / 1000.0);
        let target = self.model.first_token_target();
        target.saturating_sub(first_token).saturating_sub(target.mul_f64(self.margin_ratio))
    }

    /// Whether the backend server met the targets, not counting the wait in the queue.
    pub(super) fn is_on_time(&self, release: &Release) -> bool {
        let first_token_ms = release.first_token_ms.unwrap_or(release.elapsed_ms);
        first_token_ms <= self.model.first_token_ms && release.elapsed_ms <= self.model.complete_ms
    }

    /// The time to the first token, or to the end of a response without tokens, divided by the
    /// typical time of the class. The ratio makes classes comparable, whose prompts and calls take
    /// different times at any backend server.
    pub(super) fn first_token_ratio(&self, release: &Release) -> Option<f64> {
        let ms = release.first_token_ms.unwrap_or(release.elapsed_ms).max(MIN_COMPARED_MS);
        let typical_ms = self.response_start_ms.reliable()?.max(MIN_COMPARED_MS as f64);
        Some(ms as f64 / typical_ms)
    }

    /// Updates the estimates from a completed request.
    pub(super) fn record_release(&mut self, grant: &Grant, release: &Release, now: Instant) {
        if release.end != End::Completed {
            return;
        }
        self.adjust_margin(grant, release);
        let held_ms = grant.held_for(now).as_millis() as u64;
        self.overhead_ms.record(held_ms.saturating_sub(release.elapsed_ms) as f64);
        self.elapsed_ms.record(release.elapsed_ms);
        self.response_start_ms.record(release.first_token_ms.unwrap_or(release.elapsed_ms) as f64);
        if let Some(first) = release.first_token_ms {
            self.output_tokens.record(release.output_tokens.0);
            self.first_token_ms.record(first as f64);
        }
    }

    /// Adjusts the margin so that about [`TARGET_LATE_RATIO`] of the requests that waited long but
    /// were granted in time are late.
    fn adjust_margin(&mut self, grant: &Grant, release: &Release) {
        let Some(waited) = grant.waited_in_time else { return };
        if waited < self.target_slack() / 2 {
            return;
        }
        let step = if release.late { 1.0 - TARGET_LATE_RATIO } else { -TARGET_LATE_RATIO };
        self.margin_ratio =
            (self.margin_ratio + MARGIN_STEP_RATIO * step).clamp(0.0, MAX_MARGIN_RATIO);
    }

    fn streamed_ms(&self, tokens: u64, inter_token_ms: Option<f64>) -> Option<u64> {
        let first = self.first_token_ms.reliable()?;
        let inter = inter_token_ms?;
        Some((first + inter * tokens.saturating_sub(1) as f64) as u64)
    }
}
