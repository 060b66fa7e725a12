//! Limits on the sum over all daemons hold through partitions, pauses, restarts and lost, late or
//! duplicated datagrams: requests to cold backend servers and to those that name a limit, repeats,
//! connections, and the crashes that one request causes.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use hyssop_backend::blame::{Fingerprint, Status};
use hyssop_document::{
    build::Build,
    name::{Backend, Host, Pool, Zone},
    number::Tier,
};
use hyssop_gateway::suspects::Suspects;
use hyssop_policy::local::{
    cold,
    decider::{Decider, Decision, End, Settings},
    demand::Demand,
    limit::Rate,
    repeats,
    server::Server,
};
use hyssop_view::{
    heartbeat::{Heartbeat, LoadEntry, Phase, name_hash},
    member::{CONVERGENCE_DELAY, Table},
    record::{Position, Revision},
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::SliceRandom as _};

const COLD: cold::Bound = cold::Bound { factor: 1.5, slack: 5.0 };
const COLD_RATE: f64 = 16.0;
const REPEATS: repeats::Bound =
    repeats::Bound { ratio: 0.2, burst: 58.0, window: Duration::from_secs(10) };
const MAX_CONNECTIONS: u32 = 310;
/// One step of the simulation: the heartbeat interval.
const STEP: Duration = Duration::from_millis(100);
/// The maximum number of members listed in one heartbeat.
const MAX_MEMBER_ENTRIES: usize = 4;
/// The maximum number of members that get a heartbeat in one step.
const MAX_FANOUT: usize = 8;

fn server() -> Server {
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
        may_have_run: false,
        workspace: None,
        is_returning: false,
    }
}

fn address(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, (index / 200) as u8, (index % 200) as u8 + 1))
}

/// One daemon: a table of members and a decider, without sockets.
struct Daemon {
    index: usize,
    table: Table,
    decider: Decider,
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
        let table = Table::new(now, first_start);
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
        self.decider.set_members(members, self.table.has_converged(now));
        self.decider.expire_notices(|_| true, now);
    }

    /// Sends a request if the decider allows it. Returns whether it did.
    fn send(&mut self, repeat: bool, now: Instant) -> bool {
        let demand = demand(repeat, now);
        let Decision::Send(place) = self.decider.place_request(&demand, now) else { return false };
        let send_id = self.decider.record_sent(&place, &demand, now);
        self.decider.record_end(&place.server, send_id, End::Complete, now);
        true
    }
}

/// The size of a fleet and the faults injected into it. Times are in steps.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    daemons: usize,
    steps: u32,
    /// The longest partition.
    max_partition: u32,
    /// Kills per thousand steps of one daemon.
    kills: u32,
    /// Pauses per thousand steps of one daemon.
    pauses: u32,
    /// The percentage of datagrams that are lost.
    lost: u32,
    /// The percentage of datagrams that are delivered again later.
    duplicated: u32,
}

const SCENARIO: Scenario = Scenario {
    daemons: 9,
    steps: 450,
    max_partition: 150,
    kills: 4,
    pauses: 4,
    lost: 10,
    duplicated: 10,
};

