//! Backend servers that fall over if they have to reject too many requests.
//!
//! For pools at their limit: servers in trouble say how many rejections in a second they bear, from all
//! daemons together, and may keep no requests waiting. While they do, the places of a server are divided
//! among the daemons. Where that leaves a daemon less than a few, requests are sent at a rate at which
//! they seldom meet a full server.

use std::time::{Duration, Instant};

use hyssop_document::{
    collections::Map,
    name::{Backend, Pool},
};

use super::{
    holders::Holders,
    limit::{Availability, Limits, Rate},
    server::Server,
};

/// The part of a server's slots that is used. New connections take slots as well.
const USABLE_SLOTS_RATIO: f64 = 0.9;
/// The number of places below which a daemon's part of a server is a rate instead.
const MIN_PLACES: usize = 2;
/// The part of the rejections that a server bears which the rate is to cause on average. More come in
/// some seconds than in others.
const REJECTIONS_RATIO: f64 = 0.3;
/// The assumed time of a request until one has ended.
const DEFAULT_SERVICE_TIME_S: f64 = 0.05;
const MIN_SERVICE_TIME_S: f64 = 0.001;
/// The minimum of a safe load, and how often its bounds are halved.
const MIN_LOAD: f64 = 0.05;
const BISECTIONS: u32 = 16;
/// The weight of the last request in the mean time of a pool's requests.
const SERVICE_TIME_GAIN: f64 = 0.05;
/// The factor by which a daemon's part falls with each rejection of one of its requests.
const REJECTION_FACTOR: f64 = 0.8;
/// The minimum of that part, relative to what the server's slots allow.
const MIN_RATIO: f64 = 0.1;
/// How fast the part grows back in a second while it is used up, for each rejection that one daemon may
/// cause in that time. With [`REJECTION_FACTOR`] that leads to [`REJECTIONS_RATIO`].
const GROWTH_RATIO: f64 = 0.07;
/// How long a part counts as used up after a request was held back.
const HELD_BACK_TIME: Duration = Duration::from_secs(1);
/// The requests that a daemon may save up of its rate.
const MAX_SAVED: f64 = 1.0;
/// How long a daemon sends nothing to a server that has rejected a request.
pub(super) const REJECTION_BACKOFF: Duration = Duration::from_secs(1);

/// This daemon's part of one server.
#[derive(Debug, Clone, Copy)]
struct Part {
    /// Relative to what the server's slots allow.
    ratio: f64,
    /// What is saved up of its rate, in requests.
    saved: f64,
    updated: Instant,
    held_back: Option<Instant>,
    rejected: Option<Instant>,
}

/// The backend servers that are brittle, and this daemon's parts of them.
#[derive(Debug, Default)]
pub(super) struct Brittle {
    /// The rejections that each server bears in a second.
    tolerances: Limits,
    parts: Map<Backend, Part>,
    /// The mean time of the requests of each pool, in seconds.
    service_times: Map<Pool, f64>,
}

impl Brittle {
    /// Records how many rejections in a second a response says that its server bears, or that it is not
    /// brittle. The request was sent at `sent`. Returns whether that is new.
    pub(super) fn record_response(
        &mut self,
        server: &Backend,
        incarnation: u64,
        tolerance: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        self.tolerances.record_response(server, incarnation, tolerance, sent, now)
    }

    /// Whether a server has said that it is brittle.
    pub(super) fn is_brittle(&self, server: &Server) -> bool {
        self.tolerances.limit(server).is_some()
    }

