//! Which requests are refused first when engines fall behind.

mod local;

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_document::number::Tier;
use hyssop_policy::local::{
    decider::{Decider, Decision, End},
    demand::{Demand, Segment},
    holders::Membership,
    server::{Load, SendId, Server},
};
use local::*;

/// An urgent question with a tight target.
fn question(number: u64, now: Instant) -> Demand {
    let segments = vec![
        Segment { id: 10_000 + number % 80, tokens: 3_800 },
        Segment { id: 2_000_000 + number, tokens: 2_900 },
    ];
    Demand {
        route_tier: Tier(1),
        prompt_tokens: 6_700,
        segments,
        target: Duration::from_millis(600),
        deadline: now + Duration::from_secs(6),
        ..prefill_heavy(0, now)
    }
}

/// A less urgent and much larger summary with a loose target.
fn summary(number: u64, now: Instant) -> Demand {
    let segments = vec![
        Segment { id: 20_000 + number % 80, tokens: 9_000 },
        Segment { id: 4_000_000 + number, tokens: 8_000 },
    ];
    Demand {
        route_tier: Tier(3),
        prompt_tokens: 17_000,
        segments,
        output_tokens: 120,
        target: Duration::from_secs(2),
        deadline: now + Duration::from_secs(12),
        ..prefill_heavy(0, now)
    }
}

fn is_sent(decision: &Decision) -> bool {
    matches!(decision, Decision::Send(_))
}

/// At equal load the kind with the tight target missed it first and was refused, while the less
/// urgent one with the loose target still began.
#[test]
fn a_less_urgent_request_is_refused_before_a_more_urgent_one() {
    let now = Instant::now();
    let engines: Vec<Server> = (0..6).map(engine).collect();
    let mut decider = decider("a");
    decider.set_servers(engines.clone());
    let mut refused_alone = 0;
    for step in 0..40_u32 {
        let at = now + Duration::from_millis(100) * step;
        let load = Load { running: 5, pending_tokens: step * 5_000, ..Load::default() };
        let loads: Vec<_> = engines.iter().map(|e| (e.hash, load, Duration::ZERO)).collect();
        decider.record_peer(PEER, &loads, at);
        let question = is_sent(&decider.place_request(&question(0, at), at));
        let summary = is_sent(&decider.place_request(&summary(0, at), at));
        assert!(question || !summary, "{load:?}: the question was refused for the summary");
        refused_alone += u32::from(question && !summary);
    }
    assert!(refused_alone > 0, "both kinds are refused at the same load");
}

/// Requests of a kind that has not been received for a while keep no engine free.
#[test]
fn less_urgent_requests_use_all_engines_when_they_are_alone() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..6).map(engine).collect());
    let load = Load { running: 5, pending_tokens: 150_000, ..Load::default() };
    let loads: Vec<_> = (0..6).map(|i| (engine(i).hash, load, Duration::ZERO)).collect();
    decider.record_peer(PEER, &loads, now);
    assert!(is_sent(&decider.place_request(&summary(0, now), now)));
    assert!(!is_sent(&decider.place_request(&question(0, now), now)));
    assert!(!is_sent(&decider.place_request(&summary(1, now), now)));
    let later = now + Duration::from_secs(6);
    decider.record_peer(PEER, &loads, later);
    assert!(is_sent(&decider.place_request(&summary(2, later), later)));
}

/// A request in flight in [`Fleet`].
struct InFlight {
    daemon: usize,
    engine: usize,
    send_id: SendId,
    first_event: Duration,
}

/// Daemons with views that are as old as heartbeats, before engines that prefill prompts in order.
struct Fleet {
    start: Instant,
    engines: Vec<Server>,
    /// When each engine has prefilled all that was sent to it.
    free_at: Vec<Duration>,
    daemons: Vec<Decider>,
    in_flight: Vec<InFlight>,
}

/// The prefill speed of the engines.
const TOKENS_PER_MS: f64 = 54.6;
/// The interval in which each daemon gets the loads of each other one in a large fleet.
const HEARTBEAT_TURN_MS: u64 = 500;

impl Fleet {
    fn new(daemons: usize, engines: u32) -> Self {
        let engines: Vec<Server> = (0..engines).map(engine).collect();
        let daemon = |index: usize| {
            let mut decider = decider_of(index);
            decider.set_members((0..daemons as u32).collect(), Membership::Converged);
            decider.set_servers(engines.clone());
            decider
        };
        Self {
            start: Instant::now(),
            free_at: vec![Duration::ZERO; engines.len()],
            daemons: (0..daemons).map(daemon).collect(),
            in_flight: Vec::new(),
            engines,
        }
    }

