//! A fleet of daemons without sockets: tables of members and deciders, under faults.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use hyssop_document::{
    build::Build,
    name::{Backend, Host, Pool, Zone},
    number::Tier,
};
use hyssop_policy::local::{
    cold,
    decider::{Decider, Decision, End, Settings},
    demand::Demand,
    repeats,
    server::Server,
};
use hyssop_view::{
    heartbeat::{Heartbeat, LoadEntry, Phase, name_hash},
    member::{CONVERGENCE_DELAY, Table},
    record::{Position, Revision},
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::SliceRandom as _};

pub(crate) const COLD: cold::Bound = cold::Bound { factor: 1.5, slack: 5.0 };
pub(crate) const COLD_RATE: f64 = 16.0;
pub(crate) const REPEATS: repeats::Bound =
    repeats::Bound { ratio: 0.2, burst: 58.0, window: Duration::from_secs(10) };
pub(crate) const MAX_CONNECTIONS: u32 = 310;
/// One step of the simulation: the heartbeat interval.
pub(crate) const STEP: Duration = Duration::from_millis(100);
/// The maximum number of members listed in one heartbeat.
const MAX_MEMBER_ENTRIES: usize = 4;
/// The number of daemons that all others know from their settings.
const SEEDS: usize = 3;
/// The maximum number of members that get a heartbeat in one step.
const MAX_FANOUT: usize = 8;

pub(crate) fn server() -> Server {
    Server {
        name: Backend::new("engine-1"),
        hash: name_hash("engine-1"),
        pool: Pool::new("drafts"),
        zone: Zone::new("a"),
        build: Build::default(),
        slots: 1_000,
        cache_tokens: None,
        fetch_tokens_per_ms: None,
        cold_rate: COLD_RATE,
        max_connections: MAX_CONNECTIONS,
        incarnation: 1,
    }
}

fn demand(is_repeat: bool, now: Instant) -> Demand {
    Demand {
        pool: Pool::new("drafts"),
        tier: Tier(1),
        route_tier: Tier(1),
        segments: Vec::new(),
        prompt_tokens: 0,
        output_tokens: 0,
        arrived: now,
        target: Duration::from_secs(60),
        max_event_gap: None,
        deadline: now + Duration::from_secs(3_600),
        build: None,
        excluded: Vec::new(),
        is_repeat,
        is_recorded: false,
        may_have_run: false,
        workspace: None,
        is_returning: false,
    }
}

fn address(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, (index / 200) as u8, (index % 200) as u8 + 1))
}

/// One daemon: a table of members and a decider, without sockets.
pub(crate) struct Daemon {
    pub(crate) index: usize,
    table: Table,
    pub(crate) decider: Decider,
    incarnation: u64,
    /// The daemon is down until this time: it was killed and restarts, or is paused.
    down_until: Instant,
}

impl Daemon {
    fn start(
        index: usize,
        incarnation: u64,
        first_start: bool,
        is_cold: bool,
        now: Instant,
    ) -> Self {
        let own_hash = name_hash(&format!("host-{index}"));
        let zone = Zone::new("a");
        let mut decider = Decider::new(Settings {
            zone,
            own_hash,
            start: repeats::Start { at: now, first: first_start },
            cold: COLD,
            repeats: REPEATS,
            hedges: None,
            fair_shares: false,
            shared_speeds: false,
        });
        decider.set_servers(vec![server()]);
        if is_cold {
            decider.record_cold(&server().name, now + Duration::from_secs(100_000));
        }
        let seeds: Vec<IpAddr> = (0..SEEDS).map(address).collect();
        let table = Table::new(now, first_start).with_seeds(address(index), &seeds, incarnation);
        Self { index, table, decider, incarnation, down_until: now }
    }

