//! Limits on the requests per second that backend servers take from all daemons together.
//!
//! For servers in need: one that can't keep up names in its responses how much it takes, until it has
//! recovered. The limit is divided among few senders, chosen by rendezvous hashing over the members,
//! so that each has a share worth using and the sum holds without agreement.

use std::{
    str::FromStr,
    time::{Duration, Instant},
};

use hyssop_document::{collections::Map, name::Backend};
use serde::{Deserialize, Serialize};

use super::{holders::Holders, server::Server};

/// The number of senders on top of one for each request per second.
const EXTRA_SENDERS: usize = 2;
/// The time for which a sender may save up its share, beyond one request.
const MAX_SAVING_TIME: Duration = Duration::from_millis(500);
/// The minimum rate over all daemons: only a response can tell that a limit has ended.
const MIN_RATE: Rate = Rate(0.2);
/// How long after the last response with a limit the senders may be gone, so that each daemon tries
/// whether the limit still holds.
const STALE_AFTER: Duration = Duration::from_secs(30);
/// How long a limit is remembered after that response.
const LIMIT_TTL: Duration = Duration::from_secs(600);
/// How long a limit that peers reported is remembered after the last report. Several heartbeats, as
/// each has a sample only. A report that arrives late may be of a limit that has ended.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// How long peers are told that a limit has ended.
const END_REPORT_TIME: Duration = Duration::from_secs(10);

/// Requests per second.
#[derive(
    Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize, derive_more::Display,
)]
#[serde(try_from = "f32", into = "f32")]
pub struct Rate(f32);

/// The error for a text or number that is not a rate.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a rate is a number of requests per second, 0 or more")]
pub struct RateError;

impl Rate {
    /// The number of requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0)
    }
}

impl TryFrom<f32> for Rate {
    type Error = RateError;

    fn try_from(per_second: f32) -> Result<Self, RateError> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        if is_rate { Ok(Self(per_second)) } else { Err(RateError) }
    }
}

impl From<Rate> for f32 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        text.parse::<f32>().map_err(|_| RateError)?.try_into()
    }
}

/// The requests per second that this daemon may send to a server with a limit.
fn share(holders: &Holders<'_>, limit: Rate, server: u32) -> f64 {
    let total = limit.per_second().max(MIN_RATE.per_second());
    holders.sender_share(total, (total as usize).saturating_add(EXTRA_SENDERS), server)
}

/// Whether a backend server takes a request of this daemon now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It names no limit, or this daemon's share allows a request.
    Available,
    /// The share is used. Holds when it allows the next request, if this daemon has a share.
    Used(Option<Instant>),
}

/// The limit of a backend server as a daemon reports it to its peers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The incarnation of the backend server.
    pub incarnation: u64,
    /// The limit, or `None` if it has ended.
    pub limit: Option<Rate>,
    /// How long ago the backend server named the limit, or ended it.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    incarnation: u64,
    /// The limit, or `None` once a response named none any more.
    limit: Option<Rate>,
    /// A time at which the backend server had named the limit already, or had not yet ended it.
    at: Instant,
    /// Whether a response to this daemon said so, and not a peer.
    own: bool,
    /// When a peer last reported it.
    reported_at: Instant,
    /// What is saved up of this daemon's share, in requests.
    saved: f64,
    saved_at: Instant,
}

/// The limits that backend servers have named.
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
        // Responses overtake each other. One without a limit ends it only if its request was sent
        // after the limit was known.
        let at = match (limit, known) {
            (Some(_), _) => now,
            (None, Some(known)) if known.limit.is_some() && sent > known.at => sent,
            (None, _) => return false,
        };
        self.update(server, incarnation, limit, at, true, now)
    }

    /// Records what a peer reports of a backend server. Returns whether that changes the limit.
    pub fn record_report(&mut self, server: &Backend, report: &Report, now: Instant) -> bool {
        let Report { incarnation, limit, age } = *report;
        let Some(at) = now.checked_sub(age) else { return false };
        match self.servers.get_mut(server) {
            Some(known) if known.incarnation > incarnation => return false,
            Some(known) if known.incarnation == incarnation && at <= known.at => {
                known.reported_at = now;
                return false;
            }
            Some(_) => {}
            None if limit.is_none() => return false,
            None => {}
        }
        self.update(server, incarnation, limit, at, false, now)
    }

    fn update(
        &mut self,
        server: &Backend,
        incarnation: u64,
        limit: Option<Rate>,
        at: Instant,
        own: bool,
        now: Instant,
    ) -> bool {
        let known = self.servers.get_mut(server).filter(|known| known.incarnation == incarnation);
        let Some(known) = known else {
            let (saved, saved_at) = (0.0, now);
            let known = Known { incarnation, limit, at, own, reported_at: now, saved, saved_at };
            self.servers.insert(server.clone(), known);
            return limit.is_some();
        };
        if known.limit.is_none() {
            (known.saved, known.saved_at) = (0.0, now);
        }
        let changed = known.limit != limit;
        (known.limit, known.at, known.own, known.reported_at) = (limit, at, own, now);
        changed
    }

    /// The limit of a backend server, if it has named one.
    pub fn limit(&self, server: &Server) -> Option<Rate> {
        let known = self.servers.get(&server.name);
        known.filter(|known| known.incarnation == server.incarnation)?.limit
    }

    /// Whether a backend server takes a request of this daemon now.
    pub fn availability(
        &mut self,
        server: &Server,
        holders: &Holders<'_>,
        now: Instant,
    ) -> Availability {
        let known = self.servers.get_mut(&server.name);
        let known = known.filter(|known| known.incarnation == server.incarnation);
        let Some(known) = known else { return Availability::Available };
        let Some(limit) = known.limit else { return Availability::Available };
        let mut share = share(holders, limit, server.hash);
        if now.duration_since(known.at) > STALE_AFTER {
            // Each daemon tries whether the limit still holds.
            share = share.max(holders.equal_share(MIN_RATE.per_second()));
        }
        let most = 1.0 + share * MAX_SAVING_TIME.as_secs_f64();
        let saved = share * now.duration_since(known.saved_at).as_secs_f64();
        (known.saved, known.saved_at) = ((known.saved + saved).min(most), now);
        if known.saved >= 1.0 {
            return Availability::Available;
        }
        let wait = Duration::try_from_secs_f64((1.0 - known.saved) / share).ok();
        Availability::Used(wait.and_then(|wait| now.checked_add(wait)))
    }

    /// Records that a request is sent to a backend server.
    pub fn record_sent(&mut self, server: &Backend) {
        if let Some(known) = self.servers.get_mut(server).filter(|known| known.limit.is_some()) {
            known.saved -= 1.0;
        }
    }

    /// What responses to this daemon said, to be reported to peers. What peers reported is not passed
    /// on: each hop would make it look more recent.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = (&Backend, Report)> {
        self.servers.iter().filter(|(_, known)| known.own).filter_map(move |(server, known)| {
            let age = now.duration_since(known.at);
            let Known { incarnation, limit, .. } = *known;
            let is_recent = limit.is_some() || age < END_REPORT_TIME;
            is_recent.then_some((server, Report { incarnation, limit, age }))
        })
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, known| {
            let is_reported = now.duration_since(known.reported_at) < REPORT_TTL;
            now.duration_since(known.at) < LIMIT_TTL && (known.own || is_reported)
        });
    }
}
