//! Hedges: second runs of requests whose responses are late.

mod local;

use std::time::{Duration, Instant};

use hyssop_document::name::Backend;
use hyssop_policy::local::{
    decider::{Decider, Decision, End, Placement, Settings},
    demand::Demand,
    hedge::{Hedge, Reason},
    holders::Membership,
    repeats::Bound,
    server::{SendId, Server},
};
use local::*;

/// A hedge for one in twenty requests, and two on top.
const HEDGES: Bound = Bound { ratio: 0.05, burst: 2.0, window: Duration::from_secs(10) };
/// The usual time of a response in these tests.
const USUAL: Duration = Duration::from_millis(20);

fn hedging_decider(own_hash: u32, members: &[u32], hedges: Option<Bound>) -> Decider {
    let mut decider = Decider::new(Settings { own_hash, hedges, ..settings("a") });
    decider.set_members(members.to_vec(), Membership::Converged);
    decider.set_servers((0..3).map(service).collect());
    decider
}

fn send(decider: &mut Decider, demand: &Demand, now: Instant) -> (Placement, SendId) {
    let placement = expect_send(&decider.place_request(demand, now)).clone();
    let send_id = decider.record_sent(&placement, demand, now);
    (placement, send_id)
}

/// Sends a request, which takes `time`.
fn serve(decider: &mut Decider, time: Duration, now: Instant) {
    let (placement, send_id) = send(decider, &plain_request(now), now);
    decider.record_first_event(&placement.server, send_id, now + time);
    decider.record_end(&placement.server, send_id, End::Complete, now + time);
}

/// Serves 100 requests a second at their usual time until `now + seconds`, and returns that time.
fn serve_usual(decider: &mut Decider, seconds: u64, now: Instant) -> Instant {
    for step in 0..seconds * 100 {
        serve(decider, USUAL, now + Duration::from_millis(step * 10));
    }
    now + Duration::from_secs(seconds)
}

/// What is decided about a request that has waited for `waited` at `first`.
fn decide(decider: &mut Decider, first: &Placement, waited: Duration, sent: Instant) -> Hedge {
    decider.place_hedge(&plain_request(sent), first, waited, sent + waited)
}

/// Keeps a daemon without a limit from running requests twice.
#[test]
fn nothing_is_hedged_without_a_limit() {
    let now = Instant::now();
    let mut decider = hedging_decider(1, &[1], None);
    let (placement, _) = send(&mut decider, &plain_request(now), now);
    assert_eq!(decider.hedge_delay(&placement, &plain_request(now)), None);
    let late = Duration::from_secs(1);
    assert_eq!(decide(&mut decider, &placement, late, now), Hedge::No(Reason::Limit));
}

/// One server stalls: the request goes to another one, once it is later than nearly all responses.
#[test]
fn a_response_that_is_late_for_its_server_is_hedged_elsewhere() {
    let mut decider = hedging_decider(1, &[1], Some(HEDGES));
    let now = serve_usual(&mut decider, 3, Instant::now());
    let (first, _) = send(&mut decider, &plain_request(now), now);
    let delay = decider.hedge_delay(&first, &plain_request(now)).expect("hedges are on");
    assert!(delay >= first.predicted && delay < Duration::from_millis(80), "{delay:?}");
    match decide(&mut decider, &first, Duration::from_millis(100), now) {
        Hedge::Send(second) => assert_ne!(second.server, first.server),
        other => panic!("{other:?}"),
    }
}

/// A second server that would respond no sooner than the first is only work for nothing.
#[test]
fn a_response_that_is_hardly_late_is_awaited() {
    let mut decider = hedging_decider(1, &[1], Some(HEDGES));
    let now = serve_usual(&mut decider, 3, Instant::now());
    let (first, _) = send(&mut decider, &plain_request(now), now);
    let waited = first.predicted + Duration::from_millis(1);
    match decide(&mut decider, &first, waited, now) {
        Hedge::Wait(until) => assert!(until > waited, "{until:?}"),
        other => panic!("{other:?}"),
    }
}

/// Where responses vary much, a late one is usual, and is hedged later.
#[test]
fn the_delay_follows_the_spread_of_responses() {
    let delay = |times: [u64; 2]| {
        let mut decider = hedging_decider(1, &[1], Some(HEDGES));
        let now = Instant::now();
        for step in 0..600 {
            let time = Duration::from_millis(times[usize::from(step % 8 == 0)]);
            serve(&mut decider, time, now + Duration::from_millis(step * 10));
        }
        let now = now + Duration::from_secs(7);
        let (first, _) = send(&mut decider, &plain_request(now), now);
        let delay = decider.hedge_delay(&first, &plain_request(now)).expect("hedges are on");
        delay.div_duration_f64(first.predicted)
    };
    let (even, uneven) = (delay([20, 20]), delay([20, 200]));
    assert!(even < 2.0 && uneven > 2.0 * even, "{even} {uneven}");
}

/// Load grows until the servers are half full: hedges end before they would add to the queues.
#[test]
fn hedges_end_as_load_grows() {
    let mut decider = hedging_decider(1, &[1], Some(Bound { burst: 1_000.0, ..HEDGES }));
    let now = serve_usual(&mut decider, 3, Instant::now());
    let (first, _) = send(&mut decider, &plain_request(now), now);
    let late = Duration::from_millis(200);
    let mut last = None;
    for running in 1..=18 {
        let hedge = decide(&mut decider, &first, late, now);
        let is_sent = matches!(hedge, Hedge::Send(_));
        assert_eq!(is_sent, running <= 9, "{running} requests in 18 slots: {hedge:?}");
        last = Some(hedge);
        send(&mut decider, &plain_request(now), now);
    }
    assert_eq!(last, Some(Hedge::No(Reason::Capacity)));
}

