//! A model of a model engine: how long until a request's first event.
//!
//! Engines run requests in batches and read prompts in chunks between the tokens of the others.

use std::time::Duration;

/// Time for the first event of an empty prompt on an idle engine.
const FIRST_MS: f64 = 55.0;
/// Prompt tokens read in one ms, as published for the engines, less what decoding takes.
const READ_TOKENS_PER_MS: f64 = 80.0;
/// How much each running request delays a first event: its share of some steps.
const RUNNING_MS: f64 = 0.4;
/// Time of one generated token on a lightly loaded engine, as published.
const STEP_MS: f64 = 4.0;
/// Time that each further request in the batch adds to a step, as published.
const STEP_MS_PER_RUNNING: f64 = 0.05;

/// Requests in a batch of usual size.
const USUAL_BATCH: f64 = 16.0;

/// What is at an engine when a request would come.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Queue {
    /// Prompt tokens that are sent and not read yet.
    pub unread_tokens: f64,
    /// Requests that run or wait.
    pub running: f64,
    /// Requests that fit into a batch.
    pub slots: f64,
    /// How many times longer than usual the engine takes.
    pub slowness: f64,
}

impl Queue {
    /// The time until the first event of a request of which `unread` prompt tokens must be read.
    pub fn first_event(&self, unread: f64) -> Duration {
        let read = (self.unread_tokens + unread) / READ_TOKENS_PER_MS;
        let over = (self.running + 1.0 - self.slots).max(0.0);
        let step = STEP_MS + STEP_MS_PER_RUNNING * self.running.min(self.slots);
        // A full batch frees one place in each part of a usual answer's 50 events.
        let wait = over * step * 300.0 / self.slots.max(1.0);
        ms((FIRST_MS + read + RUNNING_MS * self.running + wait) * self.slowness)
    }
}

/// Time that reading these tokens takes on an engine of usual speed.
pub fn reading(tokens: f64) -> Duration {
    ms(tokens / READ_TOKENS_PER_MS)
}

/// Time that generating these tokens takes in a batch of usual size.
pub fn generating(tokens: f64) -> Duration {
    ms(tokens * (STEP_MS + STEP_MS_PER_RUNNING * USUAL_BATCH))
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
