//! Rights that are summed over all daemons hold through partitions, pauses, restarts and lost, late or
//! repeated datagrams: cold starts, repeats, connections, and requests that break backend servers.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use hyssop_backend::blame::{Fingerprint, Standing};
use hyssop_document::{
    name::{Backend, Host, Pool, Zone},
    number::Tier,
};
use hyssop_gateway::suspects::Suspects;
use hyssop_policy::local::{
    cold,
    decider::{Decider, End, Settings, Verdict},
    demand::Demand,
    repeats,
    standing::Server,
};
use hyssop_view::{
    heartbeat::{Heartbeat, LoadEntry, Phase, name_hash},
    member::{CONVERGENCE_DELAY, Table},
    record::Revision,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::SliceRandom as _};

const COLD: cold::Bound = cold::Bound { factor: 1.5, slack: 5.0 };
const COLD_RATE: f64 = 16.0;
const REPEATS: repeats::Bound =
    repeats::Bound { ratio: 0.2, burst: 58.0, window: Duration::from_secs(10) };
const MAX_CONNECTIONS: u32 = 310;
/// One step of the simulation: a period of heartbeats.
const STEP: Duration = Duration::from_millis(100);
/// Members named in one heartbeat.
const NAMED: usize = 4;
/// Members that one heartbeat goes to.
const FANOUT: usize = 8;

fn server() -> Server {
    Server {
        name: Backend::new("engine-1"),
        hash: name_hash("engine-1"),
        pool: Pool::new("drafts"),
        zone: Zone::new("a"),
        slots: 1_000,
        cache_tokens: None,
        cold_rate: COLD_RATE,
        max_connections: MAX_CONNECTIONS,
        incarnation: 1,
    }
}

fn demand(repeat: bool, now: Instant) -> Demand {
    Demand {
        pool: Pool::new("drafts"),
        tier: Tier(1),
        parts: Vec::new(),
        prompt_tokens: 0,
        output_tokens: 0,
        arrived: now,
        target: Duration::from_secs(60),
        deadline: now + Duration::from_secs(3_600),
        excluded: Vec::new(),
        repeat,
    }
}

fn address(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, (index / 200) as u8, (index % 200) as u8 + 1))
}

/// One daemon: the product's tables and decider, without sockets.
struct Daemon {
    index: usize,
    table: Table,
    decider: Decider,
    incarnation: u64,
    /// The daemon does not act before this time: it was killed and starts again, or is paused.
    silent_until: Instant,
}

impl Daemon {
    fn start(
        index: usize,
        incarnation: u64,
        first_start: bool,
        is_cold: bool,
        now: Instant,
    ) -> Self {
        let own = name_hash(&format!("host-{index}"));
        let zone = Zone::new("a");
        let mut decider = Decider::new(Settings { zone, own, cold: COLD, repeats: REPEATS });
        decider.configure(vec![server()]);
        if is_cold {
            decider.cold(&server().name, now + Duration::from_secs(100_000));
        }
        let table = Table::new(now, first_start);
        Self { index, table, decider, incarnation, silent_until: now }
    }

    fn heartbeat(&mut self, random: &mut StdRng, now: Instant) -> Heartbeat {
        let mut members = self.table.member_entries(now);
        members.shuffle(random);
        members.truncate(NAMED);
        Heartbeat {
            host: Host::new(&format!("host-{}", self.index)),
            zone: Zone::new("a"),
            incarnation: self.incarnation,
            caller_address: SocketAddr::new(address(self.index), 1),
            phase: Phase::Ready,
            weight: 250,
            applied: Revision(1),
            watches_source: false,
            converged: self.table.has_converged(now),
            members,
            loads: self.decider.own_loads(now).into_iter().map(LoadEntry::from).collect(),
            blames: Vec::new(),
        }
    }

    fn hear(&mut self, from: usize, heartbeat: &Heartbeat, now: Instant) {
        self.table.record_heartbeat(address(from), heartbeat.clone(), now);
        let told: Vec<_> = heartbeat.loads.iter().copied().map(Into::into).collect();
        self.decider.peer(address(from), &told, now);
    }

    fn tick(&mut self, now: Instant) {
        self.table.expire(now);
        let own = name_hash(&format!("host-{}", self.index));
        let mut members = self.table.share_holders(now);
        if let Err(at) = members.binary_search(&own) {
            members.insert(at, own);
        }
        self.decider.set_members(members, self.table.has_converged(now));
    }