    fn advance(&mut self, now: Duration) {
        let at = self.start + now;
        for request in self.in_flight.extract_if(.., |request| request.first_event <= now) {
            let decider = &mut self.daemons[request.daemon];
            let server = &self.engines[request.engine].name;
            decider.record_first_event(server, request.send_id, at);
            decider.record_end(server, request.send_id, End::Complete, at);
        }
        let ms = now.as_millis() as u64;
        let count = self.daemons.len();
        for from in 0..count {
            if !(ms + from as u64 * 37).is_multiple_of(HEARTBEAT_TURN_MS) {
                continue;
            }
            let loads = self.daemons[from].own_loads(at);
            let address = IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0001 + from as u32));
            for to in (0..count).filter(|&to| to != from) {
                self.daemons[to].record_peer(address, &loads, at);
            }
        }
    }

    /// Sends a request through a daemon. Returns whether it was sent.
    fn send(&mut self, daemon: usize, demand: &Demand, now: Duration) -> bool {
        let at = self.start + now;
        let decider = &mut self.daemons[daemon];
        let Decision::Send(placement) = decider.place_request(demand, at) else { return false };
        let send_id = decider.record_sent(&placement, demand, at);
        let found = self.engines.iter().position(|engine| engine.name == placement.server);
        let engine = found.expect("the engine exists");
        let prefill = f64::from(placement.uncached_tokens) / TOKENS_PER_MS / 1e3;
        let free_at = self.free_at[engine].max(now) + Duration::from_secs_f64(prefill);
        self.free_at[engine] = free_at;
        let first_event = free_at + Duration::from_millis(70);
        self.in_flight.push(InFlight { daemon, engine, send_id, first_event });
        true
    }
}

fn decider_of(index: usize) -> Decider {
    use hyssop_policy::local::decider::Settings;
    let zone = hyssop_document::name::Zone::new("a");
    Decider::new(Settings {
        zone,
        own_hash: index as u32,
        start: past_start(),
        cold: COLD,
        repeats: REPEATS,
        hedges: None,
        fair_shares: false,
        shared_speeds: false,
    })
}

/// A burst that asks for one and a half times what the engines can prefill, most of it by less
/// urgent requests, at many daemons with old views.
#[test]
fn many_daemons_refuse_the_less_urgent_requests_first() {
    let mut fleet = Fleet::new(60, 12);
    // Questions take 0.3 of the engines, summaries 1.2.
    let (question_us, summary_us) = (14_700, 10_170);
    let (mut next_question, mut next_summary) = (0_u64, 0_u64);
    // Sent and refused questions, and sent summaries, in each second.
    let mut seconds = [[0_u32; 3]; 15];
    for ms in 0..15_000_u64 {
        let now = Duration::from_millis(ms);
        fleet.advance(now);
        while next_question * question_us < ms * 1_000 {
            let daemon = (next_question * 31 % 60) as usize;
            let demand = question(next_question, fleet.start + now);
            let sent = fleet.send(daemon, &demand, now);
            seconds[ms as usize / 1_000][usize::from(!sent)] += 1;
            next_question += 1;
        }
        while next_summary * summary_us < ms * 1_000 {
            let daemon = (next_summary * 17 % 60) as usize;
            let demand = summary(next_summary, fleet.start + now);
            seconds[ms as usize / 1_000][2] += u32::from(fleet.send(daemon, &demand, now));
            next_summary += 1;
        }
    }
    for window in seconds.windows(5) {
        let [sent, refused, summaries] = [0, 1, 2].map(|at| window.iter().map(|s| s[at]).sum());
        let (sent, refused, summaries): (u32, u32, u32) = (sent, refused, summaries);
        assert!(
            refused < 10 || refused * 12 <= sent + refused || summaries == 0,
            "{refused} questions refused and {sent} sent while {summaries} summaries began"
        );
    }
}

/// Workspaces may have a tier of their own. Engines admit their requests first; they must not keep
/// the engines from all other requests of the route, and a response of unusual length must not count
/// as a kind of its own.
#[test]
fn a_few_urgent_workspaces_do_not_keep_engines_from_the_others() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..6).map(engine).collect());
    let load = Load { running: 5, pending_tokens: 25_000, ..Load::default() };
    let loads: Vec<_> = (0..6).map(|i| (engine(i).hash, load, Duration::ZERO)).collect();
    decider.record_peer(PEER, &loads, now);
    let urgent = Demand { tier: Tier(1), ..question(0, now) };
    assert!(is_sent(&decider.place_request(&urgent, now)));
    for number in 0..20 {
        let letter = Demand { route_tier: Tier(0), ..decode_heavy(number, now) };
        assert!(is_sent(&decider.place_request(&letter, now)));
    }
    let short_letter = Demand { output_tokens: 1, route_tier: Tier(0), ..decode_heavy(99, now) };
    assert!(is_sent(&decider.place_request(&short_letter, now)));
    let decision = decider.place_request(&question(1, now), now);
    assert!(is_sent(&decision), "{decision:?}");
}
