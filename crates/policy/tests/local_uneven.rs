//! Local placement on uneven engines, by many daemons with stale views.

mod local;

use std::time::{Duration, Instant};

use hyssop_document::name::Backend;
use hyssop_policy::local::{
    affinity::{self, Speed},
    decider::{Decision, End, Reason},
    demand::Demand,
    server::Load,
};
use local::*;

/// Running requests fill the KV cache, the shared prefixes are evicted, and each further prompt is
/// prefilled whole. Requests that hold little are served as before.
#[test]
fn memory_that_shared_prefixes_need_is_not_given_to_long_prompts() {
    let now = Instant::now();
    let mut decider = sharing_decider("a");
    decider.set_servers(vec![engine(0)]);
    let mut place = |held_tokens, demand: &Demand| {
        let load = Load { running: 20, held_tokens, ..Load::default() };
        decider.record_peer(PEER, &[(engine(0).hash, load, Duration::ZERO)], now);
        decider.place_request(demand, now)
    };
    let half = engine(0).cache_tokens.unwrap() as u32 / 2;
    let long = prefill_heavy(7, now);
    expect_send(&place(half - 10_000, &long));
    let refused = place(half + 10_000, &long);
    assert!(matches!(refused, Decision::Refuse { reason: Reason::Overload, .. }), "{refused:?}");
    expect_send(&place(half + 10_000, &decode_heavy(7, now)));
    expect_send(&place(half + 10_000, &Demand { may_have_run: true, is_repeat: true, ..long }));
}

/// The prompts that wait at an engine are prefilled between the events of the responses that run
/// there, which then break their gap limit. The size of the request itself must not matter.
#[test]
fn a_prompt_is_refused_while_waiting_ones_break_the_gap_limit() {
    let now = Instant::now();
    let mut decider = sharing_decider("a");
    decider.set_servers(vec![engine(0)]);
    let mut place = |pending_tokens, demand: &Demand| {
        let load = Load { running: 5, pending_tokens, ..Load::default() };
        decider.record_peer(PEER, &[(engine(0).hash, load, Duration::ZERO)], now);
        decider.place_request(demand, now)
    };
    let free = Demand { target: Duration::from_secs(2), ..prefill_heavy(7, now) };
    let limited = Demand { max_event_gap: Some(Duration::from_millis(500)), ..free.clone() };
    let large = Demand { prompt_tokens: limited.prompt_tokens + 8_000, ..limited.clone() };
    // 80 prompt tokens per ms before the first measurement.
    for (pending_tokens, demand, refused) in [
        (50_000, &free, false),
        (50_000, &limited, true),
        (30_000, &limited, false),
        (30_000, &large, false),
    ] {
        let decision = place(pending_tokens, demand);
        let is_refused = matches!(decision, Decision::Refuse { reason: Reason::Overload, .. });
        assert_eq!(is_refused, refused, "{pending_tokens}: {decision:?}");
    }
}

fn speed(slowness: f64) -> Speed {
    let mut speed = Speed::default();
    speed.update(slowness);
    speed
}

/// A slow engine that is the first choice of as many prefixes as a fast one is behind in each burst.
#[test]
fn engines_are_first_choice_of_as_many_prefixes_as_their_speeds_allow() {
    let share = |engine: u32| speed(if engine.is_multiple_of(4) { 2.0 } else { 1.0 }).share();
    let first_choice = |prefix: u64| {
        let score =
            |engine: u32| affinity::score(engine.wrapping_mul(0x9e37_79b1), prefix, share(engine));
        (0..60).max_by(|&a, &b| score(a).total_cmp(&score(b))).unwrap()
    };
    let slow = (0..7_000).filter(|&prefix| first_choice(prefix).is_multiple_of(4)).count();
    assert!((900..1_100).contains(&slow), "{slow} of 7000 at engines with a seventh of the speed");
}

/// Daemons whose estimates differ, or vary over time, would each expect a prefix elsewhere.
#[test]
fn small_differences_of_speed_move_no_prefix() {
    for slowness in [0.9, 1.0, 1.12] {
        assert_eq!(speed(slowness), Speed::default(), "{slowness}");
    }
    assert_eq!(speed(1.75).share(), 0.5_f64.powf(0.75));
    let mut varying = speed(2.0);
    for slowness in [1.8, 2.2, 1.85] {
        varying.update(slowness);
        assert_eq!(varying, speed(2.0), "{slowness}");
    }
    varying.update(1.0);
    assert_eq!(varying, Speed::default());
}

/// The placement must use the measured speeds: without them the two engines share the prefixes.
#[test]
fn a_slow_engine_gets_fewer_prefixes() {
    let now = Instant::now();
    let mut decider = sharing_decider("a");
    decider.set_servers((0..2).map(engine).collect());
    let patient =
        |prefix, now| Demand { target: Duration::from_secs(3), ..prefill_heavy(prefix, now) };
    let at = |index| Backend::new(&format!("engine-{index}"));
    for round in 0..12_u64 {
        let sent = now + Duration::from_secs(20 * round);
        for (index, took_ms) in [(0, 800), (1, 200)] {
            let demand = Demand { excluded: vec![at(1 - index)], ..patient(round, sent) };
            let decision = decider.place_request(&demand, sent);
            let placement = expect_send(&decision).clone();
            let id = decider.record_sent(&placement, &demand, sent);
            let first = sent + Duration::from_millis(took_ms);
            decider.record_first_event(&placement.server, id, first);
            decider.record_end(&placement.server, id, End::Complete, first);
        }
    }
    let later = now + Duration::from_secs(1_000);
    let of_slow = (1_000..1_200)
        .filter(|&prefix| {
            let decision = decider.place_request(&patient(prefix, later), later);
            expect_send(&decision).server == at(0)
        })
        .count();
    assert!(of_slow < 75, "{of_slow} of 200 prefixes are at the slow engine");
}
