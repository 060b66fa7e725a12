//! Where a request goes.

use std::time::{Duration, Instant};

use hyssop_document::name::{Backend, Zone};

use super::{Decider, Place, RETRY_LEAST, Reason, Verdict, share_of_connections};
use crate::local::{
    affinity,
    demand::Demand,
    model, split,
    standing::{Load, Standing},
};

/// How much later a first event may be to stay in the daemon's zone. Between zones bytes cost.
const ZONE_PREFERENCE: Duration = Duration::from_millis(4);
/// A first event that is further away than this part of the time left will not come in time to use.
const HOPELESS: f64 = 0.85;
/// How many times its target away a first event may be. Under overload each request that is sent later
/// than that makes those after it late too, while one that comes back is served in a calmer moment.
const OVERLOAD: f64 = 1.4;
/// By how much the times to come back differ, as a part: callers must not return together.
const SPREAD: f64 = 0.5;
/// The time of a request at an idle plain service of usual speed, from the users' sheets.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// What each request of the last second counts at a plain service, so that equals take turns.
const TURN: Duration = Duration::from_millis(1);
/// How many times its own time the reading of a shared part costs that is cached elsewhere.
const READ_AGAIN_WEIGHT: f64 = 3.0;
/// How much that weight grows for each second that prompts wait to be read. When all engines are
/// behind, reading again elsewhere only adds work, and the queue that it avoids grows everywhere.
const READ_AGAIN_PRESSURE: f64 = 30.0;
/// The members up to which that holds; with more it grows with their number. The more daemons place
/// requests, the less does each know of the others', and a queue that looks shorter often is not.
const FEW_MEMBERS: f64 = 9.0;
/// The part of a pool's backend servers that may be left alone because requests wait there for far too
/// long. A rack or a faulty release is about 15 in 100.
const OVERDUE_PART: f64 = 0.2;
/// The part of a queue that daemons fill together: the rest absorbs what they do not see yet.
const FILL: f64 = 2.5;

/// A backend server that may get a request.
#[derive(Debug)]
struct Candidate {
    name: Backend,
    hash: u32,
    slots: u32,
    /// Whether it keeps a request of this daemon waiting for far too long.
    overdue: bool,
    /// What all daemons have there.
    load: Load,
}

/// The backend servers that may get a request.
#[derive(Debug, Default)]
struct Usable {
    candidates: Vec<Candidate>,
    /// Whether others are cold, and this daemon's share of them is used.
    cold: bool,
    /// Whether all connections of this daemon to others are in use.
    connections: bool,
}

impl Usable {
    /// Why there is none.
    fn reason(&self) -> Reason {
        if self.connections {
            Reason::Connections
        } else if self.cold {
            Reason::Cold
        } else {
            Reason::NoServer
        }
    }
}

impl Decider {
    /// Decides where a request goes.
    pub fn place(&mut self, demand: &Demand, now: Instant) -> Verdict {
        let mut usable = self.usable(demand, now);
        let aside = match demand.prompt_tokens {
            0 => 0,
            _ => self.narrow(&mut usable.candidates, demand, now),
        };
        if usable.candidates.is_empty() {
            return Verdict::Refuse {
                reason: usable.reason(),
                retry_after: RETRY_LEAST * 2,
                predicted: None,
            };
        }
        let Some(place) = self.best(&usable.candidates, aside, demand, now) else {
            let (reason, retry_after) = (Reason::NoServer, RETRY_LEAST * 2);
            return Verdict::Refuse { reason, retry_after, predicted: None };
        };
        let bound = latest(demand, now);
        if place.predicted > bound {
            let retry_after = (place.predicted - bound).max(RETRY_LEAST).mul_f64(self.spread());
            let predicted = Some(place.predicted);
            return Verdict::Refuse { reason: Reason::Overload, retry_after, predicted };
        }
        if demand.repeat && !self.may_repeat(&demand.pool, now) {
            let predicted = Some(place.predicted);
            return Verdict::Refuse {
                reason: Reason::Repeats,
                retry_after: RETRY_LEAST,
                predicted,
            };
        }
        Verdict::Send(place)
    }