    /// Whether this daemon's part of a server allows another request beside the `running` ones that it
    /// has there. A server that is not brittle is always available.
    pub(super) fn availability(
        &mut self,
        server: &Server,
        running: usize,
        holders: &Holders<'_>,
        now: Instant,
    ) -> Availability {
        let Some(tolerance) = self.tolerances.limit(server) else { return Availability::Available };
        let places = places(server, holders);
        let service_time_s = self.service_time_s(&server.pool);
        let safe_load = match places {
            Some(places) => places as f64,
            None => {
                let rejections_per_s = tolerance.per_second() * REJECTIONS_RATIO;
                safe_load(server.slots, rejections_per_s * service_time_s)
            }
        };
        // Servers that keep requests waiting reject fewer.
        let max_ratio = places.map_or(usable_slots(server) as f64 / safe_load, |_| 1.0);
        let part = self.part(&server.name, now);
        let elapsed = now.duration_since(part.updated).as_secs_f64();
        part.updated = now;
        if part.held_back.is_some_and(|at| now.duration_since(at) < HELD_BACK_TIME) {
            let own_rejections = tolerance.per_second() / holders.count() as f64;
            part.ratio *= 1.0 + GROWTH_RATIO * own_rejections * elapsed;
        }
        part.ratio = part.ratio.clamp(MIN_RATIO, max_ratio);
        let wait = match places {
            Some(_) => {
                let allowed = ((safe_load * part.ratio) as usize).max(1);
                (running >= allowed).then_some(None)
            }
            None => {
                let rate = safe_load * part.ratio / service_time_s / holders.count() as f64;
                part.saved = (part.saved + rate * elapsed).min(MAX_SAVED);
                let wait = Duration::try_from_secs_f64((1.0 - part.saved) / rate).ok();
                (part.saved < 1.0).then_some(wait)
            }
        };
        let Some(wait) = wait else { return Availability::Available };
        part.held_back = Some(now);
        Availability::Used(wait.and_then(|wait| now.checked_add(wait)))
    }

    /// Records that a request is sent to a server.
    pub(super) fn record_sent(&mut self, server: &Backend) {
        if let Some(part) = self.parts.get_mut(server) {
            part.saved = (part.saved - 1.0).max(0.0);
        }
    }

    /// Records that a server has rejected a request. Of several at a time only the first one counts, as
    /// the others were sent before it was known.
    pub(super) fn record_rejection(&mut self, server: &Backend, now: Instant) {
        let part = self.part(server, now);
        if part.rejected.is_none_or(|at| now.duration_since(at) >= REJECTION_BACKOFF) {
            part.ratio *= REJECTION_FACTOR;
            part.rejected = Some(now);
        }
    }

    /// Records how long a complete request took.
    pub(super) fn record_service_time(&mut self, pool: &Pool, time: Duration) {
        let time_s = time.as_secs_f64();
        let mean = self.service_times.entry(pool.clone()).or_insert(time_s);
        *mean += (time_s - *mean) * SERVICE_TIME_GAIN;
    }

    /// Forgets what has expired.
    pub(super) fn expire(&mut self, is_known: impl Fn(&Backend) -> bool, now: Instant) {
        self.tolerances.expire(now);
        self.parts.retain(|server, _| is_known(server));
    }

    fn part(&mut self, server: &Backend, now: Instant) -> &mut Part {
        let new = Part { ratio: 1.0, saved: 0.0, updated: now, held_back: None, rejected: None };
        self.parts.entry(server.clone()).or_insert(new)
    }

    fn service_time_s(&self, pool: &Pool) -> f64 {
        let time_s = self.service_times.get(pool).copied().unwrap_or(DEFAULT_SERVICE_TIME_S);
        time_s.max(MIN_SERVICE_TIME_S)
    }
}

fn usable_slots(server: &Server) -> usize {
    ((f64::from(server.slots) * USABLE_SLOTS_RATIO) as usize).max(1)
}

/// This daemon's part of a server's slots, if all daemons have enough of them. The parts of all daemons
/// add up to the usable slots.
fn places(server: &Server, holders: &Holders<'_>) -> Option<usize> {
    let (slots, daemons) = (usable_slots(server), holders.count());
    let extra = usize::from(holders.rank(server.hash) < slots % daemons);
    (slots / daemons >= MIN_PLACES).then_some(slots / daemons + extra)
}

/// The mean number of requests at a server of which so many meet it full within the time of one, by
/// Erlang's formula for a server that keeps none waiting.
fn safe_load(slots: u32, blocked: f64) -> f64 {
    let (mut least, mut most) = (MIN_LOAD, f64::from(slots).max(MIN_LOAD));
    for _ in 0..BISECTIONS {
        let load = (least + most) / 2.0;
        let is_safe = load * blocking_probability(slots, load) <= blocked;
        (least, most) = if is_safe { (load, most) } else { (least, load) };
    }
    least
}

/// The probability that all slots are taken when a request arrives, for this mean number of requests.
fn blocking_probability(slots: u32, load: f64) -> f64 {
    (1..=slots).fold(1.0, |blocked, slot| load * blocked / (f64::from(slot) + load * blocked))
}
