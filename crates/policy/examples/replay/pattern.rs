//! Load patterns: the requests of callers, and the failures of engines.

use std::{
    str::FromStr,
    time::{Duration, Instant},
};

use hyssop_document::{name::Pool, number::Tier};
use hyssop_policy::local::demand::{Demand, Segment};
use rand::{RngExt as _, rngs::StdRng};

use crate::engine::Spec;

/// The kind of load that a request is to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Kind {
    /// A long prompt with a shared prefix, and a short response.
    #[display("reads")]
    PrefillHeavy,
    /// A short prompt with a long response.
    #[display("generates")]
    DecodeHeavy,
}

/// One class of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub(crate) kind: Kind,
    /// Requests per second outside bursts.
    pub(crate) rate: f64,
    /// Prompt tokens that one of four groups shares, that a prefix shares, and that are not shared.
    pub(crate) segment_tokens: [u32; 3],
    /// Number of different shared prefixes.
    pub(crate) prefixes: u64,
    pub(crate) output_tokens: u32,
    /// Maximum time to the first event of a response that is in time.
    pub(crate) target: Duration,
    /// Maximum time between two events of a response that is in time.
    pub(crate) max_pause: Duration,
    pub(crate) deadline: Duration,
    /// Score of a response in time.
    pub(crate) worth: f64,
    /// Score of a late response.
    pub(crate) worth_late: f64,
}

/// A higher rate of one kind of requests for some time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Burst {
    pub(crate) kind: Kind,
    pub(crate) factor: f64,
    pub(crate) from_s: f64,
    pub(crate) to_s: f64,
    /// The fraction of the requests that has the same shared prefix.
    pub(crate) hot_ratio: f64,
}

/// A time in which some engines are down.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Loss {
    /// The fraction of the engines.
    pub(crate) engine_ratio: f64,
    pub(crate) from_s: f64,
    pub(crate) to_s: f64,
}

/// A deployment with a load.
#[derive(Debug, Clone)]
pub(crate) struct Pattern {
    pub(crate) name: &'static str,
    pub(crate) daemons: usize,
    pub(crate) zones: usize,
    pub(crate) engines: usize,
    pub(crate) spec: Spec,
    pub(crate) classes: Vec<Class>,
    pub(crate) bursts: Vec<Burst>,
    pub(crate) losses: Vec<Loss>,
    /// The fraction of the engines that is slow, and the factor on their time.
    pub(crate) slow_engines: (f64, f64),
    pub(crate) duration_s: f64,
}

/// The error for a name that no pattern has.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the patterns are: steady, burst, lost, hot, slow, large")]
pub(crate) struct UnknownPattern;

impl FromStr for Pattern {
    type Err = UnknownPattern;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let prefill_heavy = |factor, from_s, to_s, hot_ratio| Burst {
            kind: Kind::PrefillHeavy,
            factor,
            from_s,
            to_s,
            hot_ratio,
        };
        let burst = vec![
            prefill_heavy(2.3, 1.0, 10.0, 0.0),
            Burst {
                kind: Kind::DecodeHeavy,
                factor: 1.8,
                from_s: 12.0,
                to_s: 17.0,
                hot_ratio: 0.0,
            },
        ];
        let pattern = match name {
            "steady" => Self { name: "steady", ..small() },
            "burst" => Self { name: "burst", bursts: burst, ..small() },
            "lost" => {
                let losses = vec![Loss { engine_ratio: 0.28, from_s: 8.0, to_s: 10.0 }];
                Self {
                    name: "lost",
                    bursts: vec![prefill_heavy(1.5, 5.0, 15.0, 0.0)],
                    losses,
                    ..small()
                }
            }
            "hot" => {
                Self { name: "hot", bursts: vec![prefill_heavy(1.5, 5.0, 15.0, 0.4)], ..small() }
            }
            "slow" => Self { name: "slow", slow_engines: (0.15, 4.0), ..small() },
            "large" => Self { name: "large", bursts: burst, ..large() },
            _ => return Err(UnknownPattern),
        };
        Ok(pattern)
    }
}

fn spec(slots: usize, cache_tokens: u32, tokens_per_event: u32) -> Spec {
    Spec {
        slots,
        max_waiting: slots * 3,
        step: Duration::from_micros(3_900),
        step_per_request: Duration::from_micros(47),
        prefill_tokens_per_ms: 91.8,
        chunk_tokens: 2_048,
        setup: Duration::from_millis(53),
        cache_tokens,
        tokens_per_event,
        // 96,256 bytes per token over a link of 1.1 Tbit/s.
        fetch_tokens_per_ms: Some(1_428.0),
    }
}

