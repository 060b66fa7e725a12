//! Latency model of a model engine: the predicted time to a request's first event.
//!
//! Engines run requests in batches and prefill prompts in chunks between the decoding steps of the
//! other requests.

use std::time::Duration;

/// Time to the first event of an empty prompt on an idle engine, before the first measurement.
const INITIAL_ENGINE_BASE_MS: f64 = 55.0;
/// The time that an engine takes to prefill one token, before the first measurement.
const INITIAL_MS_PER_TOKEN: f64 = 1.0 / 80.0;
/// The time of a request at an idle plain service, before the first measurement.
const INITIAL_SERVICE_BASE_MS: f64 = 20.0;
/// Delay of a first event by each running request, whose decoding takes a share of some steps.
const FIRST_EVENT_MS_PER_RUNNING: f64 = 0.4;
/// Time of one output token on a lightly loaded engine.
const STEP_MS: f64 = 4.0;
/// Time that each further request in the batch adds to a step.
const STEP_MS_PER_RUNNING: f64 = 0.05;

/// The minimum weight of a new measurement in a model. The first ones weigh more.
const MIN_MODEL_GAIN: f64 = 0.1;
/// The factor within which one measurement may differ from the prediction. Requests that a daemon
/// has not observed only ever delay a first event, so that the mean of all measurements overstates
/// how slow a pool is.
const MAX_MODEL_STEP: f64 = 1.5;
/// The bounds on a model's base time, in ms, and on its time per token.
const BASE_MS: (f64, f64) = (2.0, 2_000.0);
const MS_PER_TOKEN: (f64, f64) = (0.001, 0.2);

/// The size of a usual batch.
const USUAL_BATCH_REQUESTS: f64 = 16.0;

/// The speed of the backend servers of one pool, learned from the first events of their responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Model {
    /// Time to the first event of an empty prompt on an idle backend server, in ms.
    base_ms: f64,
    /// Prefill time of one prompt token, in ms.
    ms_per_token: f64,
    measurements: u32,
}

impl Model {
    /// The model of model engines before the first measurement.
    pub fn of_engines() -> Self {
        Self {
            base_ms: INITIAL_ENGINE_BASE_MS,
            ms_per_token: INITIAL_MS_PER_TOKEN,
            measurements: 0,
        }
    }

    /// The model of plain services before the first measurement.
    pub fn of_services() -> Self {
        Self { base_ms: INITIAL_SERVICE_BASE_MS, ms_per_token: 0.0, measurements: 0 }
    }

    /// Predicts the time to the first event of a request with this many uncached prompt tokens.
    pub fn time_to_first_event(&self, backlog: &Backlog, uncached_tokens: f64) -> Duration {
        let prefill = (backlog.pending_tokens + uncached_tokens) * self.ms_per_token;
        let over = (backlog.running + 1.0 - backlog.slots).max(0.0);
        let step = STEP_MS + STEP_MS_PER_RUNNING * backlog.running.min(backlog.slots);
        // A usual response takes 300 steps for its 50 events. In that time a full batch frees each
        // of its slots once.
        let wait = over * step * 300.0 / backlog.slots.max(1.0);
        let delay = FIRST_EVENT_MS_PER_RUNNING * backlog.running + wait;
        ms((self.base_ms + prefill + delay) * backlog.slowness)
    }

    /// Predicts the time of a request at a plain service with this many requests per slot.
    pub fn service_time(&self, fill: f64, slowness: f64) -> Duration {
        ms(self.base_ms * slowness * (1.0 + fill))
    }

    /// The prefill time of this many prompt tokens.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        ms(tokens * self.ms_per_token)
    }

    /// Corrects the model by a measurement. `ratio` is the actual time to a first event divided by
    /// the predicted one, of which prefill took `prefill_ratio`. Returns the factor by which this
    /// changes the prediction.
    pub fn record(&mut self, ratio: f64, prefill_ratio: f64) -> f64 {
        self.measurements = self.measurements.saturating_add(1);
        let gain = (1.0 / f64::from(self.measurements)).max(MIN_MODEL_GAIN);
        let step = ratio.clamp(1.0 / MAX_MODEL_STEP, MAX_MODEL_STEP);
        let base_factor = step.powf(gain * (1.0 - prefill_ratio));
        let token_factor = step.powf(gain * prefill_ratio);
        let (least, most) = BASE_MS;
        self.base_ms = (self.base_ms * base_factor).clamp(least, most);
        let (least, most) = MS_PER_TOKEN;
        self.ms_per_token = (self.ms_per_token * token_factor).clamp(least, most);
        base_factor * (1.0 - prefill_ratio) + token_factor * prefill_ratio
    }
}

/// The work at an engine that delays a new request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    /// Prompt tokens that are sent and not prefilled yet.
    pub pending_tokens: f64,
    /// Requests that run or wait.
    pub running: f64,
    /// Requests that fit into a batch.
    pub slots: f64,
    /// How many times longer than usual the engine takes.
    pub slowness: f64,
}

/// The prefill time of this many prompt tokens on an engine of usual speed. All daemons compute the
/// same, unlike with a [`Model`].
pub fn usual_prefill_time(tokens: f64) -> Duration {
    ms(tokens * INITIAL_MS_PER_TOKEN)
}

/// The time in which an engine fetches this many tokens of KV cache from another one.
pub fn transfer_time(tokens: f64, tokens_per_ms: f64) -> Duration {
    ms(tokens / tokens_per_ms)
}

/// The decoding time of this many output tokens in a batch of usual size.
pub fn decode_time(tokens: f64) -> Duration {
    ms(tokens * (STEP_MS + STEP_MS_PER_RUNNING * USUAL_BATCH_REQUESTS))
}

/// The part of [`decode_time`] that falls to one request of a batch of usual size.
pub fn decode_time_in_batch(tokens: f64) -> Duration {
    decode_time(tokens).div_f64(USUAL_BATCH_REQUESTS)
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
