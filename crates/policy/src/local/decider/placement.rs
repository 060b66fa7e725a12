//! Chooses the backend server for a request.

use std::time::{Duration, Instant};

use hyssop_document::name::Backend;

use super::{
    Decider, Decision, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Placement, Reason,
    cost::{Context, Cost, SMALL_FLEET_MEMBERS, cost},
    eligibility::{Eligible, Obstacle, Rules},
    overdue_after,
    prefix::{cache_choices, first_choice},
};
use crate::local::{
    affinity,
    demand::Demand,
    holders::Holders,
    latency::{Backlog, Model},
    reservation,
    server::{Load, State as ServerState},
    urgency::{Kind, Kinds},
};

/// The fraction of the time left before the deadline after which a first event is of no use.
const USABLE_TIME_RATIO: f64 = 0.85;
/// The multiple of its target within which a first event must be predicted. Under overload a late
/// request delays the requests after it too, while a refused request can be served when the load is
/// lower.
const MAX_TARGET_RATIO: f64 = 1.4;
/// The same multiple while less urgent requests arrive too. These are refused first, and engines
/// admit the more urgent ones before them.
const MAX_URGENT_TARGET_RATIO: f64 = 2.8;
/// The multiple of the targets of more urgent requests within which an engine must still serve these
/// after a less urgent one. Smaller, as their queues grow between two heartbeats.
const MORE_URGENT_TARGET_RATIO: f64 = 0.7;
/// The maximum random extension of a retry time, as a fraction: callers must not return together.
const RETRY_JITTER_RATIO: f64 = 0.5;
/// The maximum fraction of the candidates that is excluded because of overdue requests. One rack,
/// or the servers with a faulty release, are about 15 %.
const MAX_OVERDUE_RATIO: f64 = 0.2;

/// A backend server that may get a request.
#[derive(Debug)]
pub(super) struct Candidate {
    name: Backend,
    pub(super) hash: u32,
    slots: u32,
    /// Whether the first event of a request of this daemon is overdue.
    overdue: bool,
    /// The load of all daemons.
    load: Load,
    /// Whether other daemons can't reach it.
    unreachable: bool,
    /// Whether the engine is reserved for decode-heavy requests.
    reserved: bool,
    /// Whether its build may get the request.
    of_build: bool,
}

impl Candidate {
    fn has_room(&self) -> bool {
        f64::from(self.load.running) < f64::from(self.slots) * reservation::MAX_FILL_RATIO
    }
}

/// How engines are divided between decode-heavy and other requests.
#[derive(Debug, Clone, Copy, Default)]
struct Partition {
    /// The number of engines reserved for decode-heavy requests.
    reserved: usize,
    /// Whether a reserved engine has room.
    reserved_has_room: bool,
    /// Whether one of the other engines has room.
    unreserved_has_room: bool,
}

impl Partition {
    /// Whether requests of a kind may use an engine. They spill over if theirs have no room.
    fn allows(&self, decode_heavy: bool, engine_is_reserved: bool) -> bool {
        let has_room = if decode_heavy { self.reserved_has_room } else { self.unreserved_has_room };
        decode_heavy == engine_is_reserved || !has_room
    }
}

/// The backend servers that may get a request, and why others may not.
#[derive(Debug, Default)]
struct Selection {
    candidates: Vec<Candidate>,
    /// Whether the pool has backend servers, but none of the build that began the stream.
    other_builds_only: bool,
    /// What keeps the request from the other backend servers whose build may get it.
    obstacles: Vec<Obstacle>,
}

impl Selection {
    /// The reason to refuse a request without candidates, and when that ends, if it is known.
    fn refusal(&self) -> (Reason, Option<Instant>) {
        let obstacles = || self.obstacles.iter().copied();
        let is_any = |obstacle| obstacles().any(|other| other == obstacle);
        let paused = obstacles().filter_map(|obstacle| match obstacle {
            Obstacle::Paused(until) => Some(until),
            _ => None,
        });
        let limited = obstacles().filter_map(|obstacle| match obstacle {
            Obstacle::Limited(until) => Some(until),
            _ => None,
        });
        if is_any(Obstacle::Connections) {
            (Reason::Connections, None)
        } else if is_any(Obstacle::Cold) {
            (Reason::Cold, None)
        } else if limited.clone().next().is_some() {
            (Reason::Limited, limited.flatten().min())
        } else if let Some(until) = paused.min() {
            (Reason::Paused, Some(until))
        } else if self.other_builds_only {
            (Reason::OtherBuild, None)
        } else {
            (Reason::NoServer, None)
        }
    }
}

