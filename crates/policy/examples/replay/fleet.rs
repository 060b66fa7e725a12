//! Daemons that decide on views of different age, before engines, without input or output.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_document::name::{Backend, Pool, Zone};
use hyssop_policy::local::{
    cold,
    decider::{Decider, Decision, End, Settings},
    peer_loads::PeerLoads,
    repeats,
    server::{Load, Server, Ticket},
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{
    engine::{Engine, Event},
    pattern::{Pattern, Request, requests},
    policy::Policy,
};

/// The step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Periods between beats, in the zone and to others; in fleets of more than sixteen as well.
const NEAR_MS: [u64; 2] = [100, 150];
const FAR_MS: [u64; 2] = [200, 500];
/// How long a beat is on its way.
const DELAY: Duration = Duration::from_millis(5);
/// How long a caller waits for the first event.
const PATIENCE: Duration = Duration::from_secs(2);
/// The tries of one request at engines that reject it.
const TRIES: usize = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Outcome {
    InTime,
    Late,
    Refused,
    Failed,
}

/// What is known of one request in the end.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) request: Request,
    pub(crate) outcome: Outcome,
    /// From the caller's first try to the first event.
    pub(crate) first: Option<Duration>,
    /// From the send to the first event: what was predicted and what was seen.
    pub(crate) predicted: Option<(Duration, Duration)>,
}

/// The result of one run.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) records: Vec<Record>,
    /// Prompt tokens read by all engines.
    pub(crate) read: u64,
    pub(crate) rejections: u64,
}

struct Daemon {
    decider: Decider,
    zone: usize,
    /// The same loads, for policies that do not use the decider.
    others: PeerLoads,
    address: IpAddr,
}

struct Running {
    daemon: usize,
    engine: usize,
    ticket: Ticket,
    sent: Duration,
    predicted: Duration,
}

struct Beat {
    due: Duration,
    from: usize,
    to: usize,
    loads: Vec<(u32, Load, Duration)>,
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
    beats: Vec<Beat>,
    running: BTreeMap<usize, Running>,
    records: Vec<Record>,
    /// Requests that come, or come back, in order: time, request, whether it is the first try.
    due: BTreeMap<(Duration, usize), bool>,
    rejections: u64,
}