struct Fleet {
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
    fn new(seed: u64, scenario: Scenario, is_cold: bool) -> Self {
        let start = Instant::now();
        let daemons =
            (0..scenario.daemons).map(|index| Daemon::start(index, 1, true, is_cold, start));
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
    fn run(&mut self, mut act: impl FnMut(&mut Daemon, &mut StdRng, u32, Instant)) {
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
        if step >= self.healed_at && self.random.random_ratio(1, 40) {
            let sides = self.random.random_range(2..=3);
            for side in &mut self.sides {
                *side = self.random.random_range(0..sides);
            }
            let longest = self.scenario.max_partition;
            self.healed_at = step + self.random.random_range(longest / 4..=longest);
        } else if step == self.healed_at {
            self.sides.fill(0);
        }
        for index in 0..self.daemons.len() {
            if self.random.random_ratio(self.scenario.kills, 1_000) {
                let incarnation = self.daemons[index].incarnation + 1;
                let back = self.now + STEP * self.random.random_range(1..20);
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

/// The largest number of `times` within any window of this length.
fn max_within(window: Duration, times: &[Instant]) -> usize {
    let mut first = 0;
    let mut count = 0;
    for (last, &time) in times.iter().enumerate() {
        while time.duration_since(times[first]) >= window {
            first += 1;
        }
        count = count.max(last + 1 - first);
    }
    count
}

fn cold_sends(seed: u64, scenario: Scenario) -> Vec<Instant> {
    let mut times = Vec::new();
    Fleet::new(seed, scenario, true).run(|daemon, _, _, now| {
        while daemon.send(false, now) {
            times.push(now);
        }
    });
    times
}

fn assert_cold_limit(seed: u64, scenario: Scenario) {
    let times = cold_sends(seed, scenario);
    let max_sent = max_within(Duration::from_secs(1), &times);
    let bound = COLD.total(COLD_RATE);
    assert!(max_sent as f64 <= bound, "seed {seed}: {max_sent} in a second, the bound is {bound}");
    let seconds = (STEP * scenario.steps).as_secs_f64();
    let mean = times.len() as f64 / seconds;
    assert!(mean > bound * 0.2, "seed {seed}: only {mean} a second, so the limit is not used up");
}

#[test]
fn a_cold_backend_server_gets_no_more_requests_than_its_limit() {
    for seed in 0..30 {
        assert_cold_limit(seed, SCENARIO);
    }
}

/// A partition may outlast every timeout of members: each side must go on with its own shares.
#[test]
fn the_cold_limit_holds_in_a_partition_of_minutes() {
    let scenario = Scenario { steps: 3_000, max_partition: 2_400, kills: 0, ..SCENARIO };
    for seed in 0..6 {
        assert_cold_limit(seed, scenario);
    }
}

/// With more daemons than allowed requests, rendezvous hashing selects the daemons that may send.
#[test]
fn the_cold_limit_holds_in_a_large_fleet() {
    let scenario = Scenario { daemons: 40, steps: 300, kills: 2, ..SCENARIO };
    for seed in 0..4 {
        assert_cold_limit(seed, scenario);
    }
}

/// A server names a limit in all responses from the third second on. Datagrams that are delivered
/// again may report limits of earlier times.
fn assert_named_limit(seed: u64, scenario: Scenario, limit: &str) {
    const WINDOW: Duration = Duration::from_secs(4);
    const NAMED_AT: u32 = 30;
    const SETTLED_AT: u32 = NAMED_AT + 30;
    let limit: Rate = limit.parse().expect("a rate");
    let mut times = Vec::new();
    Fleet::new(seed, scenario, false).run(|daemon, _, step, now| {
        for _ in 0..20 {
            if !daemon.send(false, now) {
                break;
            }
            let named = (step >= NAMED_AT).then_some(limit);
            daemon.decider.record_limit(&server().name, 1, named, now, now);
            if step >= SETTLED_AT {
                times.push(now);
            }
        }
    });
    let max_sent = max_within(WINDOW, &times);
    let bound = 1.5 * limit.per_second() * WINDOW.as_secs_f64() + 5.0;
    assert!(max_sent as f64 <= bound, "seed {seed}: {max_sent} in 4 s for a limit of {limit}");
    let seconds = (STEP * (scenario.steps - SETTLED_AT)).as_secs_f64();
    let mean = times.len() as f64 / seconds;
    assert!(mean > limit.per_second() * 0.4, "seed {seed}: {mean} a second for {limit}");
}

#[test]
fn a_server_gets_no_more_than_the_limit_that_it_names() {
    for seed in 0..30 {
        for limit in ["0.5", "1", "5.9", "20", "60"] {
            assert_named_limit(seed, SCENARIO, limit);
        }
    }
}

#[test]
fn the_named_limit_holds_in_a_partition_of_minutes_and_in_a_large_fleet() {
    let partition = Scenario { steps: 3_000, max_partition: 2_400, kills: 0, ..SCENARIO };
    let large = Scenario { daemons: 40, steps: 300, kills: 1, ..SCENARIO };
    for seed in 0..4 {
        for limit in ["1", "12"] {
            assert_named_limit(seed, partition, limit);
            assert_named_limit(seed, large, limit);
        }
    }
}

#[test]
fn repeats_stay_within_the_budget() {
    for seed in 0..20 {
        let (mut first, mut again) = (Vec::new(), Vec::new());
        Fleet::new(seed, SCENARIO, false).run(|daemon, random, _, now| {
            for _ in 0..random.random_range(0..4) {
                if daemon.send(false, now) {
                    first.push(now);
                }
            }
            while daemon.send(true, now) {
                again.push(now);
            }
        });
        assert!(!again.is_empty(), "seed {seed}: the budget is not used");
        for end in &again {
            let inside = |times: &[Instant]| {
                let begin = end.checked_sub(REPEATS.window).unwrap_or(*end);
                times.iter().filter(|&&time| time > begin && time <= *end).count()
            };
            let (repeats, requests) = (inside(&again), inside(&first));
            let bound = REPEATS.ratio * requests as f64 + REPEATS.burst;
            assert!(
                repeats as f64 <= bound,
                "seed {seed}: {repeats} repeats, the bound is {bound}"
            );
        }
    }
}

#[test]
fn connections_of_all_daemons_fit_into_a_backend_server() {
    for seed in 0..20 {
        let scenario = Scenario { kills: 0, ..SCENARIO };
        let mut fleet = Fleet::new(seed, scenario, false);
        let mut shares = vec![0; scenario.daemons];
        fleet.run(|daemon, _, step, _| {
            shares[daemon.index] = daemon.decider.connection_limit(&server().name);
            let sum: usize = shares.iter().sum();
            // Before the first heartbeats no daemon has discovered the others.
            assert!(step < 5 || sum <= MAX_CONNECTIONS as usize, "seed {seed}: {sum}");
        });
    }
}

/// Callers send a request that crashes its backend server to any daemon, again and again. Daemons
/// must report crashes to each other, so that there are no more than three on each side of a
/// partition.
#[test]
fn a_crashing_request_is_quarantined_on_each_side_of_a_partition() {
    const CRASHING: Fingerprint = Fingerprint(7);
    for seed in 0..40_u64 {
        let mut random = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut daemons: Vec<Suspects> = (0..9).map(|_| Suspects::default()).collect();
        let (mut crashes, mut stopped_at) = ([0_u32; 2], [None; 2]);
        for step in 0..300_u32 {
            let at = now + STEP * step;
            // A third of the daemons is partitioned from the others during the first half.
            let side = |index: usize| usize::from(step < 150 && index < 3);
            for from in 0..daemons.len() {
                let blames = daemons[from].blames(at);
                for (to, daemon) in daemons.iter_mut().enumerate() {
                    if to != from && side(from) == side(to) && random.random_ratio(8, 10) {
                        daemon.merge(&blames, at);
                    }
                }
            }
            // The request arrives twice per second.
            if step % 5 == 0 {
                let index = random.random_range(0..daemons.len());
                if daemons[index].status(CRASHING, at) != Status::Quarantined {
                    let server = Backend::new(&format!("engine-{step}"));
                    daemons[index].record_failure(&server, CRASHING, at);
                    daemons[index].record_crash(&server, at);
                    crashes[side(index)] += 1;
                    stopped_at[side(index)] = Some(step);
                }
            }
        }
        assert!(crashes[1] <= 3 && crashes[0] <= 3, "seed {seed}: {crashes:?} {stopped_at:?}");
    }
}
