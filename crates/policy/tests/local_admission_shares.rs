//! Shares of workspaces in a simulated fleet whose daemons have stale views of each other.

#[path = "local/mod.rs"]
mod local;
use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_policy::local::{
    admission::shares::Shares,
    decider::{Decider, Decision, End, Reason, Settings},
    demand::{Demand, Workspace},
    holders::Membership,
    server::{SendId, Server},
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use self::local::{engine, prefill_heavy, settings};

const STEP: Duration = Duration::from_millis(5);
const WORKSPACES: u32 = 20;
/// The workspace that sends more than usual.
const NOISY: u32 = 3;
const NOISY_RATE: f64 = 7.5;
const SECONDS: f64 = 12.0;
/// Prompt tokens that an engine of the simulation prefills per ms.
const TOKENS_PER_MS: f64 = 35.0;

struct InFlight {
    daemon: usize,
    engine: usize,
    send_id: SendId,
    first: Instant,
    end: Instant,
    begun: bool,
}

/// What happened to the requests of a fleet.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests and those in time, of the noisy workspace and of the others.
    sent: [f64; 2],
    in_time: [f64; 2],
    /// Requests of the largest tenth of the other workspaces, and those served.
    large: [f64; 2],
    refused_by_share: [u32; 2],
    /// Starts of the noisy workspace above its share, at a daemon that has just refused a workspace
    /// below its share.
    wrong_starts: u32,
}

impl Outcome {
    fn ratio(&self, of: usize) -> f64 {
        self.in_time[of] / self.sent[of]
    }
}

struct Fleet {
    deciders: Vec<Decider>,
    free_at: Vec<Instant>,
    in_flight: Vec<InFlight>,
    /// When a request of a workspace below its share was last refused at each daemon.
    refused_at: Vec<Option<Instant>>,
    random: StdRng,
    /// The workspace and the tokens of each start, to compute shares with exact knowledge.
    starts: Vec<(Instant, u32, f64)>,
    outcome: Outcome,
}

impl Fleet {
    fn new(daemons: usize, engines: usize, fair_shares: bool, start: Instant) -> Self {
        let decider = |index: usize| {
            let own_hash = index as u32;
            let mut decider = Decider::new(Settings { own_hash, fair_shares, ..settings("a") });
            decider.set_members((0..daemons as u32).collect(), Membership::Converged);
            decider.set_servers((0..engines as u32).map(fetching_engine).collect());
            decider
        };
        Self {
            deciders: (0..daemons).map(decider).collect(),
            free_at: vec![start; engines],
            in_flight: Vec::new(),
            refused_at: vec![None; daemons],
            random: StdRng::seed_from_u64(7),
            starts: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    /// Each daemon's heartbeat reaches the daemons of its third of the fleet more often.
    fn exchange_heartbeats(&mut self, step: u64, now: Instant) {
        let periods = if self.deciders.len() > 16 { [30, 100] } else { [20, 40] };
        for from in 0..self.deciders.len() {
            let due = periods.map(|period| (step + from as u64 * 7).is_multiple_of(period));
            if due == [false; 2] {
                continue;
            }
            let loads = self.deciders[from].own_loads(now);
            let reports = self.deciders[from].shortages(now);
            let address = IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0001 + from as u32));
            for to in (0..self.deciders.len()).filter(|&to| to != from) {
                if due[usize::from(to % 3 != from % 3)] {
                    self.deciders[to].record_peer(address, &loads, now);
                    self.deciders[to].record_shortages_of_peer(address, &reports, now);
                }
            }
        }
    }

    fn finish_requests(&mut self, now: Instant) {
        for request in &mut self.in_flight {
            let decider = &mut self.deciders[request.daemon];
            let name = engine(request.engine as u32).name;
            if !request.begun && request.first <= now {
                request.begun = true;
                decider.record_first_event(&name, request.send_id, request.first);
            }
            if request.end <= now {
                decider.record_end(&name, request.send_id, End::Complete, now);
            }
        }
        self.in_flight.retain(|request| request.end > now);
    }

    /// Whether a workspace has had more than the equal share of what the fleet started.
    fn is_above_share(&self, workspace: u32, now: Instant) -> bool {
        let recent = self.starts.iter().rev();
        let recent = recent.take_while(|(at, ..)| now - *at <= Duration::from_secs(2));
        let (mut own, mut all) = (0.0, 0.0);
        for (_, other, tokens) in recent {
            all += tokens;
            own += if *other == workspace { *tokens } else { 0.0 };
        }
        own > all / f64::from(WORKSPACES)
    }