    fn heartbeat(&mut self, random: &mut StdRng, now: Instant) -> Heartbeat {
        let mut members = self.table.member_entries(now);
        members.shuffle(random);
        members.truncate(MAX_MEMBER_ENTRIES);
        Heartbeat {
            host: Host::new(&format!("host-{}", self.index)),
            zone: Zone::new("a"),
            incarnation: self.incarnation,
            caller_address: SocketAddr::new(address(self.index), 1),
            phase: Phase::Ready,
            weight: 250,
            applied: Position { revision: Revision(1), ..Position::default() },
            watches_source: false,
            converged: self.table.has_converged(now),
            members,
            loads: self.decider.own_loads(now).into_iter().map(LoadEntry::from).collect(),
            blames: Vec::new(),
            evidence: Vec::new(),
            leaving: Vec::new(),
            limits: self.decider.limits(now).map(Into::into).collect(),
            speeds: Vec::new(),
            models: Vec::new(),
            shortages: Vec::new(),
        }
    }

    fn on_heartbeat(&mut self, from: usize, heartbeat: &Heartbeat, now: Instant) {
        self.table.record_heartbeat(address(from), heartbeat.clone(), now);
        let loads: Vec<_> = heartbeat.loads.iter().copied().map(Into::into).collect();
        self.decider.record_peer(address(from), &loads, now);
        for &entry in &heartbeat.limits {
            let (hash, report) = entry.into();
            self.decider.record_limit_of_peer(hash, &report, now);
        }
    }

    fn tick(&mut self, now: Instant) {
        self.table.expire(now);
        let own = name_hash(&format!("host-{}", self.index));
        let mut members = self.table.share_holders(now);
        if let Err(at) = members.binary_search(&own) {
            members.insert(at, own);
        }
        self.decider.set_members(members, self.table.membership(now));
        self.decider.expire_notices(|_| true, now);
    }

    /// Sends a request if the decider allows it. Returns whether it did.
    pub(crate) fn send(&mut self, repeat: bool, now: Instant) -> bool {
        let demand = demand(repeat, now);
        let Decision::Send(place) = self.decider.place_request(&demand, now) else { return false };
        let send_id = self.decider.record_sent(&place, &demand, now);
        self.decider.record_end(&place.server, send_id, End::Complete, now);
        true
    }
}

/// The size of a fleet and the faults injected into it. Times are in steps.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) daemons: usize,
    pub(crate) steps: u32,
    /// The longest partition.
    pub(crate) max_partition: u32,
    /// Kills per thousand steps of one daemon.
    pub(crate) kills: u32,
    /// Pauses per thousand steps of one daemon.
    pub(crate) pauses: u32,
    /// The percentage of datagrams that are lost.
    pub(crate) lost: u32,
    /// The percentage of datagrams that are delivered again later.
    pub(crate) duplicated: u32,
    /// When all daemons are killed. They are back within 2 s.
    pub(crate) all_killed_at: Option<u32>,
    /// How many of them come back.
    pub(crate) back: usize,
    /// When all daemons but the first are killed, and don't come back.
    pub(crate) peers_lost_at: Option<u32>,
    /// How many daemons, the first ones, are killed and don't come back, and when.
    pub(crate) large_lost_at: Option<(usize, u32)>,
}

pub(crate) const SCENARIO: Scenario = Scenario {
    daemons: 9,
    steps: 450,
    max_partition: 150,
    kills: 4,
    pauses: 4,
    lost: 10,
    duplicated: 10,
    all_killed_at: None,
    back: usize::MAX,
    peers_lost_at: None,
    large_lost_at: None,
};

pub(crate) struct Fleet {
    scenario: Scenario,
    random: StdRng,
    start: Instant,
    now: Instant,
    daemons: Vec<Daemon>,
    /// The side of the partition on which each daemon is. Datagrams don't cross it.
    sides: Vec<u8>,
    healed_at: u32,
    /// Duplicates to deliver: the step, the sender, the receiver and the heartbeat.
    duplicates: Vec<(u32, usize, usize, Heartbeat)>,
    is_cold: bool,
}