impl Decider {
    /// Chooses a backend server for a request, or refuses the request. A send must be reported with
    /// [`Self::record_sent`].
    pub fn place_request(&mut self, demand: &Demand, now: Instant) -> Decision {
        let mut selection = self.select(demand, now);
        let partition = match demand.prompt_tokens {
            0 => {
                selection.candidates.retain(|candidate| candidate.of_build);
                Partition::default()
            }
            _ => {
                self.kinds.entry(demand.pool.clone()).or_default().record(demand, now);
                self.apply_reservation(&mut selection.candidates, demand, now)
            }
        };
        if selection.candidates.is_empty() {
            let (reason, until) = selection.refusal();
            let retry_after = match until {
                Some(until) => {
                    let left = until.saturating_duration_since(now);
                    let left = left.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                    left.mul_f64(self.retry_jitter())
                }
                None => MIN_RETRY_AFTER * 2,
            };
            return Decision::Refuse { reason, retry_after, predicted: None };
        }
        let mut placement = match self.cheapest(&selection.candidates, partition, demand, now) {
            Ok(placement) => placement,
            Err(Overload { excess, predicted }) => {
                let retry_after = self.return_time(demand, excess, now);
                let predicted = Some(predicted);
                return Decision::Refuse { reason: Reason::Overload, retry_after, predicted };
            }
        };
        if let Some(refusal) = self.refusal(demand, &placement, now) {
            return refusal;
        }
        if demand.is_repeat && !self.may_repeat(&demand.pool, now) {
            let predicted = Some(placement.predicted);
            return Decision::Refuse {
                reason: Reason::Repeats,
                retry_after: MIN_RETRY_AFTER,
                predicted,
            };
        }
        placement.cache_source =
            self.cache_source(&placement.server, &selection.candidates, demand, now);
        Decision::Send(placement)
    }

    /// A factor from 1 to 1 + [`RETRY_JITTER_RATIO`] that differs in each call.
    pub(super) fn retry_jitter(&mut self) -> f64 {
        1.0 + RETRY_JITTER_RATIO * self.draw()
    }

    /// A number from 0 to 1 that differs in each call.
    pub(super) fn draw(&mut self) -> f64 {
        self.refusals += 1;
        let drawn = affinity::weight(self.settings.own_hash, self.refusals) >> 11;
        drawn as f64 / (1_u64 << 53) as f64
    }

    /// The candidate with the least cost among those that serve the request and more urgent ones in
    /// time.
    fn cheapest(
        &mut self,
        candidates: &[Candidate],
        partition: Partition,
        demand: &Demand,
        now: Instant,
    ) -> Result<Placement, Overload> {
        let limits = Limits::new(self.kinds.get(&demand.pool), partition, demand, now);
        let first_choice = first_choice(candidates, demand);
        let model = self.model(demand);
        let measured = candidates.iter().filter_map(|candidate| self.servers.get(&candidate.name));
        let measured = measured.filter(|state| state.is_measured()).map(ServerState::slowness);
        let least_slowness = measured.fold(1.0, f64::min);
        let context = Context {
            demand,
            zone: &self.settings.zone,
            prefill_wait: model.prefill_time(mean_pending_tokens(candidates)),
            model,
            least_slowness,
            staleness: (self.members.len() as f64 / SMALL_FLEET_MEMBERS).max(1.0),
            now,
        };
        let mut best: Option<(Duration, Placement)> = None;
        let mut overload = Overload { excess: Duration::MAX, predicted: Duration::MAX };
        let choices = cache_choices(candidates, demand);
        let is_choice = |hash| choices.as_ref().is_none_or(|choices| choices.contains(&hash));
        let candidates = candidates.iter().filter(|candidate| is_choice(candidate.hash));
        for Candidate { name, hash, load, reserved, .. } in candidates {
            let Some(state) = self.servers.get(name) else { continue };
            let is_first_choice = first_choice == Some(*hash);
            let Cost { cost, predicted, uncached_tokens } =
                cost(state, *load, is_first_choice, &context);
            let excess = limits.excess(predicted, &model, &state.backlog(*load), *reserved);
            if !excess.is_zero() {
                overload.excess = overload.excess.min(excess);
                overload.predicted = overload.predicted.min(predicted);
                continue;
            }
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let placement = Placement {
                    server: name.clone(),
                    predicted,
                    overdue_after: overdue_after(predicted, demand),
                    uncached_tokens,
                    cache_source: None,
                    load: *load,
                    reserved_engines: partition.reserved,
                };
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement).ok_or(overload)
    }

