//! Latency model of a model engine: the predicted time to a request's first event.
//!
//! Engines run requests in batches and prefill prompts in chunks between the decoding steps of the
//! other requests.

use std::time::Duration;

/// Time to the first event of an empty prompt on an idle engine.
const BASE_FIRST_EVENT_MS: f64 = 55.0;
/// The published prefill speed of the engines, less the time that decoding takes.
const PREFILL_TOKENS_PER_MS: f64 = 80.0;
/// Delay of a first event by each running request, whose decoding takes a share of some steps.
const FIRST_EVENT_MS_PER_RUNNING: f64 = 0.4;
/// Published time of one output token on a lightly loaded engine.
const STEP_MS: f64 = 4.0;
/// Published time that each further request in the batch adds to a step.
const STEP_MS_PER_RUNNING: f64 = 0.05;

/// The size of a usual batch.
const USUAL_BATCH_REQUESTS: f64 = 16.0;

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

impl Backlog {
    /// Predicts the time to the first event of a request with this many uncached prompt tokens.
    pub fn time_to_first_event(&self, uncached_tokens: f64) -> Duration {
        let prefill = (self.pending_tokens + uncached_tokens) / PREFILL_TOKENS_PER_MS;
        let over = (self.running + 1.0 - self.slots).max(0.0);
        let step = STEP_MS + STEP_MS_PER_RUNNING * self.running.min(self.slots);
        // A usual response takes 300 steps for its 50 events. In that time a full batch frees each
        // of its slots once.
        let wait = over * step * 300.0 / self.slots.max(1.0);
        ms((BASE_FIRST_EVENT_MS + prefill + FIRST_EVENT_MS_PER_RUNNING * self.running + wait)
            * self.slowness)
    }
}

/// The prefill time of this many prompt tokens on an engine of usual speed.
pub fn prefill_time(tokens: f64) -> Duration {
    ms(tokens / PREFILL_TOKENS_PER_MS)
}

/// The time in which an engine fetches this many tokens of KV cache from another one.
pub fn transfer_time(tokens: f64, tokens_per_ms: f64) -> Duration {
    ms(tokens / tokens_per_ms)
}

/// The decoding time of this many output tokens in a batch of usual size.
pub fn decode_time(tokens: f64) -> Duration {
    ms(tokens * (STEP_MS + STEP_MS_PER_RUNNING * USUAL_BATCH_REQUESTS))
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
