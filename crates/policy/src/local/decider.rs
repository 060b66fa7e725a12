//! Places requests, for one daemon.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use hyssop_document::{
    collections::Map,
    name::{Backend, Pool, Zone},
};

use super::{
    affinity,
    cold::Bound as ColdBound,
    demand::Demand,
    model,
    repeats::{Bound as RepeatBound, Repeats},
    split::{self, Split},
    standing::{Load, Run, Server, Standing, Ticket},
};

/// How much later a first event may be to stay in the daemon's zone. Between zones bytes cost.
const ZONE_PREFERENCE: Duration = Duration::from_millis(4);
/// How long a backend server gets nothing after it could not be reached or broke an answer. Doubles
/// with each further failure.
const AVOIDED_FIRST: Duration = Duration::from_millis(300);
/// The longest of these times, so that one that is back is found within seconds.
const AVOIDED_MOST: Duration = Duration::from_secs(3);
/// How long one that said that it is full gets nothing.
const FULL_AVOIDED: Duration = Duration::from_millis(60);
/// A first event that is further away than this part of the time left will not come in time to use.
const HOPELESS: f64 = 0.85;
/// The least time to come back that callers are told.
const RETRY_LEAST: Duration = Duration::from_millis(150);
/// What each request of the last second counts at a plain service, so that equals take turns.
const TURN: Duration = Duration::from_millis(1);
/// How many times its own time the reading of a shared part costs that is cached elsewhere.
const READ_AGAIN_WEIGHT: f64 = 3.0;
/// How much that weight grows for each second that prompts wait to be read. When all engines are
/// behind, reading again elsewhere only adds work, and the queue that it avoids grows everywhere.
const READ_AGAIN_PRESSURE: f64 = 30.0;
/// The part of a queue that daemons fill together: the rest absorbs what they do not see yet.
const FILL: f64 = 2.5;

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// The backend server.
    pub server: Backend,
    /// The predicted time to the first event.
    pub predicted: Duration,
    /// The prompt tokens that will have to be read there.
    pub unread: u32,
    /// What all daemons have there, by what is known.
    pub load: Load,
    /// How many engines are set aside for requests that generate.
    pub aside: usize,
}

/// The backend servers that may get a request.
#[derive(Debug, Default)]
struct Usable {
    names: Vec<Backend>,
    /// Whether others are cold, and this daemon's share of them is used.
    cold: bool,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Send it there.
    Send(Place),
    /// Refuse it: it has not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When the caller should come back.
        retry_after: Duration,
        /// The predicted time to the first event at the best place, if there was a place.
        predicted: Option<Duration>,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Reason {
    /// No backend server of the pool is in service.
    #[display("no_server")]
    NoServer,
    /// All are cold, and this daemon's share of what they bear is used.
    #[display("cold")]
    Cold,
    /// The answer would come after the caller has given up.
    #[display("overload")]
    Overload,
    /// The budget for repeats is used.
    #[display("repeats")]
    Repeats,
}

/// How a request at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum End {
    /// Whole.
    #[display("complete")]
    Complete,
    /// Refused by the backend server, which has not run it.
    #[display("rejected")]
    Rejected,
    /// The connection or the answer broke.
    #[display("broken")]
    Broken,
    /// The backend server could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The caller left, or the time was over.
    #[display("abandoned")]
    Abandoned,
}

/// Settings of a decider.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's zone.
    pub zone: Zone,
    /// The hash of the daemon's name.
    pub own: u32,
    /// Until when the members are being learned. A daemon that has just started does not know among
    /// how many it shares, so it sends nothing to cold backend servers.
    pub learning_until: Instant,
    /// The bound on cold backend servers.
    pub cold: ColdBound,
    /// The bound on repeats.
    pub repeats: RepeatBound,
}

/// Decides for one daemon.
#[derive(Debug)]
pub struct Decider {
    settings: Settings,
    members: Vec<u32>,
    standings: Map<Backend, Standing>,
    by_hash: Map<u32, Backend>,
    repeats: Map<Pool, Repeats>,
    splits: Map<Pool, Split>,
    next: u64,
}