/// While callers are refused for lack of capacity, nobody gets two servers.
#[test]
fn nothing_is_hedged_while_requests_are_refused() {
    let now = Instant::now();
    let mut decider = hedging_decider(1, &[1], Some(HEDGES));
    decider.set_servers((0..4).map(engine).collect());
    let demand = prefill_heavy(1, now);
    let (first, _) = send(&mut decider, &demand, now);
    let refused = (2..2_000).find(|&prefix| {
        let demand = prefill_heavy(prefix, now);
        match decider.place_request(&demand, now) {
            Decision::Send(placement) => {
                decider.record_sent(&placement, &demand, now);
                false
            }
            Decision::Refuse { .. } => true,
        }
    });
    assert!(refused.is_some(), "the load is never too high");
    // All other requests end: only the refusal is left.
    decider.set_servers((0..4).map(|index| Server { incarnation: 2, ..engine(index) }).collect());
    let hedge = |decider: &mut Decider, at: Instant| {
        decider.place_hedge(&demand, &first, Duration::from_millis(700), at)
    };
    let soon = now + Duration::from_millis(500);
    assert_eq!(hedge(&mut decider, soon), Hedge::No(Reason::Capacity));
    let later = now + Duration::from_millis(1_500);
    assert!(matches!(hedge(&mut decider, later), Hedge::Send(_)));
}

/// Two daemons hedge to the same idle server: the one that sees the other's hedge goes elsewhere.
#[test]
fn daemons_do_not_all_hedge_to_one_server() {
    let mut deciders = [1, 2].map(|own| hedging_decider(own, &[1, 2], Some(HEDGES)));
    let mut now = Instant::now();
    for decider in &mut deciders {
        decider.set_servers((0..3).map(service).collect());
        now = serve_usual(decider, 3, Instant::now()).max(now);
    }
    let [one, two] = &mut deciders;
    let late = Duration::from_millis(150);
    let (first, _) = send(one, &plain_request(now), now);
    let Hedge::Send(second) = decide(one, &first, late, now) else { panic!("not hedged") };
    one.record_hedge_sent(&second, &plain_request(now), now + late);
    let at = now + late;
    two.record_peer(PEER, &one.own_loads(at), at);
    let Hedge::Send(other) = decide(two, &first, late, now) else { panic!("not hedged") };
    assert_ne!(other.server, second.server);
}

/// In a partition no daemon knows what the others use: the sum of hedges still keeps the bound, and
/// hedges keep half of the retry budget for requests that failed.
#[test]
fn the_sum_of_hedges_stays_within_both_bounds() {
    for daemons in [1, 3, 9, 85] {
        let members: Vec<u32> = (1..=daemons).collect();
        let start = Instant::now();
        let (mut requests, mut hedges) = (0, 0);
        for &own in &members {
            let mut decider = hedging_decider(own, &members, Some(HEDGES));
            for step in 0..1_000_u64 {
                let now = start + Duration::from_millis(step * 10);
                let demand = plain_request(now);
                let (first, send_id) = send(&mut decider, &demand, now);
                requests += 1;
                let late = Duration::from_millis(300);
                if let Hedge::Send(second) = decide(&mut decider, &first, late, now) {
                    let hedge = decider.record_hedge_sent(&second, &demand, now);
                    decider.record_end(&second.server, hedge, End::Cancelled, now);
                    hedges += 1;
                }
                decider.record_first_event(&first.server, send_id, now + USUAL);
                decider.record_end(&first.server, send_id, End::Complete, now + USUAL);
            }
        }
        let bound = HEDGES.ratio * f64::from(requests) + HEDGES.burst;
        assert!(f64::from(hedges) <= bound, "{daemons} daemons: {hedges} of {bound}");
        assert!(f64::from(hedges) >= bound * 0.5, "{daemons} daemons: {hedges} of {bound}");
    }
}

/// Before a daemon knows all members, it has no part of the burst: nothing is hedged after a restart
/// until requests have earned it.
#[test]
fn a_daemon_that_has_just_started_uses_no_burst() {
    let now = Instant::now();
    let bound = Bound { ratio: 0.0, burst: 100.0, ..HEDGES };
    let mut decider = hedging_decider(1, &[1], Some(bound));
    decider.set_members(vec![1], Membership::Partial);
    let (first, _) = send(&mut decider, &plain_request(now), now);
    let late = Duration::from_millis(300);
    assert_eq!(decide(&mut decider, &first, late, now), Hedge::No(Reason::Limit));
    decider.set_members(vec![1], Membership::Converged);
    assert!(matches!(decide(&mut decider, &first, late, now), Hedge::Send(_)));
}

/// A loser that was cancelled counts neither as a failure nor as load of its server.
#[test]
fn the_loser_of_a_race_leaves_no_trace() {
    let mut decider = hedging_decider(1, &[1], Some(HEDGES));
    let now = serve_usual(&mut decider, 3, Instant::now());
    let (first, send_id) = send(&mut decider, &plain_request(now), now);
    let long_after = now + Duration::from_secs(2);
    decider.record_end(&first.server, send_id, End::Cancelled, long_after);
    let own = decider.own_loads(long_after);
    let of_first = own.iter().find(|(hash, ..)| *hash == hash_of(&first.server));
    assert_eq!(of_first.map(|(_, load, _)| load.running).unwrap_or_default(), 0);
    let mut placed: Vec<Backend> = Vec::new();
    for _ in 0..3 {
        let (placement, _) = send(&mut decider, &plain_request(long_after), long_after);
        placed.push(placement.server);
    }
    assert!(placed.contains(&first.server), "{placed:?}");
}

fn hash_of(server: &Backend) -> u32 {
    let found = (0..3).map(service).find(|service| service.name == *server);
    found.expect("one of the services").hash
}