    /// The backend servers that may get the request now, and those of other builds that may get
    /// requests like it.
    fn select(&mut self, demand: &Demand, now: Instant) -> Selection {
        let mut selection = Selection::default();
        // Used only if all other backend servers are avoided too: a backend server that fails some
        // of its requests still responds to most of them.
        let mut fallback = Vec::new();
        let mut rules = Rules {
            notices: &self.notices,
            limits: &mut self.limits,
            holders: Holders {
                own: self.settings.own_hash,
                members: &self.members,
                converged: self.converged,
            },
            cold: self.settings.cold,
        };
        let (mut servers, mut servers_of_build) = (0, 0);
        for (name, state) in &mut self.servers {
            if state.server.pool != demand.pool {
                continue;
            }
            let of_build = demand.build.as_ref().is_none_or(|build| *build == state.server.build);
            servers += 1;
            servers_of_build += usize::from(of_build);
            let candidates = match rules.check(state, demand, now) {
                Ok(Eligible::Yes) => &mut selection.candidates,
                Ok(Eligible::Fallback) => &mut fallback,
                Err(obstacle) => {
                    selection.obstacles.extend(of_build.then_some(obstacle));
                    continue;
                }
            };
            let (hash, slots) = (state.server.hash, state.server.slots);
            let load = state.own_load(now).wrapping_add(self.peer_loads.load(hash));
            candidates.push(Candidate {
                name: name.clone(),
                hash,
                slots,
                overdue: state.is_overdue(now),
                unreachable: state.is_reported_unreachable(load, now),
                load,
                reserved: false,
                of_build,
            });
        }
        selection.other_builds_only = servers > 0 && servers_of_build == 0;
        if !selection.candidates.iter().any(|candidate| candidate.of_build) {
            selection.candidates.append(&mut fallback);
        }
        exclude_unreachable(&mut selection.candidates);
        exclude_overdue(&mut selection.candidates);
        selection
    }

    /// Keeps only the engines whose build may get the request, and of these only the engines for
    /// requests of this kind, if one of them has room.
    fn apply_reservation(
        &mut self,
        engines: &mut Vec<Candidate>,
        demand: &Demand,
        now: Instant,
    ) -> Partition {
        let decode_heavy = engines.iter().map(|engine| engine.load.decode_heavy);
        let decode_heavy = decode_heavy.fold(0, u32::saturating_add);
        let slots = engines.last().map_or(1, |engine| engine.slots);
        let prefill_wait = self.model(demand).prefill_time(mean_pending_tokens(engines));
        let reservation = self.reservations.entry(demand.pool.clone()).or_default();
        let reserved = reservation.update(decode_heavy, slots, engines.len(), prefill_wait, now);
        engines.sort_by_cached_key(|engine| reservation::rank(engine.hash));
        engines[..reserved].iter_mut().for_each(|engine| engine.reserved = true);
        let partition = Partition {
            reserved,
            reserved_has_room: engines[..reserved].iter().any(Candidate::has_room),
            unreserved_has_room: engines[reserved..].iter().any(Candidate::has_room),
        };
        engines.retain(|engine| engine.of_build);
        let decode_heavy = reservation::is_decode_heavy(demand);
        if engines.iter().any(|engine| engine.reserved == decode_heavy && engine.has_room()) {
            engines.retain(|engine| engine.reserved == decode_heavy);
        }
        partition
    }
}

