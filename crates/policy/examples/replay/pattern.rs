//! Load patterns: what callers ask for, and what happens to engines.

use std::{
    str::FromStr,
    time::{Duration, Instant},
};

use hyssop_document::{name::Pool, number::Tier};
use hyssop_policy::local::demand::{Demand, Segment};
use rand::{RngExt as _, rngs::StdRng};

use crate::engine::Spec;

/// What a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Kind {
    /// A long prompt about a subject, with a short answer.
    #[display("reads")]
    Reads,
    /// A short prompt with a long answer.
    #[display("generates")]
    Generates,
}

/// One class of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub(crate) kind: Kind,
    /// Requests a second on a calm day.
    pub(crate) rate: f64,
    /// What all share, what a subject shares and what a request has alone, in tokens.
    pub(crate) segments: [u32; 3],
    pub(crate) subjects: u64,
    pub(crate) output: u32,
    pub(crate) target: Duration,
    pub(crate) pause: Duration,
    pub(crate) deadline: Duration,
    pub(crate) worth: f64,
    pub(crate) worth_late: f64,
}

/// How often a class is asked for during some time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Burst {
    pub(crate) kind: Kind,
    pub(crate) factor: f64,
    pub(crate) from_s: f64,
    pub(crate) to_s: f64,
    /// The part of the requests that is about one subject.
    pub(crate) hot: f64,
}

/// Engines that are lost for a while.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Loss {
    pub(crate) part: f64,
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
    /// The part of engines that is slow, and how much.
    pub(crate) slow: (f64, f64),
    pub(crate) seconds: f64,
}

/// No pattern has this name.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the patterns are: steady, burst, lost, hot, slow, large")]
pub(crate) struct Unknown;

impl FromStr for Pattern {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let reads =
            |factor, from_s, to_s, hot| Burst { kind: Kind::Reads, factor, from_s, to_s, hot };
        let burst = vec![
            reads(2.3, 1.0, 10.0, 0.0),
            Burst { kind: Kind::Generates, factor: 1.8, from_s: 12.0, to_s: 17.0, hot: 0.0 },
        ];
        let pattern = match name {
            "steady" => Self { name: "steady", ..small() },
            "burst" => Self { name: "burst", bursts: burst, ..small() },
            "lost" => {
                let losses = vec![Loss { part: 0.28, from_s: 8.0, to_s: 10.0 }];
                Self { name: "lost", bursts: vec![reads(1.5, 5.0, 15.0, 0.0)], losses, ..small() }
            }
            "hot" => Self { name: "hot", bursts: vec![reads(1.5, 5.0, 15.0, 0.4)], ..small() },
            "slow" => Self { name: "slow", slow: (0.15, 4.0), ..small() },
            "large" => Self { name: "large", bursts: burst, ..large() },
            _ => return Err(Unknown),
        };
        Ok(pattern)
    }
}

fn spec(slots: usize, cache_tokens: u32, stride: u32) -> Spec {
    Spec {
        slots,
        queue: slots * 3,
        step: Duration::from_micros(3_900),
        step_more: Duration::from_micros(47),
        read_per_ms: 91.8,
        chunk: 2_048,
        setup: Duration::from_millis(53),
        cache_tokens,
        stride,
    }
}

fn classes(reads: f64, generates: f64, subjects: u64) -> Vec<Class> {
    let reads = Class {
        kind: Kind::Reads,
        rate: reads,
        segments: [2_520, 3_780, 2_890],
        subjects,
        output: 54,
        target: Duration::from_millis(400),
        pause: Duration::from_millis(300),
        deadline: Duration::from_secs(4),
        worth: 2.4,
        worth_late: 0.73,
    };
    let generates = Class {
        kind: Kind::Generates,
        rate: generates,
        segments: [119, 79, 628],
        output: 290,
        target: Duration::from_millis(500),
        pause: Duration::from_millis(200),
        deadline: Duration::from_secs(12),
        worth: 2.6,
        worth_late: 0.23,
        ..reads
    };
    vec![reads, generates]
}

/// Nine daemons before 18 engines.
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
        slow: (0.0, 1.0),
        seconds: 24.0,
    }
}

/// Many daemons before 140 engines with few slots.
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
    pub(crate) at: Duration,
    pub(crate) segments: Vec<Segment>,
    pub(crate) output: u32,
}

impl Request {
    /// The tokens of its prompt.
    pub(crate) fn prompt(&self) -> u32 {
        self.segments.iter().map(|part| part.tokens).sum()
    }

    /// The request as a daemon sees it that got it at `arrived`.
    pub(crate) fn demand(&self, arrived: Duration, deadline: Duration, start: Instant) -> Demand {
        Demand {
            pool: Pool::new("engines"),
            tier: Tier(2),
            prompt_tokens: self.prompt(),
            segments: self.segments.clone(),
            output_tokens: self.output,
            arrived: start + arrived,
            target: self.class.target,
            deadline: start + deadline,
            excluded: Vec::new(),
            is_repeat: false,
        }
    }
}

/// The requests of a pattern, in the order of their times.
pub(crate) fn requests(pattern: &Pattern, random: &mut StdRng) -> Vec<Request> {
    let mut requests = Vec::new();
    for (index, class) in pattern.classes.iter().enumerate() {
        let mut at = 0.0;
        while at < pattern.seconds {
            let burst = pattern
                .bursts
                .iter()
                .find(|burst| burst.kind == class.kind && (burst.from_s..burst.to_s).contains(&at));
            let rate = class.rate * burst.map_or(1.0, |burst| burst.factor);
            at += -(1.0 - random.random::<f64>()).ln() / rate;
            let hot = burst.is_some_and(|burst| random.random_bool(burst.hot));
            let subject = if hot { 0 } else { random.random_range(0..class.subjects) };
            let size = random.random_range(0.3..1.7_f64) * random.random_range(0.6..1.4);
            let own = (f64::from(class.segments[2]) * size) as u32 + 1;
            let (id, group) = (requests.len() as u64, index as u64 * 1_000_000);
            let segments = vec![
                Segment { id: group + subject % 4, tokens: class.segments[0] },
                Segment { id: group + 1_000 + subject, tokens: class.segments[1] },
                Segment { id: (1 << 40) + id + (index as u64) * (1 << 41), tokens: own },
            ];
            let output = (f64::from(class.output) * random.random_range(0.4..1.6)) as u32 + 1;
            let at = Duration::from_secs_f64(at);
            requests.push(Request { class: *class, at, segments, output });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