impl Fleet {
    pub(crate) fn new(seed: u64, scenario: Scenario, is_cold: bool) -> Self {
        let start = Instant::now();
        let daemons =
            (0..scenario.daemons).map(|index| Daemon::start(index, 0, true, is_cold, start));
        Self {
            random: StdRng::seed_from_u64(seed),
            start,
            now: start,
            daemons: daemons.collect(),
            sides: vec![0; scenario.daemons],
            healed_at: 0,
            duplicates: Vec::new(),
            scenario,
            is_cold,
        }
    }

    /// Runs all steps. Calls `act` in each step for each daemon that is up.
    pub(crate) fn run(&mut self, mut act: impl FnMut(&mut Daemon, &mut StdRng, u32, Instant)) {
        for step in 0..self.scenario.steps {
            self.now = self.start + STEP * step;
            self.inject_faults(step);
            self.exchange(step);
            let now = self.now;
            for daemon in &mut self.daemons {
                if daemon.down_until <= now {
                    daemon.tick(now);
                    act(daemon, &mut self.random, step, now);
                }
            }
        }
    }

    fn inject_faults(&mut self, step: u32) {
        let faults_from = CONVERGENCE_DELAY.as_millis() as u32 / STEP.as_millis() as u32 + 5;
        if step < faults_from {
            return;
        }
        if self.scenario.max_partition > 0
            && step >= self.healed_at
            && self.random.random_ratio(1, 40)
        {
            let sides = self.random.random_range(2..=3);
            for side in &mut self.sides {
                *side = self.random.random_range(0..sides);
            }
            let longest = self.scenario.max_partition;
            self.healed_at = step + self.random.random_range(longest / 4..=longest);
        } else if step == self.healed_at {
            self.sides.fill(0);
        }
        let all_killed = self.scenario.all_killed_at == Some(step);
        let peers_lost = self.scenario.peers_lost_at == Some(step);
        let large_lost = self.scenario.large_lost_at;
        for index in 0..self.daemons.len() {
            if large_lost.is_some_and(|(count, at)| index < count && at == step)
                || peers_lost && index > 0
                || all_killed && index >= self.scenario.back
            {
                self.daemons[index].down_until = self.now + Duration::from_secs(86_400);
            } else if all_killed || self.random.random_ratio(self.scenario.kills, 1_000) {
                let back = self.now + STEP * self.random.random_range(1..20);
                let incarnation = (back.duration_since(self.start).as_millis() as u64) << 8;
                let mut daemon = Daemon::start(index, incarnation, false, self.is_cold, back);
                daemon.down_until = back;
                self.daemons[index] = daemon;
            } else if self.random.random_ratio(self.scenario.pauses, 1_000) {
                let pause = STEP * self.random.random_range(1..40);
                self.daemons[index].down_until = self.now + pause;
            }
        }
    }

    fn exchange(&mut self, step: u32) {
        let now = self.now;
        let count = self.daemons.len();
        for from in 0..count {
            if self.daemons[from].down_until > now {
                continue;
            }
            let mut targets: Vec<usize> = (0..count).filter(|&to| to != from).collect();
            targets.shuffle(&mut self.random);
            targets.truncate(MAX_FANOUT);
            let heartbeat = self.daemons[from].heartbeat(&mut self.random, now);
            for to in targets {
                if self.sides[from] != self.sides[to] || self.chance(self.scenario.lost) {
                    continue;
                }
                if self.chance(self.scenario.duplicated) {
                    let at = step + self.random.random_range(1..30);
                    self.duplicates.push((at, from, to, heartbeat.clone()));
                }
                self.deliver(from, to, &heartbeat);
            }
        }
        let due: Vec<_> = self.duplicates.extract_if(.., |(at, ..)| *at <= step).collect();
        for (_, from, to, heartbeat) in due {
            self.deliver(from, to, &heartbeat);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, heartbeat: &Heartbeat) {
        let daemon = &mut self.daemons[to];
        // A daemon that is down loses datagrams: its socket is closed, or its buffer is full.
        if daemon.down_until <= self.now {
            daemon.on_heartbeat(from, heartbeat, self.now);
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_ratio(percent, 100)
    }
}