    /// Sends what the decider lets pass. Returns whether it did.
    fn send(&mut self, repeat: bool, now: Instant) -> bool {
        let demand = demand(repeat, now);
        let Verdict::Send(place) = self.decider.place(&demand, now) else { return false };
        let ticket = self.decider.sent(&place, &demand, now);
        self.decider.ended(&place.server, ticket, End::Complete, now);
        true
    }
}

/// What befalls the daemons. Times are in steps.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    daemons: usize,
    steps: u32,
    /// The longest partition.
    longest_cut: u32,
    /// Kills a thousand steps and daemons.
    kills: u32,
    /// Pauses a thousand steps and daemons.
    pauses: u32,
    /// Datagrams of a hundred that are lost, and that come again a while later.
    lost: u32,
    repeated: u32,
}

const TROUBLE: Trouble = Trouble {
    daemons: 9,
    steps: 450,
    longest_cut: 150,
    kills: 4,
    pauses: 4,
    lost: 10,
    repeated: 10,
};

struct Fleet {
    trouble: Trouble,
    random: StdRng,
    start: Instant,
    now: Instant,
    daemons: Vec<Daemon>,
    /// The side of each daemon. Datagrams pass only inside a side.
    sides: Vec<u8>,
    healed_at: u32,
    late: Vec<(u32, usize, usize, Heartbeat)>,
    is_cold: bool,
}

impl Fleet {
    fn new(seed: u64, trouble: Trouble, is_cold: bool) -> Self {
        let start = Instant::now();
        let daemons =
            (0..trouble.daemons).map(|index| Daemon::start(index, 1, true, is_cold, start));
        Self {
            random: StdRng::seed_from_u64(seed),
            start,
            now: start,
            daemons: daemons.collect(),
            sides: vec![0; trouble.daemons],
            healed_at: 0,
            late: Vec::new(),
            trouble,
            is_cold,
        }
    }

    /// Runs all steps. `act` is called for each daemon that runs, in each step.
    fn run(&mut self, mut act: impl FnMut(&mut Daemon, &mut StdRng, u32, Instant)) {
        for step in 0..self.trouble.steps {
            self.now = self.start + STEP * step;
            self.disturb(step);
            self.exchange(step);
            let now = self.now;
            for daemon in &mut self.daemons {
                if daemon.silent_until <= now {
                    daemon.tick(now);
                    act(daemon, &mut self.random, step, now);
                }
            }
        }
    }

    fn disturb(&mut self, step: u32) {
        let calm_start = CONVERGENCE_DELAY.as_millis() as u32 / STEP.as_millis() as u32 + 5;
        if step < calm_start {
            return;
        }
        if step >= self.healed_at && self.random.random_ratio(1, 40) {
            let sides = self.random.random_range(2..=3);
            for side in &mut self.sides {
                *side = self.random.random_range(0..sides);
            }
            let most = self.trouble.longest_cut;
            self.healed_at = step + self.random.random_range(most / 4..=most);
        } else if step == self.healed_at {
            self.sides.fill(0);
        }
        for index in 0..self.daemons.len() {
            if self.random.random_ratio(self.trouble.kills, 1_000) {
                let incarnation = self.daemons[index].incarnation + 1;
                let back = self.now + STEP * self.random.random_range(1..20);
                let mut daemon = Daemon::start(index, incarnation, false, self.is_cold, back);
                daemon.silent_until = back;
                self.daemons[index] = daemon;
            } else if self.random.random_ratio(self.trouble.pauses, 1_000) {
                let pause = STEP * self.random.random_range(1..40);
                self.daemons[index].silent_until = self.now + pause;
            }
        }
    }

