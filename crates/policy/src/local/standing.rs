//! What a daemon knows of one backend server.

use std::time::{Duration, Instant};

use hyssop_document::{
    collections::Map,
    name::{Backend, Pool, Zone},
};

use super::{demand::Demand, model::Queue, window::Window};

/// How long a backend server gets nothing after it could not be reached or broke an answer. Doubles
/// with each further failure.
const AVOIDED_FIRST: Duration = Duration::from_millis(300);
/// The longest of these times, so that one that is back is found within seconds.
const AVOIDED_MOST: Duration = Duration::from_secs(3);
/// How long a part counts as cached after its last use by this daemon.
const PART_KEPT: Duration = Duration::from_secs(15);
/// The largest number of parts remembered for one backend server.
const MAX_PARTS: usize = 1_024;
/// The span over which sends are counted for cold backend servers.
const RATE_SPAN: Duration = Duration::from_millis(1_100);
/// Failures in a row up to which a backend server that breaks a part of its requests is still used
/// where there is no other: one in three would break this many with a chance of one in nine.
const DOUBTFUL_FAILURES: u32 = 2;
/// The least weight of a new measurement in a backend server's slowness.
const SLOWNESS_GAIN: f64 = 0.1;
/// How many measurements of a backend server weigh as much as the pool's slowness.
const POOL_WEIGHT: f64 = 3.0;
/// The most measurements that count: what is older says less than what the pool shows now.
const MOST_MEASUREMENTS: u32 = 10;

/// A backend server that may get requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// The name.
    pub name: Backend,
    /// The hash of the name that daemons use among themselves.
    pub hash: u32,
    /// The pool.
    pub pool: Pool,
    /// The availability zone.
    pub zone: Zone,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The tokens of KV cache, for a model engine.
    pub cache_tokens: Option<u64>,
    /// Requests a second that it bears while cold; 0 if it is never cold.
    pub cold_rate: f64,
    /// The connections that it accepts from all daemons.
    pub max_connections: u32,
    /// The start of its incarnation. One that started again holds nothing of before.
    pub incarnation: u64,
}

/// What one daemon has at a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests sent and not finished.
    pub running: u32,
    /// Prompt tokens sent and not read yet.
    pub unread_tokens: u32,
    /// Tokens of KV cache held.
    pub held_tokens: u32,
    /// Requests sent in the last second.
    pub sent: u32,
    /// Running requests that mostly generate.
    pub generating: u32,
}

impl Load {
    /// The sum. What peers tell may be anything, so sums wrap, and what was added can be taken away.
    pub fn plus(self, other: Self) -> Self {
        self.combine(other, u32::wrapping_add)
    }

    /// What is left without `other`, which is a part of it.
    pub fn minus(self, other: Self) -> Self {
        self.combine(other, u32::wrapping_sub)
    }

    fn combine(self, other: Self, with: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            running: with(self.running, other.running),
            unread_tokens: with(self.unread_tokens, other.unread_tokens),
            held_tokens: with(self.held_tokens, other.held_tokens),
            sent: with(self.sent, other.sent),
            generating: with(self.generating, other.generating),
        }
    }
}

/// Names one request at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub struct Ticket(pub u64);

#[derive(Debug)]
pub(super) struct Run {
    pub(super) sent: Instant,
    /// When its first event is so late that it may never come.
    pub(super) overdue_at: Instant,
    /// The time to its first event that was predicted for a backend server of usual speed.
    pub(super) usual: Duration,
    pub(super) unread: u32,
    pub(super) held: u32,
    pub(super) begun: bool,
    pub(super) generates: bool,
}

/// Knowledge of one backend server.
#[derive(Debug)]
pub struct Standing {
    pub(super) server: Server,
    pub(super) runs: Map<Ticket, Run>,
    pub(super) sends: Window,
    pub(super) cold_until: Option<Instant>,
    /// The same by what peers told.
    pub(super) told_cold_until: Option<Instant>,
    pub(super) avoid_until: Option<Instant>,
    pub(super) failures: u32,
    /// How many times longer than predicted it took, by what this daemon measured.
    slowness: f64,
    measurements: u32,
    pub(super) parts: Map<u64, Instant>,
}

