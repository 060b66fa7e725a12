//! Simulates daemons and engines, where each daemon has a delayed view of the other daemons' load.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_document::{
    build::Build,
    name::{Backend, Pool, Zone},
};
use hyssop_policy::local::{
    admission::shares::Report,
    cold,
    decider::{Decider, Decision, End, Settings},
    holders::Membership,
    latency::Model,
    peer_loads::PeerLoads,
    repeats,
    server::{Load, SendId, Server},
    speed,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{
    engine::{self, Engine, Event},
    pattern::{Noise, Pattern, Request, requests},
    policy::Policy,
};

/// The time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Heartbeat intervals within a zone and between zones, each for fleets of up to 16 daemons and for
/// larger ones.
const SAME_ZONE_HEARTBEAT_MS: [u64; 2] = [100, 150];
const CROSS_ZONE_HEARTBEAT_MS: [u64; 2] = [200, 500];
/// The time from the send of a heartbeat to its arrival.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(5);
/// The number of engines that a daemon tries for one request.
const MAX_ATTEMPTS: usize = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Outcome {
    InTime,
    Late,
    Refused,
    Failed,
}

/// The result of one request.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) request: Request,
    pub(crate) outcome: Outcome,
    /// The time from the caller's first try to the first event.
    pub(crate) first: Option<Duration>,
    /// The predicted and the actual time from the send to an engine to the first event.
    pub(crate) predicted: Option<(Duration, Duration)>,
    /// The engine that sent the first event.
    pub(crate) engine: Option<usize>,
    /// When the request was sent to that engine.
    pub(crate) sent: Duration,
}

/// The result of one run.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) records: Vec<Record>,
    /// Prompt tokens prefilled by all engines.
    pub(crate) prefilled_tokens: u64,
    pub(crate) rejections: u64,
    /// What the busiest engine of each second gets, as a multiple of its part of the capacity.
    pub(crate) busiest_load: f64,
}

struct Daemon {
    decider: Decider,
    zone: usize,
    /// The loads that the decider has too, for policies that do not use the decider.
    peer_loads: PeerLoads,
    address: IpAddr,
}

struct InFlight {
    daemon: usize,
    engine: usize,
    send_id: SendId,
    sent: Duration,
    predicted: Duration,
}

struct Heartbeat {
    arrives: Duration,
    from: usize,
    to: usize,
    loads: Vec<(u32, Load, Duration)>,
    speeds: Vec<(u32, speed::Report)>,
    models: Vec<(u32, [f64; Model::PARAMETERS])>,
    shortages: Vec<Report>,
}

struct Simulation<'a> {
    pattern: &'a Pattern,
    policy: Policy,
    start: Instant,
    random: StdRng,
    engines: Vec<Engine>,
    servers: Vec<Server>,
    down: Vec<bool>,
    daemons: Vec<Daemon>,
    heartbeats: Vec<Heartbeat>,
    in_flight: BTreeMap<usize, InFlight>,
    records: Vec<Record>,
    /// Requests to come, by time and index, and whether it is the first try of the caller.
    arrivals: BTreeMap<(Duration, usize), bool>,
    rejections: u64,
}

/// Runs a pattern under a policy.
pub(crate) fn run(pattern: &Pattern, policy: Policy, seed: u64) -> Run {
    let mut random = StdRng::seed_from_u64(seed);
    let requests = requests(pattern, &mut random);
    let mut simulation = Simulation::new(pattern, policy, requests, random);
    let end = Duration::from_secs_f64(pattern.duration_s) + Duration::from_secs(12);
    let mut now = Duration::ZERO;
    while now < end {
        simulation.step(now);
        now += STEP;
    }
    Run {
        busiest_load: engine::busiest_load(&simulation.engines),
        prefilled_tokens: simulation.engines.iter().map(|engine| engine.prefilled_tokens).sum(),
        records: simulation.records,
        rejections: simulation.rejections,
    }
}

