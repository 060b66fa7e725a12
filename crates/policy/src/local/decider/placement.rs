//! Chooses the backend server for a request.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use hyssop_document::name::{Backend, Zone};

use super::{
    Decider, Decision, MIN_RETRY_AFTER, Placement, Reason, connection_share, overdue_after,
};
use crate::local::{
    affinity,
    demand::Demand,
    latency::{self, Model},
    reservation,
    server::{Load, State as ServerState},
};

/// Added to the cost of a backend server in another zone, because traffic between zones is charged.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(4);
/// The fraction of the time left before the deadline after which a first event is of no use.
const USABLE_TIME_RATIO: f64 = 0.85;
/// The multiple of its target within which a first event must be predicted. Under overload a late
/// request delays the requests after it too, while a refused request can be served when the load is
/// lower.
const MAX_TARGET_RATIO: f64 = 1.4;
/// The same multiple while less urgent requests arrive too. These are refused first, and engines
/// admit the more urgent ones before them.
const MAX_URGENT_TARGET_RATIO: f64 = 2.8;
/// The same multiple for the targets of more urgent requests, within which an engine must still serve
/// these after a less urgent one. Smaller, as their queues grow between two heartbeats.
const MORE_URGENT_TARGET_RATIO: f64 = 0.7;
/// The maximum random extension of a retry time, as a fraction: callers must not return together.
const RETRY_JITTER_RATIO: f64 = 0.5;
/// Added to the cost of a plain service for each recent send, so that equal servers take turns.
const RECENT_SEND_PENALTY: Duration = Duration::from_millis(1);
/// The cost of a repeated prefill, for a shared segment that is cached elsewhere, as a multiple of
/// its duration.
const REPEATED_PREFILL_WEIGHT: f64 = 3.0;
/// How much [`REPEATED_PREFILL_WEIGHT`] grows for each second that prompts wait for prefill. When
/// all engines are behind, a repeated prefill only adds work, and the queue that it avoids grows at
/// every engine.
const REPEATED_PREFILL_WEIGHT_PER_S: f64 = 30.0;
/// The part of [`REPEATED_PREFILL_WEIGHT_PER_S`] that applies to a segment which is fetched from
/// another engine's cache instead. A fetch costs little by itself, but prefixes that move often are
/// no longer cached where daemons expect them.
const FETCH_RATIO: f64 = 0.5;
/// The maximum number of engines that may cache one shared prefix.
const MAX_CACHE_CHOICES: usize = 4;
/// The number of members above which [`REPEATED_PREFILL_WEIGHT_PER_S`] is scaled up with their
/// number. The more daemons place requests, the less each has observed of the others' requests, and
/// a queue that looks shorter often is not.
const SMALL_FLEET_MEMBERS: f64 = 9.0;
/// The maximum fraction of the candidates that is excluded because of overdue requests. One rack,
/// or the servers with a faulty release, are about 15 %.
const MAX_OVERDUE_RATIO: f64 = 0.2;
/// Running requests per slot up to which daemons fill the queue of a plain service. The rest of the
/// queue absorbs requests that they have not observed yet.
const MAX_QUEUE_FILL: f64 = 2.5;

/// A backend server that may get a request.
#[derive(Debug)]
struct Candidate {
    name: Backend,
    hash: u32,
    slots: u32,
    /// Whether the first event of a request of this daemon is overdue.
    overdue: bool,
    /// The load of all daemons.
    load: Load,
    /// Whether other daemons can't reach it.
    unreachable: bool,
    /// Whether the engine is reserved for decode-heavy requests.
    reserved: bool,
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
    /// Whether some are left out because they are cold, and this daemon's share is used.
    cold_share_used: bool,
    /// Whether some are left out because this daemon's connections to them are all in use.
    connections_used: bool,
}

impl Selection {
    /// The reason to refuse a request without candidates.
    fn refusal(&self) -> Reason {
        if self.connections_used {
            Reason::Connections
        } else if self.cold_share_used {
            Reason::Cold
        } else {
            Reason::NoServer
        }
    }
}

