//! A simple timing model of a model engine.

/// The fractional slowdown that each running request adds.
const SLOWDOWN_PER_REQUEST: f64 = 0.06;

/// The slowdown factor when the running requests exceed the KV cache.
const SWAPPING_FACTOR: f64 = 3.0;

/// The number of prefixes that fit into the prefix cache.
const CACHED_PREFIXES: usize = 8;

/// The fraction of the prefill time that remains with a cached prefix.
const CACHED_PREFILL_RATIO: f64 = 0.4;

/// A running request.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request: usize,
    pub(crate) prompt: f64,
    pub(crate) output: u64,
    /// The remaining prefill time on an idle engine.
    prefill_ms: f64,
    pub(crate) generated: f64,
    pub(crate) elapsed_ms: f64,
    pub(crate) first_token_ms: Option<f64>,
}

/// A simulated model engine.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) inter_token_ms: f64,
    pub(crate) prefill_ms_per_token: f64,
    pub(crate) slowdown: f64,
    pub(crate) kv_tokens: f64,
    pub(crate) runs: Vec<Run>,
    pub(crate) generated: f64,
    prefixes: Vec<u64>,
}

impl Server {
    pub(crate) fn new(inter_token_ms: f64, kv_tokens: f64) -> Self {
        Self {
            inter_token_ms,
            prefill_ms_per_token: inter_token_ms / 200.0,
            slowdown: 1.0,
            kv_tokens,
            runs: Vec::new(),
            generated: 0.0,
            prefixes: Vec::new(),
        }
    }

    pub(crate) fn kv_used(&self) -> f64 {
        let tokens: f64 = self.runs.iter().map(|run| run.prompt + run.generated).sum();
        tokens / self.kv_tokens
    }

    pub(crate) fn start(&mut self, request: usize, prompt: f64, output: u64, prefix: u64) {
        let cached = self.prefixes.contains(&prefix);
        self.prefixes.retain(|cached| *cached != prefix);
        self.prefixes.push(prefix);
        if self.prefixes.len() > CACHED_PREFIXES {
            self.prefixes.remove(0);
        }
        let prefill_ratio = if cached { CACHED_PREFILL_RATIO } else { 1.0 };
        self.runs.push(Run {
            request,
            prompt,
            output,
            prefill_ms: prompt * self.prefill_ms_per_token * prefill_ratio,
            generated: 0.0,
            elapsed_ms: 0.0,
            first_token_ms: None,
        });
    }

    /// Advances the simulation by `step_ms` and returns the completed requests.
    pub(crate) fn step(&mut self, step_ms: f64) -> Vec<Run> {
        let load_factor = 1.0 + SLOWDOWN_PER_REQUEST * self.runs.len() as f64;
        let swapping_factor = if self.kv_used() > 1.0 { SWAPPING_FACTOR } else { 1.0 };
        let progress_ms = step_ms / (load_factor * swapping_factor * self.slowdown);
        for run in &mut self.runs {
            run.elapsed_ms += step_ms;
            if run.prefill_ms > 0.0 {
                run.prefill_ms -= progress_ms;
                continue;
            }
            run.first_token_ms.get_or_insert(run.elapsed_ms);
            let tokens = progress_ms / self.inter_token_ms;
            run.generated += tokens;
            self.generated += tokens;
        }
        let done = |run: &mut Run| run.generated >= run.output as f64;
        self.runs.extract_if(.., done).collect()
    }
}