impl Decider {
    /// A decider that knows no backend server.
    pub fn new(settings: Settings) -> Self {
        let members = vec![settings.own];
        Self {
            settings,
            members,
            standings: Map::default(),
            by_hash: Map::default(),
            repeats: Map::default(),
            splits: Map::default(),
            next: 0,
        }
    }

    /// Replaces the bounds, as when the settings change.
    pub fn set_bounds(&mut self, cold: ColdBound, repeats: RepeatBound) {
        if self.settings.repeats != repeats {
            self.repeats.clear();
        }
        self.settings.cold = cold;
        self.settings.repeats = repeats;
    }

    /// Sets the hashes of all daemons that may use a share, this one included.
    pub fn set_members(&mut self, members: Vec<u32>) {
        self.members = members;
    }

    /// Replaces the backend servers that may get requests. What is known of those that stay is kept.
    pub fn configure(&mut self, servers: Vec<Server>) {
        let mut known = std::mem::take(&mut self.standings);
        self.by_hash.clear();
        for server in servers {
            let name = server.name.clone();
            self.by_hash.insert(server.hash, name.clone());
            let standing = match known.remove(&name) {
                Some(mut standing) if standing.server.incarnation == server.incarnation => {
                    standing.server = server;
                    standing
                }
                _ => Standing::new(server),
            };
            self.standings.insert(name, standing);
        }
    }

    /// Takes that a backend server is cold for some time from now.
    pub fn cold(&mut self, server: &Backend, left: Duration, now: Instant) {
        if let Some(standing) = self.standings.get_mut(server) {
            standing.cold_until = Some(now + left);
        }
    }