/// Runs a pattern under a policy.
pub(crate) fn run(pattern: &Pattern, policy: Policy, seed: u64) -> Run {
    let mut random = StdRng::seed_from_u64(seed);
    let requests = requests(pattern, &mut random);
    let mut simulation = Simulation::new(pattern, policy, requests, random);
    let end = Duration::from_secs_f64(pattern.seconds) + Duration::from_secs(12);
    let mut now = Duration::ZERO;
    while now < end {
        simulation.step(now);
        now += STEP;
    }
    Run {
        read: simulation.engines.iter().map(|engine| engine.read).sum(),
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
        slots: pattern.spec.slots as u32,
        cache_tokens: Some(u64::from(pattern.spec.cache_tokens)),
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
        let servers: Vec<Server> = (0..pattern.engines).map(|at| server(at, pattern)).collect();
        let daemon = |index: usize| {
            let mut decider = Decider::new(Settings {
                zone: zone(index % pattern.zones),
                own_hash: index as u32,
                cold: cold::Bound { factor: 1.5, slack: 5.0 },
                repeats: repeats::Bound {
                    ratio: 0.2,
                    burst: 58.0,
                    window: Duration::from_secs(10),
                },
            });
            decider.set_members((0..pattern.daemons as u32).collect(), true);
            decider.set_servers(servers.clone());
            let address = IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0001 + index as u32));
            Daemon { decider, zone: index % pattern.zones, others: PeerLoads::default(), address }
        };
        let mut engines: Vec<Engine> =
            (0..pattern.engines).map(|_| Engine::new(pattern.spec)).collect();
        let slow = (pattern.slow.0 * pattern.engines as f64) as usize;
        for engine in &mut engines[..slow] {
            engine.slow = pattern.slow.1;
        }
        let due = requests.iter().enumerate().map(|(index, request)| ((request.at, index), true));
        let due = due.collect();
        let record =
            |request| Record { request, outcome: Outcome::Failed, first: None, predicted: None };
        Self {
            down: vec![false; pattern.engines],
            daemons: (0..pattern.daemons).map(daemon).collect(),
            records: requests.into_iter().map(record).collect(),
            start: Instant::now(),
            beats: Vec::new(),
            running: BTreeMap::new(),
            rejections: 0,
            pattern,
            policy,
            random,
            engines,
            servers,
            due,
        }
    }

    fn step(&mut self, now: Duration) {
        self.lose(now);
        for index in 0..self.engines.len() {
            for event in self.engines[index].run(now) {
                self.take(event);
            }
        }
        self.give_up(now);
        self.exchange(now);
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, request), first_try) = entry.remove_entry();
            self.arrive(request, first_try, now);
        }
    }

    fn lose(&mut self, now: Duration) {
        let seconds = now.as_secs_f64();
        for index in 0..self.engines.len() {
            let place = index as f64 / self.engines.len() as f64;
            let down = self
                .pattern
                .losses
                .iter()
                .any(|loss| place < loss.part && (loss.from_s..loss.to_s).contains(&seconds));
            if std::mem::replace(&mut self.down[index], down) == down {
                continue;
            }
            for event in self.engines[index].crash(now) {
                self.take(event);
            }
            // The list of backend servers tells all daemons at once.
            let up = self.servers.iter().zip(&self.down).filter(|(_, down)| !**down);
            let up: Vec<Server> = up.map(|(server, _)| server.clone()).collect();
            for daemon in &mut self.daemons {
                daemon.decider.set_servers(up.clone());
            }
        }
    }

    fn take(&mut self, event: Event) {
        let (Event::First { request, at }
        | Event::Done { request, at, .. }
        | Event::Lost { request, at }) = event;
        let now = self.start + at;
        let Some(running) = self.running.get(&request) else { return };
        let name = &self.servers[running.engine].name;
        let decider = &mut self.daemons[running.daemon].decider;
        let record = &mut self.records[request];
        match event {
            Event::First { .. } => {
                decider.record_first_event(name, running.ticket, now);
                record.first = Some(at.saturating_sub(record.request.at));
                record.predicted = Some((running.predicted, at.saturating_sub(running.sent)));
                return;
            }
            Event::Done { pause, .. } => {
                decider.record_end(name, running.ticket, End::Complete, now);
                let class = record.request.class;
                let in_time = record.first.is_some_and(|first| first <= class.target);
                let whole = in_time && pause <= class.pause;
                record.outcome = if whole { Outcome::InTime } else { Outcome::Late };
            }
            Event::Lost { .. } => decider.record_end(name, running.ticket, End::Failed, now),
        }
        self.running.remove(&request);
    }

    /// Callers leave at their deadline, or when no event came for long.
    fn give_up(&mut self, now: Duration) {
        let left = self.running.iter().filter(|(request, running)| {
            let record = &self.records[**request];
            let over = now > record.request.at + record.request.class.deadline;
            over || record.first.is_none() && now > running.sent + PATIENCE
        });
        let left: Vec<usize> = left.map(|(&request, _)| request).collect();
        for request in left {
            let Some(running) = self.running.remove(&request) else { continue };
            self.engines[running.engine].cancel(request);
            let name = &self.servers[running.engine].name;
            let decider = &mut self.daemons[running.daemon].decider;
            decider.record_end(name, running.ticket, End::Abandoned, self.start + now);
        }
    }

    fn exchange(&mut self, now: Duration) {
        let large = usize::from(self.daemons.len() > 16);
        let ms = now.as_millis() as u64;
        for from in 0..self.daemons.len() {
            // Daemons do not beat all at once.
            let at = ms + from as u64 * 35;
            let due = |period: u64| at % period < STEP.as_millis() as u64;
            let (near, far) = (due(NEAR_MS[large]), due(FAR_MS[large]));
            if !near && !far {
                continue;
            }
            let loads = self.daemons[from].decider.own_loads(self.start + now);
            for to in 0..self.daemons.len() {
                let is_near = self.daemons[from].zone == self.daemons[to].zone;
                if from != to && if is_near { near } else { far } {
                    self.beats.push(Beat { due: now + DELAY, from, to, loads: loads.clone() });
                }
            }
        }
        let arrived: Vec<Beat> = self.beats.extract_if(.., |beat| beat.due <= now).collect();
        for beat in arrived {
            let peer = self.daemons[beat.from].address;
            let daemon = &mut self.daemons[beat.to];
            let loads = beat.loads.iter().map(|&(hash, load, _)| (hash, load)).collect();
            daemon.others.record(peer, loads, self.start + now);
            daemon.decider.record_peer(peer, &beat.loads, self.start + now);
        }
    }

    fn arrive(&mut self, request: usize, first_try: bool, now: Duration) {
        let at = self.random.random_range(0..self.daemons.len());
        let record = &self.records[request];
        let deadline = record.request.at + record.request.class.deadline;
        let mut demand = record.request.demand(now, deadline, self.start);
        for _ in 0..TRIES {
            match self.place(at, &demand, now) {
                Decision::Refuse { retry_after, .. } => {
                    let left = deadline.saturating_sub(now);
                    if first_try {
                        self.due.insert((now + retry_after.min(left / 3), request), false);
                    } else {
                        self.records[request].outcome = Outcome::Refused;
                    }
                    return;
                }
                Decision::Send(place) => {
                    let name = place.server.clone();
                    let engine = self.servers.iter().position(|server| server.name == name);
                    let Some(engine) = engine else { return };
                    let decider = &mut self.daemons[at].decider;
                    let ticket = decider.record_sent(&place, &demand, self.start + now);
                    let down = self.down[engine];
                    if !down && self.engines[engine].submit(request, &demand, now) {
                        let (daemon, predicted) = (at, place.predicted);
                        let running = Running { daemon, engine, ticket, sent: now, predicted };
                        self.running.insert(request, running);
                        return;
                    }
                    self.rejections += 1;
                    let end = if down { End::Unreachable } else { End::Rejected };
                    decider.record_end(&name, ticket, end, self.start + now);
                    demand.excluded.push(name);
                    demand.is_repeat = true;
                }
            }
        }
        self.records[request].outcome = Outcome::Refused;
    }

    fn place(
        &mut self,
        at: usize,
        demand: &hyssop_policy::local::demand::Demand,
        now: Duration,
    ) -> Decision {
        let daemon = &mut self.daemons[at];
        let own: BTreeMap<u32, Load> = match self.policy {
            Policy::Local => BTreeMap::new(),
            _ => {
                let own = daemon.decider.own_loads(self.start + now).into_iter();
                own.map(|(hash, load, _)| (hash, load)).collect()
            }
        };
        let others = &daemon.others;
        let loads = |server: &Server| {
            own.get(&server.hash)
                .copied()
                .unwrap_or_default()
                .wrapping_add(others.load(server.hash))
        };
        self.policy.place(&mut daemon.decider, &self.servers, loads, demand, self.start + now)
    }
}
