//! Limits on the requests per second that backend servers take from all daemons together.
//!
//! For servers in need: one that can't keep up names in its responses how much it takes, until it has
//! recovered.

use std::{
    str::FromStr,
    time::{Duration, Instant},
};

use hyssop_document::{collections::Map, name::Backend};

/// How long a limit is remembered after the last response that named it. The record of its server is
/// gone long before, unless nobody sends it requests.
const LIMIT_TTL: Duration = Duration::from_secs(600);

/// Requests per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, derive_more::Display)]
pub struct Rate(f64);

/// The error for a text that is not a rate.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a rate is a number of requests per second, 0 or more")]
pub struct RateError;

impl Rate {
    /// A number of requests per second, if it is finite and not negative.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// The number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        text.parse().ok().and_then(Self::new).ok_or(RateError)
    }
}

#[derive(Debug, Clone, Copy)]
struct Known {
    incarnation: u64,
    /// The limit, or `None` once a response named none any more.
    limit: Option<Rate>,
    /// A time before which the backend server had not yet named the limit, or ended it.
    at: Instant,
}

/// The limits that backend servers have named to one daemon.
#[derive(Debug, Default)]
pub struct Limits {
    servers: Map<Backend, Known>,
}

impl Limits {
    /// Records the limit that a response named, or that it named none. The request was sent at
    /// `sent`. Returns whether that changes the limit.
    pub fn record_response(
        &mut self,
        server: &Backend,
        incarnation: u64,
        limit: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let known = self.servers.get(server).filter(|known| known.incarnation == incarnation);
        let before = known.and_then(|known| known.limit);
        // Responses overtake each other. One without a limit ends it only if its request was sent
        // after the limit was known.
        let at = match (limit, known) {
            (Some(_), _) => now,
            (None, Some(known)) if known.limit.is_some() && sent > known.at => sent,
            (None, _) => return false,
        };
        self.servers.insert(server.clone(), Known { incarnation, limit, at });
        limit != before
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, known| now.duration_since(known.at) < LIMIT_TTL);
    }
}