    /// A factor from 1 to 1 and [`SPREAD`], another one each time.
    fn spread(&mut self) -> f64 {
        self.refusals += 1;
        let drawn = affinity::weight(self.settings.own, self.refusals) >> 11;
        1.0 + SPREAD * drawn as f64 / (1_u64 << 53) as f64
    }

    /// The place with the least cost.
    fn best(
        &mut self,
        candidates: &[Candidate],
        aside: usize,
        demand: &Demand,
        now: Instant,
    ) -> Option<Place> {
        let first_choice = first_choice(candidates, demand);
        let context = Context {
            demand,
            zone: &self.settings.zone,
            pressure: pressure(candidates),
            usual: self.usual_slowness(&demand.pool),
            doubt: (self.members.len() as f64 / FEW_MEMBERS).max(1.0),
            now,
        };
        let mut best: Option<(Duration, Place)> = None;
        for Candidate { name, hash, load, .. } in candidates {
            let Some(standing) = self.standings.get(name) else { continue };
            let first = first_choice == Some(*hash);
            let (cost, predicted, unread) = cost(standing, *load, first, &context);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let place = Place { server: name.clone(), predicted, unread, load: *load, aside };
                best = Some((cost, place));
            }
        }
        best.map(|(_, place)| place)
    }

    /// The backend servers that may get the request now.
    fn usable(&mut self, demand: &Demand, now: Instant) -> Usable {
        let mut usable = Usable::default();
        // Used where all others are avoided too: backend servers that break a part of their requests
        // still answer most of them.
        let mut doubtful = Vec::new();
        for (name, standing) in &mut self.standings {
            let server = &standing.server;
            if server.pool != demand.pool || demand.excluded.contains(name) {
                continue;
            }
            let avoided = standing.is_avoided(now);
            if avoided && !standing.is_doubtful() {
                continue;
            }
            let most = share_of_connections(server.max_connections, self.members.len());
            if standing.runs.len() >= most {
                usable.connections = true;
                continue;
            }
            if standing.is_cold(now) {
                let bound = self.settings.cold;
                let own = self.settings.own;
                let share = match self.settled {
                    true => bound.share(server.cold_rate, server.hash, own, &self.members),
                    false => 0,
                };
                if standing.sends.count(now) >= share {
                    usable.cold = true;
                    continue;
                }
            }
            let (hash, slots) = (server.hash, server.slots);
            let load = standing.own(now).plus(self.others.load(hash));
            let candidates = if avoided { &mut doubtful } else { &mut usable.candidates };
            let overdue = standing.is_overdue(now);
            candidates.push(Candidate { name: name.clone(), hash, slots, overdue, load });
        }
        if usable.candidates.is_empty() {
            usable.candidates = doubtful;
        }
        leave_overdue(&mut usable.candidates);
        usable
    }

    /// Keeps the engines that are for requests like this one, if there is room at one of them.
    fn narrow(&mut self, engines: &mut Vec<Candidate>, demand: &Demand, now: Instant) -> usize {
        let generating = engines.iter().map(|engine| engine.load.generating);
        let generating = generating.fold(0, u32::saturating_add);
        let slots = engines.last().map_or(1, |engine| engine.slots);
        let split = self.splits.entry(demand.pool.clone()).or_default();
        let aside = split.update(generating, slots, engines.len(), now);
        engines.sort_by_cached_key(|engine| split::rank(engine.hash));
        let own = if split::generates(demand) { 0..aside } else { aside..engines.len() };
        let room = |engine: &Candidate| {
            f64::from(engine.load.running) < f64::from(engine.slots) * split::ROOM
        };
        if engines[own.clone()].iter().any(room) {
            engines.truncate(own.end);
            engines.drain(..own.start);
        }
        aside
    }
}

