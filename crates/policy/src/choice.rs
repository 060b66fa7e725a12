//! Which of the backend servers with a free slot gets a request.

use std::fmt;

/// What a choice needs to know about a request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// The expected tokens of the answer.
    pub output_tokens: f64,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
}

/// A backend server that may take the request now.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The position of the backend server in its group.
    pub backend: usize,
    /// The requests counted there.
    pub running: u32,
    /// The limit there, at least 1.
    pub limit: u32,
    /// The warm limit of the pool, at least 1.
    pub warm_limit: u32,
    /// The time to the first token in milliseconds.
    pub first_token_ms: f64,
    /// The time between tokens in milliseconds.
    pub inter_token_ms: f64,
    /// The used part of the KV cache, 0 to 1.
    pub kv_used: f32,
    /// Whether it is in the same availability zone as the home.
    pub same_zone: bool,
    /// Whether it probably has the beginning of the prompt in its cache.
    pub prefix_cached: bool,
}

impl Candidate {
    fn utilization(&self) -> f64 {
        let used_slots = f64::from(self.running) / f64::from(self.limit.max(1));
        used_slots.max(f64::from(self.kv_used))
    }

    /// The expected time to the complete answer, in milliseconds.
    fn finish_ms(&self, request: &Request) -> f64 {
        let saving_ratio = if self.prefix_cached { CACHED_PREFIX_SAVING_RATIO } else { 0.0 };
        let zone_delay_ms = if self.same_zone { 0.0 } else { CROSS_ZONE_DELAY_MS };
        let first_token_ms = self.first_token_ms * (1.0 - saving_ratio);
        zone_delay_ms + first_token_ms + self.inter_token_ms * request.output_tokens
    }
}

/// The part of the time to the first token that a cached prompt prefix saves.
const CACHED_PREFIX_SAVING_RATIO: f64 = 0.5;

/// The delay that another availability zone adds, in milliseconds.
const CROSS_ZONE_DELAY_MS: f64 = 1.0;

/// A way to choose a backend server.
pub trait Strategy: fmt::Debug + Send {
    /// The position in `candidates` of the one that gets the request. `None` only if there is none.
    fn choose(&mut self, request: &Request, candidates: &[Candidate]) -> Option<usize>;
}

/// Chooses the candidate with the least part of its limit in use, then the nearest.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl Strategy for LeastLoaded {
    fn choose(&mut self, _request: &Request, candidates: &[Candidate]) -> Option<usize> {
        argmin(candidates, |c| c.utilization() + if c.same_zone { 0.0 } else { 1e-6 })
    }
}

/// Chooses the candidate that is expected to finish first, where load counts as slowness.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExpectedFinish;

impl Strategy for ExpectedFinish {
    fn choose(&mut self, request: &Request, candidates: &[Candidate]) -> Option<usize> {
        argmin(candidates, |c| c.finish_ms(request) * (1.0 + c.utilization()))
    }
}

/// Interleaved weighted round-robin with the speed as weight, after Helix.
///
/// Each candidate collects credit in proportion to its weight, and the one with the most credit
/// pays for the request. So each gets its part without bursts.
#[derive(Debug, Clone, Default)]
pub struct Interleaved {
    credit: Vec<f64>,
}

impl Strategy for Interleaved {
    fn choose(&mut self, _request: &Request, candidates: &[Candidate]) -> Option<usize> {
        let max_position = candidates.iter().map(|c| c.backend).max()?;
        if self.credit.len() <= max_position {
            self.credit.resize(max_position + 1, 0.0);
        }
        let weight = |c: &Candidate| f64::from(c.limit) / c.inter_token_ms.max(1e-3);
        let total: f64 = candidates.iter().map(weight).sum();
        for candidate in candidates {
            self.credit[candidate.backend] += weight(candidate) / total;
        }
        let chosen = argmin(candidates, |c| -self.credit[c.backend])?;
        self.credit[candidates[chosen].backend] -= 1.0;
        Some(chosen)
    }
}

fn argmin(candidates: &[Candidate], score: impl Fn(&Candidate) -> f64) -> Option<usize> {
    (0..candidates.len()).min_by(|&a, &b| score(&candidates[a]).total_cmp(&score(&candidates[b])))
}