/// Excludes backend servers that other daemons can't reach, as long as they are the minority.
///
/// For crashes of many backend servers at once: each daemon would otherwise find out by itself. If
/// most are reported, the peers that report them are cut off, and not the backend servers.
fn exclude_unreachable(candidates: &mut Vec<Candidate>) {
    let unreachable = candidates.iter().filter(|candidate| candidate.unreachable).count();
    if unreachable * 2 < candidates.len() {
        candidates.retain(|candidate| !candidate.unreachable);
    }
}

/// Excludes backend servers with overdue requests, as long as they are few.
///
/// For engines that don't respond to some of their requests while their health checks pass. If many
/// are overdue, load is the cause, and excluding them would overload the others.
fn exclude_overdue(candidates: &mut Vec<Candidate>) {
    let overdue = candidates.iter().filter(|candidate| candidate.overdue).count();
    let limit = (candidates.len() as f64 * MAX_OVERDUE_RATIO).max(1.0);
    if overdue < candidates.len() && overdue as f64 <= limit {
        candidates.retain(|candidate| !candidate.overdue);
    }
}

/// The mean number of prompt tokens that wait for prefill at one of the candidates.
fn mean_pending_tokens(candidates: &[Candidate]) -> f64 {
    let pending: f64 = candidates.iter().map(|c| f64::from(c.load.pending_tokens)).sum();
    pending / candidates.len().max(1) as f64
}

/// The maximum time to the first event for which a request is sent: before the caller gives up and,
/// for a model engine, not long after the target.
fn latest_first_event(demand: &Demand, has_less_urgent: bool, now: Instant) -> Duration {
    let ratio = if has_less_urgent { MAX_URGENT_TARGET_RATIO } else { MAX_TARGET_RATIO };
    let usable = demand.deadline.saturating_duration_since(now).mul_f64(USABLE_TIME_RATIO);
    match demand.prompt_tokens {
        0 => usable,
        _ if demand.has_begun() => usable,
        _ => usable.min(demand.target.mul_f64(ratio)),
    }
}

/// The times within which engines must be able to serve a request, and more urgent ones after it.
struct Limits {
    /// The maximum predicted time to the first event of the request.
    first_event: Duration,
    /// The more urgent kinds of requests that still have to be served in time.
    more_urgent: Vec<Kind>,
    partition: Partition,
}

impl Limits {
    /// The limits of a request. One that has begun is not refused for the sake of others.
    fn new(kinds: Option<&Kinds>, partition: Partition, demand: &Demand, now: Instant) -> Self {
        let more_urgent = match kinds {
            Some(kinds) if !demand.has_begun() => kinds.more_urgent(demand, now),
            _ => Vec::new(),
        };
        let has_less_urgent = kinds.is_some_and(|kinds| kinds.has_less_urgent(demand, now));
        let first_event = latest_first_event(demand, has_less_urgent, now);
        Self { first_event, more_urgent, partition }
    }

    /// By how much the first event of the request, or of a more urgent one after it, would be too
    /// late at an engine. Zero if all are in time.
    fn excess(
        &self,
        predicted: Duration,
        model: &Model,
        backlog: &Backlog,
        engine_is_reserved: bool,
    ) -> Duration {
        let users = self
            .more_urgent
            .iter()
            .filter(|kind| self.partition.allows(kind.is_decode_heavy(), engine_is_reserved));
        let excesses = users.map(|kind| {
            let spills_over = kind.is_decode_heavy() != engine_is_reserved;
            let ratio = if spills_over { MAX_TARGET_RATIO } else { MORE_URGENT_TARGET_RATIO };
            let first_event = model.time_to_first_event(backlog, kind.prefill_tokens);
            first_event.saturating_sub(kind.target.mul_f64(ratio))
        });
        excesses.fold(predicted.saturating_sub(self.first_event), Duration::max)
    }
}

/// No candidate serves a request and the more urgent ones in time.
struct Overload {
    /// By how much the best candidate misses a bound.
    excess: Duration,
    /// The shortest predicted time to the first event.
    predicted: Duration,
}