    fn exchange(&mut self, step: u32) {
        let now = self.now;
        let count = self.daemons.len();
        for from in 0..count {
            if self.daemons[from].silent_until > now {
                continue;
            }
            let mut targets: Vec<usize> = (0..count).filter(|&to| to != from).collect();
            targets.shuffle(&mut self.random);
            targets.truncate(FANOUT);
            let heartbeat = self.daemons[from].heartbeat(&mut self.random, now);
            for to in targets {
                if self.sides[from] != self.sides[to] || self.chance(self.trouble.lost) {
                    continue;
                }
                if self.chance(self.trouble.repeated) {
                    let at = step + self.random.random_range(1..30);
                    self.late.push((at, from, to, heartbeat.clone()));
                }
                self.deliver(from, to, &heartbeat);
            }
        }
        let due: Vec<_> = self.late.extract_if(.., |(at, ..)| *at <= step).collect();
        for (_, from, to, heartbeat) in due {
            self.deliver(from, to, &heartbeat);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, heartbeat: &Heartbeat) {
        let daemon = &mut self.daemons[to];
        // A daemon that is killed or paused loses what comes: its socket is gone or full.
        if daemon.silent_until <= self.now {
            daemon.hear(from, heartbeat, self.now);
        }
    }

    fn chance(&mut self, of_hundred: u32) -> bool {
        self.random.random_ratio(of_hundred, 100)
    }
}

/// The largest number of `times` in any window.
fn most_in(window: Duration, times: &[Instant]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, &time) in times.iter().enumerate() {
        while time.duration_since(times[first]) >= window {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

fn cold_sends(seed: u64, trouble: Trouble) -> Vec<Instant> {
    let mut times = Vec::new();
    Fleet::new(seed, trouble, true).run(|daemon, _, _, now| {
        while daemon.send(false, now) {
            times.push(now);
        }
    });
    times
}

fn assert_cold(seed: u64, trouble: Trouble) {
    let times = cold_sends(seed, trouble);
    let most = most_in(Duration::from_secs(1), &times);
    let bound = COLD.total(COLD_RATE);
    assert!(most as f64 <= bound, "seed {seed}: {most} in a second, the bound is {bound}");
    let seconds = (STEP * trouble.steps).as_secs_f64();
    let mean = times.len() as f64 / seconds;
    assert!(mean > bound * 0.2, "seed {seed}: only {mean} a second, so the right is not used");
}

#[test]
fn a_cold_backend_server_gets_no_more_than_it_bears() {
    for seed in 0..30 {
        assert_cold(seed, TROUBLE);
    }
}

/// A partition that outlasts every timer of heartbeats: both sides go on with their own parts.
#[test]
fn a_cold_backend_server_gets_no_more_in_a_partition_of_minutes() {
    let trouble = Trouble { steps: 3_000, longest_cut: 2_400, kills: 0, ..TROUBLE };
    for seed in 0..6 {
        assert_cold(seed, trouble);
    }
}

/// More daemons than requests: rendezvous hashing names the senders.
#[test]
fn a_cold_backend_server_of_a_large_fleet_gets_no_more_than_it_bears() {
    let trouble = Trouble { daemons: 40, steps: 300, kills: 2, ..TROUBLE };
    for seed in 0..4 {
        assert_cold(seed, trouble);
    }
}

#[test]
fn repeats_stay_within_the_budget() {
    for seed in 0..20 {
        let (mut first, mut again) = (Vec::new(), Vec::new());
        Fleet::new(seed, TROUBLE, false).run(|daemon, random, _, now| {
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
        let trouble = Trouble { kills: 0, ..TROUBLE };
        let mut fleet = Fleet::new(seed, trouble, false);
        let mut shares = vec![0; trouble.daemons];
        fleet.run(|daemon, _, step, _| {
            shares[daemon.index] = daemon.decider.connections(&server().name);
            let sum: usize = shares.iter().sum();
            // Before the first heartbeats nobody knows the others.
            assert!(step < 5 || sum <= MAX_CONNECTIONS as usize, "seed {seed}: {sum}");
        });
    }
}

/// A request that breaks each backend server that runs it comes again at any daemon. Whoever saw it
/// tells the others, and after the third nobody on the same side runs it.
#[test]
fn a_request_that_breaks_backend_servers_is_stopped_on_each_side() {
    const POISON: Fingerprint = Fingerprint(7);
    for seed in 0..40_u64 {
        let mut random = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut daemons: Vec<Suspects> = (0..9).map(|_| Suspects::default()).collect();
        let (mut crashes, mut stopped_at) = ([0_u32; 2], [None; 2]);
        for step in 0..300_u32 {
            let at = now + STEP * step;
            // A third of the daemons is cut off from the others for the first half.
            let side = |index: usize| usize::from(step < 150 && index < 3);
            for from in 0..daemons.len() {
                let told = daemons[from].told(at);
                for (to, daemon) in daemons.iter_mut().enumerate() {
                    if to != from && side(from) == side(to) && random.random_ratio(8, 10) {
                        daemon.merge(&told, at);
                    }
                }
            }
            // The request comes twice a second.
            if step % 5 == 0 {
                let index = random.random_range(0..daemons.len());
                if daemons[index].standing(POISON, at) != Standing::Quarantined {
                    let server = Backend::new(&format!("engine-{step}"));
                    daemons[index].broke(&server, POISON, at);
                    daemons[index].died(&server, at);
                    crashes[side(index)] += 1;
                    stopped_at[side(index)] = Some(step);
                }
            }
        }
        assert!(crashes[1] <= 3 && crashes[0] <= 3, "seed {seed}: {crashes:?} {stopped_at:?}");
    }
}
