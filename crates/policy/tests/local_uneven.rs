//! Local placement on uneven engines, by many daemons with stale views.

mod local;

use std::time::{Duration, Instant};

use hyssop_policy::local::{
    decider::{Decision, Reason},
    demand::Demand,
    server::Load,
};
use local::*;

/// Running requests fill the KV cache, the shared prefixes are evicted, and each further prompt is
/// prefilled whole. Requests that hold little are served as before.
#[test]
fn memory_that_shared_prefixes_need_is_not_given_to_long_prompts() {
    let now = Instant::now();
    let mut decider = decider("a");
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
    let mut decider = decider("a");
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