    /// How long a backend server stays cold.
    pub fn cold_left(&self, server: &Backend, now: Instant) -> Duration {
        let until = self.standings.get(server).and_then(|standing| standing.cold_until);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Takes what a peer has at backend servers.
    pub fn peer(&mut self, peer: IpAddr, hash: u32, load: Load, cold: Duration, now: Instant) {
        let Some(name) = self.by_hash.get(&hash) else { return };
        let Some(standing) = self.standings.get_mut(name) else { return };
        standing.peers.insert(peer, (load, now));
        let until = now + cold;
        if cold > Duration::ZERO && standing.cold_until.is_none_or(|known| known < until) {
            standing.cold_until = Some(until);
        }
    }

    /// What this daemon has at each backend server.
    pub fn own_loads(&mut self, now: Instant) -> Vec<(u32, Load, Duration)> {
        let loads = self.standings.values_mut().map(|standing| {
            let cold =
                standing.cold_until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
            (standing.server.hash, standing.own(now), cold)
        });
        loads.filter(|(_, load, cold)| *load != Load::default() || !cold.is_zero()).collect()
    }

    /// The connections that this daemon may have to a backend server.
    pub fn connections(&self, server: &Backend) -> usize {
        let most = self.standings.get(server).map_or(0, |s| s.server.max_connections as usize);
        // A tenth is left for members that others do not know yet.
        (most * 9 / 10 / self.members.len().max(1)).max(1)
    }

    /// Decides where a request goes.
    pub fn place(&mut self, demand: &Demand, now: Instant) -> Verdict {
        let mut usable = self.usable(demand, now);
        let aside = match demand.prompt_tokens {
            0 => 0,
            _ => self.narrow(&mut usable.names, demand, now),
        };
        if usable.names.is_empty() {
            let reason = if usable.cold { Reason::Cold } else { Reason::NoServer };
            return Verdict::Refuse { reason, retry_after: RETRY_LEAST * 2, predicted: None };
        }
        let first_choice =
            demand.subject().and_then(|part| self.first_choice(&usable.names, part.id));
        let pressure = self.pressure(&usable.names, now);
        self.assume_usual_speed(&usable.names);
        let mut best: Option<(Duration, Place)> = None;
        for name in usable.names {
            let Some(standing) = self.standings.get_mut(&name) else { continue };
            let first = first_choice.as_ref() == Some(&name);
            let (cost, predicted, unread) =
                cost(standing, demand, first, pressure, &self.settings.zone, now);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let load = standing.total(now);
                best = Some((cost, Place { server: name, predicted, unread, load, aside }));
            }
        }
        let Some((_, place)) = best else {
            let (reason, retry_after) = (Reason::NoServer, RETRY_LEAST * 2);
            return Verdict::Refuse { reason, retry_after, predicted: None };
        };
        let left = demand.deadline.saturating_duration_since(now).mul_f64(HOPELESS);
        if place.predicted > left {
            let retry_after = (place.predicted - left).max(RETRY_LEAST);
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

    /// The backend servers that may get the request now.
    fn usable(&mut self, demand: &Demand, now: Instant) -> Usable {
        let mut usable = Usable::default();
        for (name, standing) in &mut self.standings {
            let server = &standing.server;
            if server.pool != demand.pool
                || demand.excluded.contains(name)
                || standing.is_avoided(now)
            {
                continue;
            }
            if standing.is_cold(now) {
                let bound = self.settings.cold;
                let own = self.settings.own;
                let learning = now < self.settings.learning_until;
                let share = match learning {
                    true => 0,
                    false => bound.share(server.cold_rate, server.hash, own, &self.members),
                };
                if standing.sends.count(now) >= share {
                    usable.cold = true;
                    continue;
                }
            }
            usable.names.push(name.clone());
        }
        usable
    }

    /// Takes backend servers that were not measured for as fast as the fastest one that was, so that
    /// each gets requests.
    fn assume_usual_speed(&mut self, names: &[Backend]) {
        let measured = names.iter().filter_map(|name| self.standings.get(name));
        let measured = measured.filter(|standing| standing.is_measured);
        let Some(least) = measured.map(|standing| standing.slowness).reduce(f64::min) else {
            return;
        };
        for name in names {
            let standing = self.standings.get_mut(name).filter(|standing| !standing.is_measured);
            if let Some(standing) = standing {
                standing.slowness = least;
            }
        }
    }

    /// The mean time that prompts wait to be read.
    fn pressure(&mut self, names: &[Backend], now: Instant) -> Duration {
        let mut unread = 0.0;
        for name in names {
            let standing = self.standings.get_mut(name);
            unread += standing.map_or(0.0, |standing| f64::from(standing.total(now).unread_tokens));
        }
        model::reading(unread / names.len().max(1) as f64)
    }

    /// Keeps the engines that are for requests like this one, if there is room at one of them.
    fn narrow(&mut self, names: &mut Vec<Backend>, demand: &Demand, now: Instant) -> usize {
        let (mut generating, mut slots) = (0, 1);
        let mut ranked = Vec::with_capacity(names.len());
        for name in names.iter() {
            let Some(standing) = self.standings.get_mut(name) else { continue };
            let load = standing.total(now);
            generating += load.generating;
            slots = standing.server.slots;
            let room = f64::from(load.running) < f64::from(slots) * split::ROOM;
            ranked.push((standing.server.hash, name.clone(), room));
        }
        let engines = ranked.len();
        let split = self.splits.entry(demand.pool.clone()).or_default();
        let aside = split.update(generating, slots, engines, now);
        split::rank(&mut ranked);
        let (generate, read) = ranked.split_at(aside);
        let own = if split::generates(demand) { generate } else { read };
        if own.iter().any(|(.., room)| *room) {
            *names = own.iter().map(|(_, name, _)| name.clone()).collect();
        }
        aside
    }

    fn may_repeat(&mut self, pool: &Pool, now: Instant) -> bool {
        let sharers = self.members.len();
        self.repeats_of(pool).has(sharers, now)
    }

    fn repeats_of(&mut self, pool: &Pool) -> &mut Repeats {
        let bound = self.settings.repeats;
        self.repeats.entry(pool.clone()).or_insert_with(|| Repeats::new(bound))
    }

    fn first_choice(&self, names: &[Backend], part: u64) -> Option<Backend> {
        let hash = |name: &&Backend| self.standings.get(*name).map_or(0, |s| s.server.hash);
        names.iter().max_by_key(|name| affinity::weight(hash(name), part)).cloned()
    }

    /// Takes that a request is sent.
    pub fn sent(&mut self, place: &Place, demand: &Demand, now: Instant) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let repeats = self.repeats_of(&demand.pool);
        if demand.repeat {
            repeats.sent_again(now);
        } else {
            repeats.sent_first(now);
        }
        if let Some(standing) = self.standings.get_mut(&place.server) {
            let run = Run {
                sent: now,
                predicted: place.predicted,
                unread: place.unread,
                held: demand.held_tokens(),
                begun: false,
                generates: split::generates(demand),
            };
            standing.runs.insert(ticket, run);
            standing.sends.add(now);
            standing.remember_parts(demand, now);
        }
        ticket
    }

    /// Takes that the first event of a request came.
    pub fn began(&mut self, at: &Backend, ticket: Ticket, now: Instant) {
        let Some(standing) = self.standings.get_mut(at) else { return };
        let Some(run) = standing.runs.get_mut(&ticket) else { return };
        if run.begun {
            return;
        }
        run.begun = true;
        let (predicted, seen) = (run.predicted, now.duration_since(run.sent));
        standing.failures = 0;
        standing.measured(predicted, seen);
    }

    /// Takes that a request ended.
    pub fn ended(&mut self, at: &Backend, ticket: Ticket, end: End, now: Instant) {
        let Some(standing) = self.standings.get_mut(at) else { return };
        standing.runs.remove(&ticket);
        match end {
            End::Complete => standing.failures = 0,
            End::Abandoned => {}
            End::Rejected => standing.avoid_until = Some(now + FULL_AVOIDED),
            End::Broken | End::Unreachable => {
                let factor = 1 << standing.failures.min(4);
                standing.failures += 1;
                standing.avoid_until = Some(now + (AVOIDED_FIRST * factor).min(AVOIDED_MOST));
            }
        }
    }

    /// One line for each backend server, for logs.
    pub fn summary(&mut self, now: Instant) -> Vec<CompactString> {
        let lines = self.standings.values_mut().map(|standing| {
            let load = standing.total(now);
            compact_str::format_compact!(
                "{} running={} unread={} sent={} slowness={:.2} cold={} avoided={}",
                standing.server.name,
                load.running,
                load.unread_tokens,
                load.sent,
                standing.slowness,
                standing.is_cold(now),
                standing.is_avoided(now)
            )
        });
        lines.collect()
    }
}

/// The cost of a place, the predicted time to the first event, and the tokens to read.
fn cost(
    standing: &mut Standing,
    demand: &Demand,
    first_choice: bool,
    pressure: Duration,
    zone: &Zone,
    now: Instant,
) -> (Duration, Duration, u32) {
    let load = standing.total(now);
    let far = if standing.server.zone == *zone { Duration::ZERO } else { ZONE_PREFERENCE };
    let Some(cache_tokens) = standing.server.cache_tokens else {
        return service_cost(standing, load, far);
    };
    let unread = standing.unread(demand, first_choice, now);
    let predicted = standing.queue(load).first_event(f64::from(unread));
    // Reading what is cached elsewhere takes time from all requests there, not only from this one.
    let shared = unread.saturating_sub(demand.own_tokens());
    let weight = READ_AGAIN_WEIGHT + READ_AGAIN_PRESSURE * pressure.as_secs_f64();
    let again = model::reading(f64::from(shared)).mul_f64(weight);
    let held = u64::from(load.held_tokens) + u64::from(demand.held_tokens());
    // A request that does not fit into memory preempts another one or waits for it.
    let full = if held > cache_tokens { model::reading(held as f64) } else { Duration::ZERO };
    (predicted + again + far + full, predicted + full, unread)
}

/// A plain service runs one request in each slot and queues the rest.
fn service_cost(standing: &Standing, load: Load, far: Duration) -> (Duration, Duration, u32) {
    let slots = f64::from(standing.server.slots.max(1));
    let filled = f64::from(load.running) / slots;
    let predicted = Duration::from_secs_f64(0.02 * standing.slowness * (1.0 + filled));
    let over = if filled > FILL { Duration::from_secs(1) } else { Duration::ZERO };
    let turn = TURN * load.sent;
    (predicted + far + turn + over, predicted + over, 0)
}
