//! Seeded request traces of three classes.

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// The arrival rate, sizes and targets of one class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) tier: u8,
    pub(crate) deadline_ms: u64,
    pub(crate) first_token_ms: u64,
    pub(crate) rate_per_s: f64,
    pub(crate) prompt: (f64, f64),
    pub(crate) median_output: f64,
    pub(crate) spread: f64,
}

/// Short interactive requests, drafts of widely varying length, and bulk work.
pub(crate) const CLASSES: [Class; 3] = [
    Class {
        name: "desk",
        tier: 1,
        deadline_ms: 4_000,
        first_token_ms: 1_500,
        rate_per_s: 20.0,
        prompt: (50.0, 300.0),
        median_output: 45.0,
        spread: 0.3,
    },
    Class {
        name: "draft",
        tier: 3,
        deadline_ms: 60_000,
        first_token_ms: 10_000,
        rate_per_s: 3.5,
        prompt: (300.0, 1500.0),
        median_output: 250.0,
        spread: 0.8,
    },
    Class {
        name: "bulk",
        tier: 6,
        deadline_ms: 60_000,
        first_token_ms: 60_000,
        rate_per_s: 2.0,
        prompt: (300.0, 1500.0),
        median_output: 200.0,
        spread: 0.6,
    },
];

#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) at_ms: f64,
    pub(crate) class: usize,
    pub(crate) workspace: usize,
    pub(crate) prompt: f64,
    pub(crate) output: u64,
    pub(crate) prefix: u64,
}

/// Generates a trace. `rate` returns the factor on a class's arrival rate at a time in seconds.
pub(crate) fn generate(seed: u64, seconds: f64, rate: fn(usize, f64) -> f64) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut trace = Vec::new();
    for (index, class) in CLASSES.iter().enumerate() {
        let mut at = 0.0;
        while at < seconds {
            let rate_per_s = class.rate_per_s * rate(index, at);
            at -= (1.0 - random.random::<f64>()).ln() / rate_per_s;
            let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
            let output = class.median_output * (class.spread * normal).exp();
            let skewed = random.random::<f64>() * random.random::<f64>();
            trace.push(Request {
                at_ms: at * 1000.0,
                class: index,
                workspace: (skewed * 10.0) as usize,
                prompt: random.random_range(class.prompt.0..class.prompt.1),
                output: output.clamp(1.0, 900.0) as u64,
                prefix: (index * 40 + random.random_range(0..40)) as u64,
            });
        }
    }
    trace.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    trace
}
