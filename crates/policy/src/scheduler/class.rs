//! What a scheduler knows about one class.

use std::time::{Duration, Instant};

use hyssop_document::{model, number::Tokens};

use crate::{
    entry::Entry,
    estimate::{Average, Histogram},
    floor::Floor,
    permit::{End, Release},
};

use super::grants::Grant;

/// The tokens of an answer before anything is known.
const UNKNOWN_OUTPUT_TOKENS: u64 = 256;

/// The part of the requests granted in time that may miss their target nevertheless.
const LATE_PART: f64 = 0.05;

/// The part of the target by which the margin for delays changes at most with a request.
const MARGIN_STEP: f64 = 0.05;

/// The largest part of the target that is left over for delays.
const LARGEST_MARGIN: f64 = 0.5;

/// The time for which the refusal of a request past its target shows that others will fare alike.
const PRESSURE: Duration = Duration::from_secs(5);

/// What a scheduler knows about one class.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) model: model::Class,
    /// Whether the document in force has the class.
    pub(super) declared: bool,
    pub(super) floor: Floor,
    pub(super) running: u32,
    pub(super) granted: u64,
    pub(super) refused: u64,
    length: Histogram,
    elapsed_ms: Histogram,
    first_token_ms: Average,
    /// The part of the target for the first token that is left over for delays after the grant.
    margin: f64,
    /// The time for which a slot is held without a request at the backend server.
    overhead_ms: Average,
    /// The time until which requests that missed their target are taken to be hopeless.
    pressed_until: Option<Instant>,
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
            length: Histogram::default(),
            elapsed_ms: Histogram::default(),
            first_token_ms: Average::default(),
            margin: 0.0,
            overhead_ms: Average::default(),
            pressed_until: None,
        }
    }

    pub(super) fn configure(&mut self, model: model::Class) {
        self.floor.set_percent(model.floor_percent);
        self.model = model;
        self.declared = true;
    }

    pub(super) fn is_below_floor(&self, slots: u32, now: Instant) -> bool {
        self.floor.is_below(self.running, slots, now)
    }

    /// The slots of the floor, with the part of one.
    pub(super) fn floor_slots(&self, slots: u32) -> f64 {
        let percent = self.model.floor_percent.max(crate::floor::LEAST);
        f64::from(slots) * f64::from(percent.0) / 100.0
    }

    /// The expected tokens of an answer of which `arrived` are there.
    pub(super) fn output(&self, arrived: Tokens, most: Option<Tokens>) -> u64 {
        let expected = self.length.expected(arrived.0).unwrap_or(UNKNOWN_OUTPUT_TOKENS);
        expected.min(most.map_or(u64::MAX, |most| most.0)).max(arrived.0)
    }

    /// The expected time at a backend server in milliseconds, 0 while unknown.
    pub(super) fn work_ms(&self, entry: &Entry, inter_token_ms: Option<f64>) -> u64 {
        let tokens = self.output(Tokens(0), entry.max_output);
        let streamed = self.streamed_ms(tokens, inter_token_ms);
        let overhead_ms = self.overhead_ms.settled().unwrap_or(0.0) as u64;
        streamed.or_else(|| self.elapsed_ms.expected(0)).map_or(0, |ms| ms + overhead_ms)
    }

    /// Takes note that a request was refused which had missed its target while it waited.
    pub(super) fn press(&mut self, now: Instant) {
        self.pressed_until = Some(now + PRESSURE);
    }

    /// Whether requests that miss their target have lately been refused in the end.
    pub(super) fn is_pressed(&self, now: Instant) -> bool {
        self.pressed_until.is_some_and(|until| until > now)
    }

    /// The time at a backend server in milliseconds which the part `quantile` of the requests do not
    /// exceed, 0 while unknown.
    pub(super) fn service_ms(
        &self,
        entry: &Entry,
        quantile: f64,
        inter_token_ms: Option<f64>,
    ) -> u64 {
        let most = entry.max_output.map_or(u64::MAX, |most| most.0);
        let tokens = self.length.quantile(quantile).map(|tokens| tokens.min(most));
        let streamed = tokens.and_then(|tokens| self.streamed_ms(tokens, inter_token_ms));
        streamed.or_else(|| self.elapsed_ms.quantile(quantile)).unwrap_or(0)
    }

    /// The longest wait after which the target for the first token is usually met.
    pub(super) fn target_slack(&self) -> Duration {
        let usual_ms = self.first_token_ms.settled().unwrap_or(0.0);
        let usual = Duration::from_secs_f64(usual_ms / 1000.0);
        let target = self.model.first_token();
        target.saturating_sub(usual).saturating_sub(target.mul_f64(self.margin))
    }

    /// Whether a backend server met the targets, without what the request waited before.
    pub(super) fn is_on_time(&self, release: &Release) -> bool {
        let first_token_ms = release.first_token_ms.unwrap_or(release.elapsed_ms);
        first_token_ms <= self.model.first_token_ms && release.elapsed_ms <= self.model.complete_ms
    }

    /// Learns from a request that ended.
    pub(super) fn learn(&mut self, grant: &Grant, release: &Release, now: Instant) {
        if release.end != End::Completed {
            return;
        }
        self.learn_margin(grant, release);
        let held_ms = grant.held(now).as_millis() as u64;
        self.overhead_ms.record(held_ms.saturating_sub(release.elapsed_ms) as f64);
        self.elapsed_ms.record(release.elapsed_ms);
        if let Some(first) = release.first_token_ms {
            self.length.record(release.output_tokens.0);
            self.first_token_ms.record(first as f64);
        }
    }

    /// Adjusts the margin so that of the requests that waited for long but were granted in time, about
    /// [`LATE_PART`] are late.
    fn learn_margin(&mut self, grant: &Grant, release: &Release) {
        let Some(waited) = grant.waited else { return };
        if waited < self.target_slack() / 2 {
            return;
        }
        let step = if release.late { 1.0 - LATE_PART } else { -LATE_PART };
        self.margin = (self.margin + MARGIN_STEP * step).clamp(0.0, LARGEST_MARGIN);
    }

    fn streamed_ms(&self, tokens: u64, inter_token_ms: Option<f64>) -> Option<u64> {
        let first = self.first_token_ms.settled()?;
        let inter = inter_token_ms?;
        Some((first + inter * tokens.saturating_sub(1) as f64) as u64)
    }
}