impl Decider {
    /// Chooses a backend server for a request, or refuses the request. A send must be reported with
    /// [`Self::record_sent`].
    pub fn place_request(&mut self, demand: &Demand, now: Instant) -> Decision {
        let mut selection = self.select(demand, now);
        let partition = match demand.prompt_tokens {
            0 => Partition::default(),
            _ => {
                self.kinds.entry(demand.pool.clone()).or_default().record(demand, now);
                self.apply_reservation(&mut selection.candidates, demand, now)
            }
        };
        if selection.candidates.is_empty() {
            return Decision::Refuse {
                reason: selection.refusal(),
                retry_after: MIN_RETRY_AFTER * 2,
                predicted: None,
            };
        }
        let mut placement = match self.cheapest(&selection.candidates, partition, demand, now) {
            Ok(placement) => placement,
            Err(Overload { excess, predicted }) => {
                let retry_after = excess.max(MIN_RETRY_AFTER).mul_f64(self.retry_jitter());
                let predicted = Some(predicted);
                return Decision::Refuse { reason: Reason::Overload, retry_after, predicted };
            }
        };
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

    /// The engine from which `server` fetches the shared prefix of a request.
    fn cache_source(
        &self,
        server: &Backend,
        candidates: &[Candidate],
        demand: &Demand,
        now: Instant,
    ) -> Option<Backend> {
        let server = &self.servers.get(server)?.server;
        server.fetch_tokens_per_ms?;
        let first_choice = first_choice(candidates, demand);
        let [home, second_home] = self.homes(demand, now);
        // The first choice itself may lack the prefix: its home is reserved for other requests or
        // avoided now, or another engine stood in while this one was out of service.
        let sources = [first_choice, home, second_home];
        let source = sources.into_iter().flatten().find(|&hash| hash != server.hash)?;
        self.by_hash.get(&source).cloned()
    }

    /// The hashes of the two engines where the shared prefix is cached first, among all that can be
    /// reached, whether they may get this request or not.
    fn homes(&self, demand: &Demand, now: Instant) -> [Option<u32>; 2] {
        let Some(prefix) = demand.shared_prefix() else { return [None, None] };
        let mut homes = [None, None];
        for state in self.servers.values() {
            if state.server.pool != demand.pool || state.may_be_down(now) {
                continue;
            }
            let hash = state.server.hash;
            let home = Some((affinity::weight(hash, prefix.id), hash));
            if home > homes[0] {
                homes = [home, homes[0]];
            } else if home > homes[1] {
                homes[1] = home;
            }
        }
        homes.map(|home| home.map(|(_, hash)| hash))
    }

    /// A factor from 1 to 1 + [`RETRY_JITTER_RATIO`] that differs in each call.
    fn retry_jitter(&mut self) -> f64 {
        self.refusals += 1;
        let drawn = affinity::weight(self.settings.own_hash, self.refusals) >> 11;
        1.0 + RETRY_JITTER_RATIO * drawn as f64 / (1_u64 << 53) as f64
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
        let kinds = self.kinds.get(&demand.pool);
        let more_urgent = match kinds {
            Some(kinds) if !demand.may_have_run => kinds.more_urgent(demand, now),
            _ => Vec::new(),
        };
        let has_less_urgent = kinds.is_some_and(|kinds| kinds.has_less_urgent(demand, now));
        let bound = latest_first_event(demand, has_less_urgent, now);
        let first_choice = first_choice(candidates, demand);
        let model = self.model(demand);
        let context = Context {
            demand,
            zone: &self.settings.zone,
            prefill_wait: model.prefill_time(mean_pending_tokens(candidates)),
            model,
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
            let backlog = state.backlog(*load);
            let affected =
                more_urgent.iter().filter(|kind| partition.allows(kind.decode_heavy, *reserved));
            let excess = affected
                .map(|kind| {
                    let first_event = model.time_to_first_event(&backlog, kind.prefill_tokens);
                    first_event.saturating_sub(kind.target.mul_f64(MORE_URGENT_TARGET_RATIO))
                })
                .fold(predicted.saturating_sub(bound), Duration::max);
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

    /// The backend servers that may get the request now.
    fn select(&mut self, demand: &Demand, now: Instant) -> Selection {
        let mut selection = Selection::default();
        // Used only if all other backend servers are avoided too: a backend server that fails some
        // of its requests still responds to most of them.
        let mut fallback = Vec::new();
        for (name, state) in &mut self.servers {
            let server = &state.server;
            if server.pool != demand.pool || demand.excluded.contains(name) {
                continue;
            }
            let avoided = state.is_avoided(now);
            if avoided && !state.is_fallback() {
                continue;
            }
            let limit = connection_share(server.max_connections, self.members.len());
            if state.requests.len() >= limit {
                selection.connections_used = true;
                continue;
            }
            if state.is_cold(now) {
                let bound = self.settings.cold;
                let own_hash = self.settings.own_hash;
                let share = match self.converged {
                    true => bound.share(server.cold_rate, server.hash, own_hash, &self.members),
                    false => 0,
                };
                if state.sends.count(now) >= share {
                    selection.cold_share_used = true;
                    continue;
                }
            }
            let (hash, slots) = (server.hash, server.slots);
            let load = state.own_load(now).wrapping_add(self.peer_loads.load(hash));
            let candidates = if avoided { &mut fallback } else { &mut selection.candidates };
            let (overdue, unreachable) =
                (state.is_overdue(now), state.is_reported_unreachable(load, now));
            candidates.push(Candidate {
                name: name.clone(),
                hash,
                slots,
                overdue,
                unreachable,
                load,
                reserved: false,
            });
        }
        if selection.candidates.is_empty() {
            selection.candidates = fallback;
        }
        exclude_unreachable(&mut selection.candidates);
        exclude_overdue(&mut selection.candidates);
        selection
    }

    /// Keeps only the engines for requests of this kind, if one of them has room.
    fn apply_reservation(
        &mut self,
        engines: &mut Vec<Candidate>,
        demand: &Demand,
        now: Instant,
    ) -> Partition {
        let decode_heavy = engines.iter().map(|engine| engine.load.decode_heavy);
        let decode_heavy = decode_heavy.fold(0, u32::saturating_add);
        let slots = engines.last().map_or(1, |engine| engine.slots);
        let reservation = self.reservations.entry(demand.pool.clone()).or_default();
        let reserved = reservation.update(decode_heavy, slots, engines.len(), now);
        engines.sort_by_cached_key(|engine| reservation::rank(engine.hash));
        let matching = if reservation::is_decode_heavy(demand) {
            0..reserved
        } else {
            reserved..engines.len()
        };
        engines[..reserved].iter_mut().for_each(|engine| engine.reserved = true);
        let partition = Partition {
            reserved,
            reserved_has_room: engines[..reserved].iter().any(Candidate::has_room),
            unreserved_has_room: engines[reserved..].iter().any(Candidate::has_room),
        };
        if engines[matching.clone()].iter().any(Candidate::has_room) {
            engines.truncate(matching.end);
            engines.drain(..matching.start);
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

/// The hash of the backend server at which all daemons expect the shared prefix to be cached.
fn first_choice(candidates: &[Candidate], demand: &Demand) -> Option<u32> {
    let prefix = demand.shared_prefix()?.id;
    let hashes = candidates.iter().map(|candidate| candidate.hash);
    hashes.max_by_key(|&hash| affinity::weight(hash, prefix))
}

/// The hashes of the candidates that may cache the shared prefix of a prefill-heavy request.
///
/// For bursts that exceed what engines can prefill: if a prefix could move to any engine, daemons
/// with different views would have it prefilled at many of them.
fn cache_choices(candidates: &[Candidate], demand: &Demand) -> Option<Vec<u32>> {
    let prefix = demand.shared_prefix()?;
    if demand.may_have_run || reservation::is_decode_heavy(demand) {
        return None;
    }
    let mut hashes: Vec<u32> = candidates.iter().map(|candidate| candidate.hash).collect();
    hashes.sort_by_cached_key(|&hash| Reverse(affinity::weight(hash, prefix.id)));
    hashes.truncate(MAX_CACHE_CHOICES);
    Some(hashes)
}

/// The maximum time to the first event for which a request is sent: before the caller gives up and,
/// for a model engine, not long after the target.
fn latest_first_event(demand: &Demand, has_less_urgent: bool, now: Instant) -> Duration {
    let ratio = if has_less_urgent { MAX_URGENT_TARGET_RATIO } else { MAX_TARGET_RATIO };
    let usable = demand.deadline.saturating_duration_since(now).mul_f64(USABLE_TIME_RATIO);
    match demand.prompt_tokens {
        0 => usable,
        _ if demand.may_have_run => usable,
        _ => usable.min(demand.target.mul_f64(ratio)),
    }
}

/// No candidate serves a request and the more urgent ones in time.
struct Overload {
    /// By how much the best candidate misses a bound.
    excess: Duration,
    /// The shortest predicted time to the first event.
    predicted: Duration,
}

/// The inputs of the cost that are the same for all candidates of one request.
struct Context<'a> {
    demand: &'a Demand,
    /// The daemon's zone.
    zone: &'a Zone,
    /// The mean time that prompts wait for prefill.
    prefill_wait: Duration,
    model: Model,
    /// How incomplete the observed load of other daemons is: 1 in a small fleet, else more.
    staleness: f64,
    now: Instant,
}

/// What placing a request at a candidate costs.
struct Cost {
    cost: Duration,
    /// The predicted time to the first event.
    predicted: Duration,
    /// The prompt tokens to prefill.
    uncached_tokens: u32,
}

fn cost(state: &ServerState, load: Load, is_first_choice: bool, context: &Context<'_>) -> Cost {
    let &Context { demand, zone, prefill_wait, model, staleness, now } = context;
    let zone_penalty = if state.server.zone == *zone { Duration::ZERO } else { CROSS_ZONE_PENALTY };
    let Some(cache_tokens) = state.server.cache_tokens else {
        return service_cost(state, load, zone_penalty, model);
    };
    let cached_here = state.uncached_tokens(demand, is_first_choice, now);
    let (uncached, fetched) = match state.server.fetch_tokens_per_ms {
        Some(_) => {
            let uncached = state.uncached_tokens(demand, true, now);
            (uncached, cached_here.saturating_sub(uncached))
        }
        None => (cached_here, 0),
    };
    let fetch_time = latency::transfer_time(
        f64::from(fetched),
        state.server.fetch_tokens_per_ms.unwrap_or(f64::INFINITY),
    );
    let predicted =
        fetch_time + model.time_to_first_event(&state.backlog(load), f64::from(uncached));
    // A repeated prefill delays all requests of that engine, not only this one.
    let repeated = uncached.saturating_sub(demand.unshared_tokens());
    let wait_weight = REPEATED_PREFILL_WEIGHT_PER_S * staleness * prefill_wait.as_secs_f64();
    let repeated_prefill =
        model.prefill_time(f64::from(repeated)).mul_f64(REPEATED_PREFILL_WEIGHT + wait_weight)
            + model
                .prefill_time(f64::from(fetched))
                .mul_f64(REPEATED_PREFILL_WEIGHT + FETCH_RATIO * wait_weight);
    let held = u64::from(load.held_tokens) + u64::from(demand.held_tokens());
    // A request that does not fit into memory preempts another one or waits for it.
    let memory_wait =
        if held > cache_tokens { model.prefill_time(held as f64) } else { Duration::ZERO };
    Cost {
        cost: predicted + repeated_prefill + zone_penalty + memory_wait,
        predicted: predicted + memory_wait,
        uncached_tokens: uncached,
    }
}

/// The same figures as [`cost`] for a plain service, which runs one request in each slot and queues
/// the rest.
fn service_cost(state: &ServerState, load: Load, zone_penalty: Duration, model: Model) -> Cost {
    let slots = f64::from(state.server.slots.max(1));
    let fill = f64::from(load.running) / slots;
    let predicted = model.service_time(fill, state.slowness());
    let overflow = if fill > MAX_QUEUE_FILL { Duration::from_secs(1) } else { Duration::ZERO };
    let send_penalty = RECENT_SEND_PENALTY * load.recent_sends;
    Cost {
        cost: predicted + zone_penalty + send_penalty + overflow,
        predicted: predicted + overflow,
        uncached_tokens: 0,
    }
}
