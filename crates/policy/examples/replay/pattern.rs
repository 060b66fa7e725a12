//! Load patterns: the requests of callers, and the failures of engines.

use std::{
    str::FromStr,
    time::{Duration, Instant},
};

use hyssop_document::{name::Pool, number::Tier};
use hyssop_policy::local::demand::{Demand, Segment};
use rand::{RngExt as _, rngs::StdRng};

use crate::engine::Spec;

/// The time by which the deadline of a request that returns is shorter at least.
const RETURN_MARGIN: Duration = Duration::from_millis(50);

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
    /// How long a caller waits for the first event.
    pub(crate) first_event_timeout: Duration,
    /// The tier of the route.
    pub(crate) route_tier: Tier,
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

/// Engines that are slow for moments.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Noise {
    /// The fraction of the moments in which an engine is slow.
    pub(crate) ratio: f64,
    /// The factor on its time.
    pub(crate) slowness: f64,
    /// The length of a moment.
    pub(crate) length: Duration,
}

/// Rates that swing around their mean.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Swing {
    /// The largest deviation, as a fraction of the mean.
    pub(crate) ratio: f64,
    pub(crate) period_s: f64,
    /// The point of the period at the begin, from 0 to 1. The rates rise above the mean at 0.
    pub(crate) phase: f64,
}

impl Swing {
    fn factor(self, at_s: f64) -> f64 {
        let angle = std::f64::consts::TAU * (at_s / self.period_s + self.phase);
        1.0 + self.ratio * angle.sin()
    }
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
    /// The factors on the time of engines, which take turns.
    pub(crate) slowness: Vec<f64>,
    pub(crate) noise: Noise,
    pub(crate) swing: Swing,
    pub(crate) duration_s: f64,
}

/// The error for a name that no pattern has.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the patterns are: steady, burst, lost, hot, slow, large, uneven, contended")]
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
            "slow" => Self { name: "slow", slowness: one_in(9, 4.0, 1.0), ..small() },
            "large" => Self { name: "large", bursts: burst, ..large() },
            "uneven" => uneven(),
            "contended" => contended(),
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
        first_event_timeout: Duration::from_secs(2),
        route_tier: Tier(2),
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
        slowness: vec![1.0],
        noise: Noise { ratio: 0.0, slowness: 1.0, length: Duration::from_millis(600) },
        swing: Swing { ratio: 0.0, period_s: 15.0, phase: 0.0 },
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

fn burst(kind: Kind, factor: f64, from_s: f64, to_s: f64) -> Burst {
    Burst { kind, factor, from_s, to_s, hot_ratio: 0.0 }
}

/// The factors of engines of which the first of each `count` has its own.
fn one_in(count: usize, first: f64, others: f64) -> Vec<f64> {
    let mut factors = vec![others; count];
    factors[0] = first;
    factors
}

/// 85 daemons and 60 engines, of which every fourth is slow, and any of them for moments. A quarter of
/// the engines crashes at the end of a burst.
fn uneven() -> Pattern {
    let [mut long, mut short] = classes(146.0, 174.0, 553).try_into().expect("two classes");
    (long.target, long.max_pause) = (Duration::from_millis(800), Duration::from_millis(500));
    (long.deadline, long.first_event_timeout) = (Duration::from_secs(5), Duration::from_secs(4));
    (long.worth, long.worth_late, long.output_tokens) = (3.4, 0.97, 52);
    (short.target, short.max_pause) = (Duration::from_millis(800), Duration::from_millis(300));
    (short.deadline, short.first_event_timeout) =
        (Duration::from_secs(15), Duration::from_millis(3_200));
    (short.worth, short.worth_late, short.route_tier) = (1.8, 0.16, Tier(1));
    Pattern {
        name: "uneven",
        daemons: 85,
        zones: 3,
        engines: 60,
        spec: Spec {
            slots: 48,
            max_waiting: 100,
            step: Duration::from_micros(5_090),
            step_per_request: Duration::from_micros(30),
            // With the attention to prompts of 9,200 tokens.
            prefill_tokens_per_ms: 45.3,
            chunk_tokens: 4_096,
            setup: Duration::from_millis(50),
            cache_tokens: 322_789,
            tokens_per_event: 6,
            fetch_tokens_per_ms: Some(419.0),
        },
        classes: vec![long, short],
        bursts: vec![
            burst(Kind::PrefillHeavy, 2.82, 0.5, 9.5),
            burst(Kind::DecodeHeavy, 2.56, 11.0, 16.0),
            burst(Kind::PrefillHeavy, 2.56, 17.5, 21.0),
        ],
        losses: vec![Loss { engine_ratio: 0.25, from_s: 9.5, to_s: 11.5 }],
        slowness: one_in(4, 1.0 / 0.55, 1.0 / 1.2),
        noise: Noise { ratio: 0.15, slowness: 2.5, length: Duration::from_millis(600) },
        swing: Swing { ratio: 0.55, period_s: 15.0, phase: 0.18 },
        duration_s: 24.0,
    }
}

/// 82 daemons and 60 engines, of which every third is faster. One shared prefix gets a fifth of the
/// short prompts of a burst, and a quarter of the engines crashes.
fn contended() -> Pattern {
    let Pattern { mut classes, spec, losses, .. } = uneven();
    let [long, short] = classes.as_mut_slice() else { unreachable!("two classes") };
    (long.rate, long.prefixes, long.max_pause) = (130.0, 649, Duration::from_millis(600));
    (long.worth, long.worth_late) = (4.7, 1.4);
    (short.rate, short.target, short.max_pause) =
        (198.0, Duration::from_millis(500), Duration::from_millis(400));
    (short.worth, short.worth_late) = (1.6, 0.15);
    Pattern {
        name: "contended",
        daemons: 82,
        spec: Spec {
            step: Duration::from_micros(5_050),
            step_per_request: Duration::from_micros(16),
            // With the attention to prompts of 9,200 tokens.
            prefill_tokens_per_ms: 35.5,
            setup: Duration::from_millis(13),
            cache_tokens: 296_400,
            fetch_tokens_per_ms: Some(137.0),
            ..spec
        },
        classes,
        bursts: vec![
            burst(Kind::PrefillHeavy, 2.56, 0.5, 9.5),
            Burst { hot_ratio: 0.2, ..burst(Kind::DecodeHeavy, 2.17, 11.0, 16.0) },
            burst(Kind::PrefillHeavy, 2.04, 17.5, 21.0),
        ],
        losses,
        slowness: one_in(3, 1.0 / 1.3, 1.0),
        noise: Noise { ratio: 0.0, slowness: 1.0, length: Duration::from_millis(600) },
        swing: Swing { ratio: 0.15, period_s: 11.0, phase: 0.5 },
        ..uneven()
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
            route_tier: self.class.route_tier,
            prompt_tokens: self.prompt_tokens(),
            segments: self.segments.clone(),
            output_tokens: self.output_tokens,
            arrived: start + arrived,
            target: self.class.target,
            max_event_gap: Some(self.class.max_pause),
            deadline: start + deadline,
            build: None,
            excluded: Vec::new(),
            is_repeat: false,
            is_recorded: false,
            may_have_run: false,
            workspace: None,
            is_returning: deadline - arrived + RETURN_MARGIN < self.class.deadline,
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
            let factor = burst.map_or(1.0, |burst| burst.factor);
            let rate = class.rate * pattern.swing.factor(at) * factor;
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