impl Standing {
    pub(super) fn new(server: Server) -> Self {
        Self {
            server,
            runs: Map::default(),
            sends: Window::new(RATE_SPAN),
            cold_until: None,
            told_cold_until: None,
            avoid_until: None,
            failures: 0,
            slowness: 1.0,
            measurements: 0,
            parts: Map::default(),
        }
    }

    /// What this daemon has there.
    pub fn own(&mut self, now: Instant) -> Load {
        let mut load = Load { sent: self.sends.count(now) as u32, ..Load::default() };
        for run in self.runs.values() {
            load.running += 1;
            load.generating += u32::from(run.generates);
            load.held_tokens = load.held_tokens.saturating_add(run.held);
            if !run.begun {
                load.unread_tokens = load.unread_tokens.saturating_add(run.unread);
            }
        }
        load
    }

    /// How many times longer than predicted it takes, in a pool in which that is `usual`.
    pub(super) fn slowness(&self, usual: f64) -> f64 {
        let own = f64::from(self.measurements);
        (self.slowness * own + usual * POOL_WEIGHT) / (own + POOL_WEIGHT)
    }

    pub(super) fn queue(&self, load: Load, usual: f64) -> Queue {
        Queue {
            unread_tokens: f64::from(load.unread_tokens),
            running: f64::from(load.running),
            slots: f64::from(self.server.slots),
            slowness: self.slowness(usual),
        }
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        let until = self.cold_until.max(self.told_cold_until);
        self.server.cold_rate > 0.0 && until.is_some_and(|until| until > now)
    }

    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| until > now)
    }

    /// Whether it keeps a request waiting for far longer than was predicted.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.runs.values().any(|run| !run.begun && now > run.overdue_at)
    }

    /// Whether it broke a request or two, and may well answer the next one.
    pub(super) fn is_doubtful(&self) -> bool {
        (1..=DOUBTFUL_FAILURES).contains(&self.failures)
    }

    /// The tokens of the prompt that must be read there. `first_choice` tells that all daemons send
    /// the prompt's subject there.
    pub(super) fn unread(&self, demand: &Demand, first_choice: bool, now: Instant) -> u32 {
        let subject = demand.subject().map(|part| part.id);
        let cached = |id: u64| {
            self.parts.get(&id).is_some_and(|&used| now.duration_since(used) <= PART_KEPT)
        };
        let mut unread = demand.prompt_tokens;
        let mut assumed = first_choice;
        for part in &demand.parts {
            if !(assumed || cached(part.id)) {
                break;
            }
            unread = unread.saturating_sub(part.tokens);
            if Some(part.id) == subject {
                assumed = false;
            }
        }
        unread
    }

    pub(super) fn remember_parts(&mut self, demand: &Demand, now: Instant) {
        if self.parts.len() > MAX_PARTS {
            self.parts.retain(|_, used| now.duration_since(*used) <= PART_KEPT);
        }
        for part in &demand.parts {
            self.parts.insert(part.id, now);
        }
    }

    /// Takes that it broke a request, could not be reached, or did not answer.
    pub(super) fn failed(&mut self, now: Instant) {
        let factor = 1 << self.failures.min(4);
        self.failures += 1;
        self.avoid_until = Some(now + (AVOIDED_FIRST * factor).min(AVOIDED_MOST));
    }

    /// Takes how many times longer than predicted, for a backend server of usual speed, it took.
    pub(super) fn measured(&mut self, ratio: f64) {
        self.measurements = (self.measurements + 1).min(MOST_MEASUREMENTS);
        let gain = (1.0 / f64::from(self.measurements)).max(SLOWNESS_GAIN);
        self.slowness += gain * (ratio - self.slowness);
    }
}
