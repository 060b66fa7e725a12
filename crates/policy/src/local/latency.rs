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
/// Delay of a first event by each running request, whose decoding takes a share of some steps, before
/// the first measurement.
const FIRST_EVENT_MS_PER_RUNNING: f64 = 0.4;
/// Time of one output token on a lightly loaded engine, before the first measurement.
const STEP_MS: f64 = 4.0;
/// Time that each further request in the batch adds to a step, before the first measurement.
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
/// The bounds on the delay by each running request, in ms, and on the time of an output token.
const MS_PER_RUNNING: (f64, f64) = (0.02, 10.0);
const STEP_BOUNDS_MS: (f64, f64) = (0.2, 200.0);

/// The size of a usual batch.
const USUAL_BATCH_REQUESTS: f64 = 16.0;

/// The speed of the backend servers of one pool, learned from the first events and the ends of their
/// responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Model {
    /// Time to the first event of an empty prompt on an idle backend server, in ms.
    base_ms: f64,
    /// Prefill time of one prompt token, in ms.
    ms_per_token: f64,
    /// Delay of a first event by each running request, in ms.
    ms_per_running: f64,
    /// Time of one output token on a lightly loaded engine, in ms. Further requests in the batch add
    /// to it in proportion.
    step_ms: f64,
    measurements: u32,
    step_measurements: u32,
}

/// The parts of a predicted time to the first event, as fractions of it. The rest is the wait for a
/// slot.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shares {
    /// The base time.
    pub base: f64,
    /// The prefill of the request and of those before it.
    pub prefill: f64,
    /// The delay by running requests.
    pub running: f64,
}

impl Model {
    /// The number of parameters.
    pub const PARAMETERS: usize = 4;

    /// The model of model engines before the first measurement.
    pub fn of_engines() -> Self {
        Self {
            base_ms: INITIAL_ENGINE_BASE_MS,
            ms_per_token: INITIAL_MS_PER_TOKEN,
            ms_per_running: FIRST_EVENT_MS_PER_RUNNING,
            step_ms: STEP_MS,
            measurements: 0,
            step_measurements: 0,
        }
    }

    /// The model of plain services before the first measurement.
    pub fn of_services() -> Self {
        Self { base_ms: INITIAL_SERVICE_BASE_MS, ms_per_token: 0.0, ..Self::of_engines() }
    }

    /// The parameters in ms: the base time, the time per prompt token, the delay per running request
    /// and the time of an output token.
    pub fn parameters(&self) -> [f64; Self::PARAMETERS] {
        [self.base_ms, self.ms_per_token, self.ms_per_running, self.step_ms]
    }

    /// The model with these parameters, if they are possible ones. A plain service has no time per
    /// prompt token.
    pub fn from_parameters(parameters: [f64; Self::PARAMETERS]) -> Option<Self> {
        let is_valid = |value: f64| value.is_finite() && value > 0.0;
        let [base_ms, ms_per_token, ms_per_running, step_ms] = parameters;
        let per_token_is_valid = ms_per_token == 0.0 || is_valid(ms_per_token);
        if !(per_token_is_valid && [base_ms, ms_per_running, step_ms].into_iter().all(is_valid)) {
            return None;
        }
        let clamp = |value: f64, (least, most): (f64, f64)| value.clamp(least, most);
        Some(Self {
            base_ms: clamp(base_ms, BASE_MS),
            ms_per_token: match ms_per_token {
                0.0 => 0.0,
                _ => clamp(ms_per_token, MS_PER_TOKEN),
            },
            ms_per_running: clamp(ms_per_running, MS_PER_RUNNING),
            step_ms: clamp(step_ms, STEP_BOUNDS_MS),
            measurements: 0,
            step_measurements: 0,
        })
    }

    /// The logarithms of the parameters. That of 0 is the least finite number.
    pub(super) fn logs(&self) -> [f64; Self::PARAMETERS] {
        self.parameters().map(|parameter| parameter.ln().max(f64::MIN))
    }

    /// The model with these logarithms of parameters.
    pub(super) fn from_logs(logs: [f64; Self::PARAMETERS]) -> Self {
        let [base_ms, ms_per_token, ms_per_running, step_ms] = logs.map(f64::exp);
        Self { base_ms, ms_per_token, ms_per_running, step_ms, ..Self::of_engines() }
    }

    /// The same model with the weight of this many measurements.
    pub(super) fn with_measurements(self, measurements: u32) -> Self {
        Self { measurements, step_measurements: measurements, ..self }
    }

    /// The model if everything before a first event takes this many times longer.
    pub(super) fn slowed(self, factor: f64) -> Self {
        Self {
            base_ms: self.base_ms * factor,
            ms_per_token: self.ms_per_token * factor,
            ms_per_running: self.ms_per_running * factor,
            ..self
        }
    }