fn server(index: usize, pattern: &Pattern) -> Server {
    let name = format!("engine-{index}");
    Server {
        // FNV-1a, as daemons hash names.
        hash: name.bytes().fold(0x811c_9dc5, |hash: u32, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        }),
        name: Backend::new(&name),
        pool: Pool::new("engines"),
        zone: zone(index % pattern.zones),
        build: Build::default(),
        slots: pattern.spec.slots as u32,
        cache_tokens: Some(u64::from(pattern.spec.cache_tokens)),
        fetch_tokens_per_ms: pattern.spec.fetch_tokens_per_ms,
        cold_rate: 0.0,
        max_connections: 100_000,
        incarnation: 1,
    }
}

fn zone(index: usize) -> Zone {
    Zone::new(&format!("zone-{index}"))
}

impl<'a> Simulation<'a> {
    fn new(pattern: &'a Pattern, policy: Policy, requests: Vec<Request>, random: StdRng) -> Self {
        let servers: Vec<Server> =
            (0..pattern.engines).map(|index| server(index, pattern)).collect();
        let daemon = |index: usize| {
            let mut decider = Decider::new(Settings {
                zone: zone(index % pattern.zones),
                own_hash: index as u32,
                start: repeats::Start { at: Instant::now(), first: true },
                cold: cold::Bound { factor: 1.5, slack: 5.0 },
                repeats: repeats::Bound {
                    ratio: 0.2,
                    burst: 58.0,
                    window: Duration::from_secs(10),
                },
                hedges: None,
                fair_shares: policy == Policy::Fair,
                shared_speeds: policy == Policy::SharedSpeeds,
            });
            decider.set_members((0..pattern.daemons as u32).collect(), Membership::Converged);
            decider.set_servers(servers.clone());
            let address = IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0001 + index as u32));
            Daemon {
                decider,
                zone: index % pattern.zones,
                peer_loads: PeerLoads::default(),
                address,
            }
        };
        let mut engines: Vec<Engine> =
            (0..pattern.engines).map(|_| Engine::new(pattern.spec)).collect();
        for (engine, &slowness) in engines.iter_mut().zip(pattern.slowness.iter().cycle()) {
            engine.slowness = slowness;
        }
        let arrivals =
            requests.iter().enumerate().map(|(index, request)| ((request.at, index), true));
        let arrivals = arrivals.collect();
        let record = |request| Record {
            request,
            outcome: Outcome::Failed,
            first: None,
            predicted: None,
            engine: None,
            sent: Duration::ZERO,
        };
        Self {
            down: vec![false; pattern.engines],
            daemons: (0..pattern.daemons).map(daemon).collect(),
            records: requests.into_iter().map(record).collect(),
            start: Instant::now(),
            heartbeats: Vec::new(),
            in_flight: BTreeMap::new(),
            rejections: 0,
            pattern,
            policy,
            random,
            engines,
            servers,
            arrivals,
        }
    }

    fn step(&mut self, now: Duration) {
        self.apply_losses(now);
        self.apply_noise(now);
        for index in 0..self.engines.len() {
            for event in self.engines[index].run(now) {
                self.apply_event(event);
            }
        }
        self.abandon_requests(now);
        self.exchange_heartbeats(now);
        while let Some(entry) = self.arrivals.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, request), first_try) = entry.remove_entry();
            self.receive_request(request, first_try, now);
        }
    }

    fn apply_losses(&mut self, now: Duration) {
        let seconds = now.as_secs_f64();
        for index in 0..self.engines.len() {
            let position = index as f64 / self.engines.len() as f64;
            let down = self.pattern.losses.iter().any(|loss| {
                position < loss.engine_ratio && (loss.from_s..loss.to_s).contains(&seconds)
            });
            if std::mem::replace(&mut self.down[index], down) == down {
                continue;
            }
            for event in self.engines[index].crash(now) {
                self.apply_event(event);
            }
            // All daemons get the new list of backend servers at the same time.
            let up = self.servers.iter().zip(&self.down).filter(|(_, down)| !**down);
            let up: Vec<Server> = up.map(|(server, _)| server.clone()).collect();
            for daemon in &mut self.daemons {
                daemon.decider.set_servers(up.clone());
            }
        }
    }

    /// Draws anew which engines are slow, at the begin of each moment.
    fn apply_noise(&mut self, now: Duration) {
        let Noise { ratio, slowness, length } = self.pattern.noise;
        if ratio == 0.0 || !now.as_millis().is_multiple_of(length.as_millis()) {
            return;
        }
        for engine in &mut self.engines {
            engine.noise = if self.random.random_bool(ratio) { slowness } else { 1.0 };
        }
    }

    fn apply_event(&mut self, event: Event) {
        let (Event::First { request, at }
        | Event::Next { request, at }
        | Event::Done { request, at, .. }
        | Event::Lost { request, at }) = event;
        let now = self.start + at;
        let Some(in_flight) = self.in_flight.get(&request) else { return };
        let name = &self.servers[in_flight.engine].name;
        let decider = &mut self.daemons[in_flight.daemon].decider;
        let record = &mut self.records[request];
        match event {
            Event::First { .. } => {
                decider.record_first_event(name, in_flight.send_id, now);
                decider.record_event(name, in_flight.send_id, now);
                record.first = Some(at.saturating_sub(record.request.at));
                record.predicted = Some((in_flight.predicted, at.saturating_sub(in_flight.sent)));
                (record.engine, record.sent) = (Some(in_flight.engine), in_flight.sent);
                return;
            }
            Event::Next { .. } => {
                decider.record_event(name, in_flight.send_id, now);
                return;
            }
            Event::Done { pause, .. } => {
                decider.record_end(name, in_flight.send_id, End::Complete, now);
                let class = record.request.class;
                let first_in_time = record.first.is_some_and(|first| first <= class.target);
                let on_target = first_in_time && pause <= class.max_pause;
                record.outcome = if on_target { Outcome::InTime } else { Outcome::Late };
            }
            Event::Lost { .. } => decider.record_end(name, in_flight.send_id, End::Failed, now),
        }
        self.in_flight.remove(&request);
    }

    /// Callers leave at their deadline, or when the first event does not come in time.
    fn abandon_requests(&mut self, now: Duration) {
        let left = self.in_flight.iter().filter(|(request, in_flight)| {
            let record = &self.records[**request];
            let expired = now > record.request.at + record.request.class.deadline;
            let patience = record.request.class.first_event_timeout;
            expired || record.first.is_none() && now > in_flight.sent + patience
        });
        let left: Vec<usize> = left.map(|(&request, _)| request).collect();
        for request in left {
            let Some(in_flight) = self.in_flight.remove(&request) else { continue };
            self.engines[in_flight.engine].cancel(request);
            let name = &self.servers[in_flight.engine].name;
            let decider = &mut self.daemons[in_flight.daemon].decider;
            decider.record_end(name, in_flight.send_id, End::Abandoned, self.start + now);
        }
    }

    fn exchange_heartbeats(&mut self, now: Duration) {
        let large = usize::from(self.daemons.len() > 16);
        let ms = now.as_millis() as u64;
        for from in 0..self.daemons.len() {
            // Spreads the heartbeats of the daemons over time.
            let at = ms + from as u64 * 35;
            let due = |period: u64| at % period < STEP.as_millis() as u64;
            let (same_zone, cross_zone) =
                (due(SAME_ZONE_HEARTBEAT_MS[large]), due(CROSS_ZONE_HEARTBEAT_MS[large]));
            if !same_zone && !cross_zone {
                continue;
            }
            let decider = &mut self.daemons[from].decider;
            let loads = decider.own_loads(self.start + now);
            let speeds = decider.speed_reports(self.start + now);
            let models = decider.model_reports(self.start + now);
            let shortages = decider.shortages(self.start + now);
            for to in 0..self.daemons.len() {
                let is_same_zone = self.daemons[from].zone == self.daemons[to].zone;
                if from != to && if is_same_zone { same_zone } else { cross_zone } {
                    self.heartbeats.push(Heartbeat {
                        arrives: now + HEARTBEAT_DELAY,
                        from,
                        to,
                        loads: loads.clone(),
                        speeds: speeds.clone(),
                        models: models.clone(),
                        shortages: shortages.clone(),
                    });
                }
            }
        }
        let arrived: Vec<Heartbeat> =
            self.heartbeats.extract_if(.., |heartbeat| heartbeat.arrives <= now).collect();
        for heartbeat in arrived {
            let peer = self.daemons[heartbeat.from].address;
            let daemon = &mut self.daemons[heartbeat.to];
            let loads = heartbeat.loads.iter().map(|&(hash, load, _)| (hash, load)).collect();
            daemon.peer_loads.record(peer, loads, self.start + now);
            daemon.decider.record_peer(peer, &heartbeat.loads, self.start + now);
            let Heartbeat { speeds, models, .. } = &heartbeat;
            daemon.decider.record_speeds_of_peer(peer, speeds, models, self.start + now);
            let shortages = &heartbeat.shortages;
            daemon.decider.record_shortages_of_peer(peer, shortages, self.start + now);
        }
    }

    fn receive_request(&mut self, request: usize, first_try: bool, now: Duration) {
        let at = self.random.random_range(0..self.daemons.len());
        let record = &self.records[request];
        let deadline = record.request.at + record.request.class.deadline;
        let mut demand = record.request.demand(now, deadline, self.start);
        for _ in 0..MAX_ATTEMPTS {
            match self.place_request(at, &demand, now) {
                Decision::Refuse { retry_after, .. } => {
                    let left = deadline.saturating_sub(now);
                    if first_try {
                        self.arrivals.insert((now + retry_after.min(left / 3), request), false);
                    } else {
                        self.records[request].outcome = Outcome::Refused;
                    }
                    return;
                }
                Decision::Send(placement) => {
                    let name = placement.server.clone();
                    let engine = self.servers.iter().position(|server| server.name == name);
                    let Some(engine) = engine else { return };
                    let decider = &mut self.daemons[at].decider;
                    let send_id = decider.record_sent(&placement, &demand, self.start + now);
                    let down = self.down[engine];
                    let source = placement.cache_source.as_ref().and_then(|source| {
                        self.servers.iter().position(|server| server.name == *source)
                    });
                    let source_tokens = source
                        .map_or(0, |source| self.engines[source].cached_tokens(&demand.segments));
                    if !down && self.engines[engine].submit(request, &demand, source_tokens, now) {
                        let (daemon, predicted) = (at, placement.predicted);
                        let in_flight = InFlight { daemon, engine, send_id, sent: now, predicted };
                        self.in_flight.insert(request, in_flight);
                        return;
                    }
                    self.rejections += 1;
                    let end = if down { End::Unreachable } else { End::Rejected };
                    decider.record_end(&name, send_id, end, self.start + now);
                    demand.excluded.push(name);
                    demand.is_repeat = true;
                }
            }
        }
        self.records[request].outcome = Outcome::Refused;
    }

    fn place_request(
        &mut self,
        at: usize,
        demand: &hyssop_policy::local::demand::Demand,
        now: Duration,
    ) -> Decision {
        let daemon = &mut self.daemons[at];
        let own: BTreeMap<u32, Load> = match self.policy {
            Policy::Local | Policy::Fair | Policy::SharedSpeeds => BTreeMap::new(),
            _ => {
                let own = daemon.decider.own_loads(self.start + now).into_iter();
                own.map(|(hash, load, _)| (hash, load)).collect()
            }
        };
        let peer_loads = &daemon.peer_loads;
        let loads = |server: &Server| {
            own.get(&server.hash)
                .copied()
                .unwrap_or_default()
                .wrapping_add(peer_loads.load(server.hash))
        };
        self.policy.place_request(
            &mut daemon.decider,
            &self.servers,
            loads,
            demand,
            self.start + now,
        )
    }
}