/// Leaves out backend servers that keep requests waiting, as long as they are few.
///
/// Answers the load pattern of engines that are mute for a part of their requests while their health
/// is good. Where many are late, the load is the reason, and leaving them would overrun the others.
fn leave_overdue(candidates: &mut Vec<Candidate>) {
    let overdue = candidates.iter().filter(|candidate| candidate.overdue).count();
    let few = (candidates.len() as f64 * OVERDUE_PART).max(1.0);
    if overdue < candidates.len() && overdue as f64 <= few {
        candidates.retain(|candidate| !candidate.overdue);
    }
}

/// The mean time that prompts wait to be read.
fn pressure(candidates: &[Candidate]) -> Duration {
    let unread: f64 = candidates.iter().map(|c| f64::from(c.load.unread_tokens)).sum();
    model::reading(unread / candidates.len().max(1) as f64)
}

/// The hash of the backend server at which all daemons expect the prompt's subject to be cached.
fn first_choice(candidates: &[Candidate], demand: &Demand) -> Option<u32> {
    let part = demand.subject()?.id;
    let hashes = candidates.iter().map(|candidate| candidate.hash);
    hashes.max_by_key(|&hash| affinity::weight(hash, part))
}

/// The latest first event that is worth sending for: before the caller gives up, and under overload
/// not long after the target.
fn latest(demand: &Demand, now: Instant) -> Duration {
    let usable = demand.deadline.saturating_duration_since(now).mul_f64(HOPELESS);
    match demand.prompt_tokens {
        0 => usable,
        _ => usable.min(demand.target.mul_f64(OVERLOAD)),
    }
}

/// What is the same for all places of one decision.
struct Context<'a> {
    demand: &'a Demand,
    /// The daemon's zone.
    zone: &'a Zone,
    /// The mean time that prompts wait to be read.
    pressure: Duration,
    /// The slowness of the pool.
    usual: f64,
    /// How little is known of what other daemons do: 1 in a small fleet.
    doubt: f64,
    now: Instant,
}

/// The cost of a place, the predicted time to the first event, and the tokens to read.
fn cost(
    standing: &Standing,
    load: Load,
    first_choice: bool,
    context: &Context<'_>,
) -> (Duration, Duration, u32) {
    let &Context { demand, zone, pressure, usual, doubt, now } = context;
    let far = if standing.server.zone == *zone { Duration::ZERO } else { ZONE_PREFERENCE };
    let Some(cache_tokens) = standing.server.cache_tokens else {
        return service_cost(standing, load, far, usual);
    };
    let unread = standing.unread(demand, first_choice, now);
    let predicted = standing.queue(load, usual).first_event(f64::from(unread));
    // Reading what is cached elsewhere takes time from all requests there, not only from this one.
    let shared = unread.saturating_sub(demand.own_tokens());
    let weight = READ_AGAIN_WEIGHT + READ_AGAIN_PRESSURE * doubt * pressure.as_secs_f64();
    let again = model::reading(f64::from(shared)).mul_f64(weight);
    let held = u64::from(load.held_tokens) + u64::from(demand.held_tokens());
    // A request that does not fit into memory preempts another one or waits for it.
    let full = if held > cache_tokens { model::reading(held as f64) } else { Duration::ZERO };
    (predicted + again + far + full, predicted + full, unread)
}

/// A plain service runs one request in each slot and queues the rest.
fn service_cost(
    standing: &Standing,
    load: Load,
    far: Duration,
    usual: f64,
) -> (Duration, Duration, u32) {
    let slots = f64::from(standing.server.slots.max(1));
    let filled = f64::from(load.running) / slots;
    let predicted = SERVICE_TIME.mul_f64(standing.slowness(usual) * (1.0 + filled));
    let over = if filled > FILL { Duration::from_secs(1) } else { Duration::ZERO };
    let turn = TURN * load.sent;
    (predicted + far + turn + over, predicted + over, 0)
}
