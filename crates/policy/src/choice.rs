//! Strategies to choose the backend server for a request.

use std::fmt;

/// The properties of a request that a strategy may use.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// The expected response length in tokens.
    pub output_tokens: f64,
    /// The prompt length in tokens.
    pub prompt_tokens: u64,
}

/// A backend server with a free slot that may run the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The position of the backend server in its group.
    pub backend: usize,
    /// The number of requests counted at the backend server.
    pub running: u32,
    /// The current concurrency limit, at least 1.
    pub limit: u32,
    /// The warm limit of the pool, at least 1.
    pub warm_limit: u32,
    /// The estimated time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// The estimated time between tokens, in milliseconds.
    pub inter_token_ms: f64,
    /// The used fraction of the KV cache, 0 to 1.
    pub kv_used: f32,
    /// Whether the backend server is in the availability zone of the home daemon.
    pub same_zone: bool,
    /// Whether the backend server's prefix cache probably holds the beginning of the prompt.
    pub prefix_cached: bool,
}

impl Candidate {
    fn utilization(&self) -> f64 {
        let used_slots = f64::from(self.running) / f64::from(self.limit.max(1));
        used_slots.max(f64::from(self.kv_used))
    }

    /// The expected time to the complete response, in milliseconds.
    fn finish_ms(&self, request: &Request) -> f64 {
        let saving_ratio = if self.prefix_cached { CACHED_PREFIX_SAVING_RATIO } else { 0.0 };
        let zone_delay_ms = if self.same_zone { 0.0 } else { CROSS_ZONE_DELAY_MS };
        let first_token_ms = self.first_token_ms * (1.0 - saving_ratio);
        zone_delay_ms + first_token_ms + self.inter_token_ms * request.output_tokens
    }
}

/// The fraction of the time to the first token that a cached prompt prefix saves.
const CACHED_PREFIX_SAVING_RATIO: f64 = 0.5;

/// The added delay to a backend server in another availability zone.
const CROSS_ZONE_DELAY_MS: f64 = 1.0;

/// Chooses a backend server for a request.
pub trait Strategy: fmt::Debug + Send {
    /// Returns the position in `candidates` of the chosen backend server, or `None` if there is no
    /// candidate.
    fn choose(&mut self, request: &Request, candidates: &[Candidate]) -> Option<usize>;
}

/// Chooses the candidate with the lowest utilization, and on a tie one in the same zone.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl Strategy for LeastLoaded {
    fn choose(&mut self, _request: &Request, candidates: &[Candidate]) -> Option<usize> {
        argmin(candidates, |c| c.utilization() + if c.same_zone { 0.0 } else { 1e-6 })
    }
}

/// Chooses the candidate with the earliest expected finish, scaled up by its utilization.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExpectedFinish;

impl Strategy for ExpectedFinish {
    fn choose(&mut self, request: &Request, candidates: &[Candidate]) -> Option<usize> {
        argmin(candidates, |c| c.finish_ms(request) * (1.0 + c.utilization()))
    }
}

/// Interleaved weighted round-robin with the speed as weight, after Helix.
///
/// Each candidate earns credit in proportion to its weight, and the one with the most credit is
/// charged for the request. This avoids bursts to a single backend server.
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