fn classes(prefill_heavy_rate: f64, decode_heavy_rate: f64, prefixes: u64) -> Vec<Class> {
    let prefill_heavy = Class {
        kind: Kind::PrefillHeavy,
        rate: prefill_heavy_rate,
        segment_tokens: [2_520, 3_780, 2_890],
        prefixes,
        output_tokens: 54,
        target: Duration::from_millis(400),
        max_pause: Duration::from_millis(300),
        deadline: Duration::from_secs(4),
        worth: 2.4,
        worth_late: 0.73,
    };
    let decode_heavy = Class {
        kind: Kind::DecodeHeavy,
        rate: decode_heavy_rate,
        segment_tokens: [119, 79, 628],
        output_tokens: 290,
        target: Duration::from_millis(500),
        max_pause: Duration::from_millis(200),
        deadline: Duration::from_secs(12),
        worth: 2.6,
        worth_late: 0.23,
        ..prefill_heavy
    };
    vec![prefill_heavy, decode_heavy]
}

/// Nine daemons and 18 engines.
fn small() -> Pattern {
    Pattern {
        name: "small",
        daemons: 9,
        zones: 4,
        engines: 18,
        spec: spec(48, 457_270, 6),
        classes: classes(60.5, 66.6, 400),
        bursts: Vec::new(),
        losses: Vec::new(),
        slow_engines: (0.0, 1.0),
        duration_s: 24.0,
    }
}

/// 68 daemons and 140 engines with few slots.
fn large() -> Pattern {
    Pattern {
        name: "large",
        daemons: 68,
        engines: 140,
        spec: spec(12, 362_595, 9),
        classes: classes(525.0, 203.0, 4_346),
        ..small()
    }
}

/// One request of a pattern.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) class: Class,
    /// When the caller first sends it.
    pub(crate) at: Duration,
    pub(crate) segments: Vec<Segment>,
    pub(crate) output_tokens: u32,
}

impl Request {
    /// The length of the prompt.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        self.segments.iter().map(|segment| segment.tokens).sum()
    }

    /// The placement input of a daemon that receives the request at `arrived`.
    pub(crate) fn demand(&self, arrived: Duration, deadline: Duration, start: Instant) -> Demand {
        Demand {
            pool: Pool::new("engines"),
            tier: Tier(2),
            route_tier: Tier(2),
            prompt_tokens: self.prompt_tokens(),
            segments: self.segments.clone(),
            output_tokens: self.output_tokens,
            arrived: start + arrived,
            target: self.class.target,
            deadline: start + deadline,
            build: None,
            excluded: Vec::new(),
            is_repeat: false,
            may_have_run: false,
        }
    }
}

/// Draws the requests of a pattern, in the order of their times.
pub(crate) fn requests(pattern: &Pattern, random: &mut StdRng) -> Vec<Request> {
    let mut requests = Vec::new();
    for (index, class) in pattern.classes.iter().enumerate() {
        let mut at = 0.0;
        while at < pattern.duration_s {
            let burst = pattern
                .bursts
                .iter()
                .find(|burst| burst.kind == class.kind && (burst.from_s..burst.to_s).contains(&at));
            let rate = class.rate * burst.map_or(1.0, |burst| burst.factor);
            at += -(1.0 - random.random::<f64>()).ln() / rate;
            let hot = burst.is_some_and(|burst| random.random_bool(burst.hot_ratio));
            let prefix = if hot { 0 } else { random.random_range(0..class.prefixes) };
            let size = random.random_range(0.3..1.7_f64) * random.random_range(0.6..1.4);
            let unshared = (f64::from(class.segment_tokens[2]) * size) as u32 + 1;
            let (id, group) = (requests.len() as u64, index as u64 * 1_000_000);
            let segments = vec![
                Segment { id: group + prefix % 4, tokens: class.segment_tokens[0] },
                Segment { id: group + 1_000 + prefix, tokens: class.segment_tokens[1] },
                Segment { id: (1 << 40) + id + (index as u64) * (1 << 41), tokens: unshared },
            ];
            let output_tokens =
                (f64::from(class.output_tokens) * random.random_range(0.4..1.6)) as u32 + 1;
            let at = Duration::from_secs_f64(at);
            requests.push(Request { class: *class, at, segments, output_tokens });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