    /// Returns when the caller returns, if it was refused.
    fn send(&mut self, demand: &Demand, began: Instant, now: Instant) -> Option<Instant> {
        let daemon = self.random.random_range(0..self.deciders.len());
        let decider = &mut self.deciders[daemon];
        let noisy = usize::from(demand.workspace().hash != NOISY);
        let decision = decider.place_request(demand, now);
        let placement = match decision {
            Decision::Send(placement) => placement,
            Decision::Refuse { reason, retry_after, .. } => {
                self.outcome.refused_by_share[noisy] += u32::from(reason == Reason::Share);
                if !self.is_above_share(demand.workspace().hash, now) {
                    self.refused_at[daemon] = Some(now);
                }
                return Some(now + retry_after);
            }
        };
        let send_id = decider.record_sent(&placement, demand, now);
        let just_refused =
            self.refused_at[daemon].is_some_and(|at| now - at < Duration::from_millis(100));
        if noisy == 0 && just_refused && self.is_above_share(NOISY, now) {
            self.outcome.wrong_starts += 1;
        }
        self.starts.push((now, demand.workspace().hash, f64::from(demand.unshared_tokens())));
        let engine = (0..self.free_at.len())
            .find(|&index| engine(index as u32).name == placement.server)
            .expect("a server of the fleet");
        let prefill = f64::from(placement.uncached_tokens) / TOKENS_PER_MS / 1e3;
        self.free_at[engine] = self.free_at[engine].max(now) + Duration::from_secs_f64(prefill);
        let fetch = if placement.cache_source.is_some() { 46 } else { 0 };
        let first = self.free_at[engine] + Duration::from_millis(40 + fetch);
        let end = first + Duration::from_millis(300);
        self.outcome.in_time[noisy] += f64::from(u8::from(first - began <= demand.target));
        if demand.unshared_tokens() > 4_500 && noisy == 1 {
            self.outcome.large[1] += 1.0;
        }
        self.in_flight.push(InFlight { daemon, engine, send_id, first, end, begun: false });
        None
    }
}

/// An engine that fetches the KV cache of shared prefixes, so that capacity hardly depends on where
/// requests are placed.
fn fetching_engine(index: u32) -> Server {
    Server { fetch_tokens_per_ms: Some(137.0), ..engine(index) }
}

fn demand(workspace: u32, id: u64, random: &mut StdRng, began: Instant) -> Demand {
    let mut demand = Demand {
        workspace: Some(Workspace { hash: workspace, weight: 1 }),
        target: Duration::from_millis(800),
        deadline: began + Duration::from_secs(5),
        ..prefill_heavy(random.random_range(0..100), began)
    };
    let own = demand.segments.last_mut().expect("three segments");
    (own.id, own.tokens) = (1 << 40 | id, random.random_range(1_000..4_900));
    demand.prompt_tokens = demand.segments.iter().map(|segment| segment.tokens).sum();
    demand
}

/// Simulates a fleet at three quarters of its capacity, while one workspace sends `rate` times its
/// usual.
fn simulate(daemons: usize, engines: usize, fair_shares: bool, rate: f64) -> Outcome {
    let start = Instant::now();
    let mut fleet = Fleet::new(daemons, engines, fair_shares, start);
    let usual = engines as f64 * TOKENS_PER_MS * 1e3 / 3_000.0 * 0.75 / f64::from(WORKSPACES);
    // A generator for each workspace, so that the others send the same in both runs.
    let mut arrivals: Vec<(Duration, u32, Demand, Instant)> = Vec::new();
    for workspace in 0..WORKSPACES {
        let mut random = StdRng::seed_from_u64(u64::from(workspace));
        let rate = if workspace == NOISY { usual * rate } else { usual };
        let mut at = 0.0;
        while at < SECONDS {
            at -= (1.0 - random.random::<f64>()).ln() / rate;
            let began = start + Duration::from_secs_f64(at);
            let id = u64::from(workspace) << 32 | arrivals.len() as u64;
            let demand = demand(workspace, id, &mut random, began);
            let noisy = usize::from(workspace != NOISY);
            // The noisy workspace is unknown at the begin, and its excess is detected first.
            fleet.outcome.sent[noisy] += 1.0;
            fleet.outcome.large[0] +=
                f64::from(u8::from(noisy == 1 && demand.unshared_tokens() > 4_500));
            arrivals.push((Duration::from_secs_f64(at), 0, demand, began));
        }
    }
    arrivals.sort_by_key(|(at, ..)| std::cmp::Reverse(*at));
    for step in 0..(SECONDS / STEP.as_secs_f64()) as u64 + 1_000 {
        let now = start + STEP * step as u32;
        fleet.finish_requests(now);
        fleet.exchange_heartbeats(step, now);
        while let Some((_, tries, mut demand, began)) =
            arrivals.pop_if(|(at, ..)| start + *at <= now)
        {
            demand.is_returning = tries > 0;
            demand.arrived = now;
            if let Some(back) = fleet.send(&demand, began, now).filter(|_| tries == 0) {
                let at = back - start;
                let index = arrivals.partition_point(|(other, ..)| *other > at);
                arrivals.insert(index, (at, 1, demand, began));
            }
        }
    }
    fleet.outcome
}

