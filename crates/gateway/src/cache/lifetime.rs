//! How long a stream can last, with the attempts to resume it.
//!
//! A stream lasts as long as its caller waits for it. Callers say in each request how long that is,
//! but a resume attempt has only what is left of it, and the time limits of routes change. So the
//! longest times that were seen count for as long as a stream can last at most.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, name::Pool};

use super::{Cache, Inner};
use crate::environment::Environment;

/// The maximum time for which a stream can last. Callers that name no deadline may resume theirs
/// for as long.
pub const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// The time on top of a deadline: for the response to the request that began the stream to reach
/// its caller, and for a request that is sent to a server whose departure arrives meanwhile.
const MARGIN: Duration = Duration::from_secs(1);

/// The longest of some times.
#[derive(Debug, Clone, Copy)]
struct Longest {
    time: Duration,
    seen_at: Instant,
}

/// How long callers wait for the streams of each pool.
#[derive(Debug, Default)]
pub(super) struct Lifetimes {
    /// The longest time limits of routes in the environment in force.
    limits: Map<Pool, Duration>,
    /// The longest deadlines of callers, and time limits of earlier environments.
    seen: Map<Pool, Longest>,
}

impl Lifetimes {
    fn record(&mut self, pool: &Pool, time: Duration, now: Instant) {
        let longest = Longest { time: time.min(MAX_LIFETIME), seen_at: now };
        match self.seen.get_mut(pool) {
            Some(seen) if seen.time > longest.time && seen.is_recent(now) => {}
            Some(seen) => *seen = longest,
            None => {
                self.seen.insert(pool.clone(), longest);
            }
        }
    }

    /// The maximum age of a stream that a caller resumes who waits for `left`.
    pub(super) fn max_age(&self, pool: &Pool, left: Option<Duration>, now: Instant) -> Duration {
        let Some(left) = left else { return MAX_LIFETIME };
        let limit = self.limits.get(pool).copied().unwrap_or_default();
        let seen = self.seen.get(pool).filter(|seen| seen.is_recent(now));
        let longest = left.max(limit).max(seen.map_or(Duration::ZERO, |seen| seen.time));
        (longest + MARGIN).min(MAX_LIFETIME)
    }
}

impl Longest {
    fn is_recent(&self, now: Instant) -> bool {
        now.duration_since(self.seen_at) < MAX_LIFETIME
    }
}

impl Inner {
    /// Takes over the time limits of an environment. Those of the one before it still count, for
    /// streams that began under them.
    pub(super) fn update_limits(&mut self, environment: &Environment, now: Instant) {
        // Streams that began in a pool that their route had before may be resumed in another one.
        if !self.environment.as_ref().is_some_and(|before| has_same_pools(before, environment)) {
            self.knowledge.restart(now);
        }
        let mut limits: Map<Pool, Duration> = Map::default();
        for route in environment.routes().filter(|route| route.streams) {
            for (pool, _) in &route.pools {
                let limit = limits.entry(pool.clone()).or_default();
                *limit = route.timeout.max(*limit);
            }
        }
        for (pool, limit) in std::mem::replace(&mut self.lifetimes.limits, limits) {
            self.lifetimes.record(&pool, limit, now);
        }
    }
}

/// Whether streams go to the same pools in two environments, whatever the weights.
fn has_same_pools(before: &Environment, after: &Environment) -> bool {
    let streams = |environment: &Environment| {
        let streams = environment.routes().filter(|route| route.streams);
        let mut streams: Vec<_> = streams
            .map(|route| {
                let mut pools: Vec<Pool> =
                    route.pools.iter().map(|(pool, _)| pool.clone()).collect();
                pools.sort_unstable();
                (route.host.clone(), route.path_prefix.clone(), pools)
            })
            .collect();
        streams.sort_unstable();
        streams
    };
    streams(before) == streams(after)
}

impl Cache {
    /// Records that a caller waits for a stream of a pool for this long.
    pub fn record_deadline(&self, pool: &Pool, deadline: Duration, now: Instant) {
        self.inner.lock().lifetimes.record(pool, deadline, now);
    }
}