    /// Predicts the time to the first event of a request with this many uncached prompt tokens.
    pub fn time_to_first_event(&self, backlog: &Backlog, uncached_tokens: f64) -> Duration {
        let prefill = (backlog.pending_tokens + uncached_tokens) * self.ms_per_token;
        let over = (backlog.running + 1.0 - backlog.slots).max(0.0);
        let step = self.step(backlog.running.min(backlog.slots));
        // A usual response takes 300 steps for its 50 events. In that time a full batch frees each
        // of its slots once.
        let wait = over * step * 300.0 / backlog.slots.max(1.0);
        let delay = self.ms_per_running * backlog.running + wait;
        ms((self.base_ms + prefill + delay) * backlog.slowness)
    }

    /// The parts of a predicted time to the first event at an engine of usual speed.
    pub(super) fn shares(&self, prompt_tokens: f64, running: f64, predicted: Duration) -> Shares {
        let total = (predicted.as_secs_f64() * 1_000.0).max(1.0);
        let base = (self.base_ms / total).min(1.0);
        let prefill = (prompt_tokens * self.ms_per_token / total).min(1.0 - base);
        let running = (running * self.ms_per_running / total).min(1.0 - base - prefill);
        Shares { base, prefill, running }
    }

    /// The time of a step with this many requests in the batch, in ms.
    fn step(&self, running: f64) -> f64 {
        self.step_ms * (1.0 + STEP_MS_PER_RUNNING / STEP_MS * running)
    }

    /// Predicts the decoding time of this many output tokens.
    pub fn decode_time(&self, backlog: &Backlog, tokens: f64) -> Duration {
        ms(tokens * self.step(backlog.running.min(backlog.slots)) * backlog.slowness)
    }

    /// Predicts the time of a request at a plain service with this many requests per slot.
    pub fn service_time(&self, fill: f64, slowness: f64) -> Duration {
        ms(self.base_ms * slowness * (1.0 + fill))
    }

    /// The prefill time of this many prompt tokens.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        ms(tokens * self.ms_per_token)
    }

    /// By which factor a prediction with these parts differs from that of `other`.
    pub(super) fn relative_to(&self, other: &Self, shares: &Shares) -> f64 {
        let &Shares { base, prefill, running } = shares;
        let factor = |own: f64, other: f64| if other > 0.0 { own / other } else { 1.0 };
        1.0 + base * (factor(self.base_ms, other.base_ms) - 1.0)
            + prefill * (factor(self.ms_per_token, other.ms_per_token) - 1.0)
            + running * (factor(self.ms_per_running, other.ms_per_running) - 1.0)
    }

    /// By which factor a predicted decoding time differs from that of `other`.
    pub(super) fn step_relative_to(&self, other: &Self) -> f64 {
        self.step_ms / other.step_ms
    }

    /// Corrects the model by a measurement. `ratio` is the actual time to a first event divided by
    /// the predicted one, which had these parts.
    pub fn record(&mut self, ratio: f64, shares: &Shares) {
        self.measurements = self.measurements.saturating_add(1);
        let gain = (1.0 / f64::from(self.measurements)).max(MIN_MODEL_GAIN);
        let step = ratio.clamp(1.0 / MAX_MODEL_STEP, MAX_MODEL_STEP);
        let correct = |parameter: f64, share: f64, (least, most): (f64, f64)| {
            (parameter * step.powf(gain * share)).clamp(least, most)
        };
        // The wait for a slot follows from the other parts.
        let Shares { prefill, running, .. } = *shares;
        self.base_ms = correct(self.base_ms, 1.0 - prefill - running, BASE_MS);
        self.ms_per_running = correct(self.ms_per_running, running, MS_PER_RUNNING);
        if self.ms_per_token > 0.0 {
            self.ms_per_token = correct(self.ms_per_token, prefill, MS_PER_TOKEN);
        }
    }

    /// Corrects the decode step by a measurement: the actual time of a response from its first event
    /// to its end divided by the predicted one.
    pub fn record_decode(&mut self, ratio: f64) {
        self.step_measurements = self.step_measurements.saturating_add(1);
        let gain = (1.0 / f64::from(self.step_measurements)).max(MIN_MODEL_GAIN);
        let step = ratio.clamp(1.0 / MAX_MODEL_STEP, MAX_MODEL_STEP).powf(gain);
        let (least, most) = STEP_BOUNDS_MS;
        self.step_ms = (self.step_ms * step).clamp(least, most);
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

/// How many times longer a step takes in a batch with this many other requests.
pub(super) fn batch_factor(running: u32) -> f64 {
    1.0 + STEP_MS_PER_RUNNING / STEP_MS * f64::from(running)
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