fn assert_isolated(daemons: usize, engines: usize) {
    let usual = simulate(daemons, engines, true, 1.0);
    let noisy = simulate(daemons, engines, true, NOISY_RATE);
    let unfair = simulate(daemons, engines, false, NOISY_RATE);
    let figures = format!(
        "usual {:.3}, noisy {:.3}, without shares {:.3}; {usual:?}, {noisy:?}, {unfair:?}",
        usual.ratio(1),
        noisy.ratio(1),
        unfair.ratio(1)
    );
    assert!(noisy.ratio(1) >= usual.ratio(1) * 0.95, "{figures}");
    // The noisy workspace keeps its usual load: it has a share too.
    assert!(noisy.in_time[0] >= usual.in_time[0] * 0.95, "{figures}");
    // The largest tenth is served as others are.
    let served = noisy.large[1] / noisy.large[0];
    assert!(served >= noisy.ratio(1) * 0.95, "{figures}");
}

/// Guards against a refused workspace below its share whose place one above its share takes.
#[test]
fn none_below_its_share_is_refused_while_one_above_begins_at_nine_daemons() {
    assert_eq!(simulate(9, 18, true, NOISY_RATE).wrong_starts, 0);
}

/// The same with the views of many daemons.
#[test]
fn none_below_its_share_is_refused_while_one_above_begins_at_85_daemons() {
    assert_eq!(simulate(85, 60, true, NOISY_RATE).wrong_starts, 0);
}

/// Guards against a workspace at 7.5 times its usual rate that takes capacity from the others.
#[test]
fn a_noisy_workspace_does_not_lower_what_others_get_at_nine_daemons() {
    assert_isolated(9, 18);
}

/// Guards against shares that each of many daemons grants in full, and against stale reports.
#[test]
fn a_noisy_workspace_does_not_lower_what_others_get_at_85_daemons() {
    assert_isolated(85, 60);
}

/// Guards against requests that are refused by share while engines have room.
#[test]
fn unused_shares_are_lent() {
    let start = Instant::now();
    let mut fleet = Fleet::new(9, 60, true, start);
    let mut random = StdRng::seed_from_u64(1);
    for number in 0..600 {
        let now = start + Duration::from_millis(10) * number;
        fleet.finish_requests(now);
        fleet.exchange_heartbeats(u64::from(number) * 2, now);
        let demand = demand(NOISY, u64::from(number), &mut random, now);
        assert_eq!(fleet.send(&demand, now, now), None, "{number}");
    }
}

/// Guards against silent peers whose reports count on.
#[test]
fn silent_peers_count_for_nothing() {
    let now = Instant::now();
    let workspace = Workspace { hash: 1, weight: 1 };
    let (mut own, mut peer) = (Shares::default(), Shares::default());
    peer.offer(workspace, 100.0, 0.0, now);
    peer.record_refusal(now);
    let report = peer.report(1, 4, now).expect("capacity is short");
    own.record_report(IpAddr::V4(Ipv4Addr::LOCALHOST), report, now);
    assert!(own.is_short(now + Duration::from_millis(1_400)));
    assert!(!own.is_short(now + Duration::from_millis(1_501)));
}
