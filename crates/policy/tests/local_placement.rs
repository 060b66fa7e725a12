//! Local placement: which backend server a daemon chooses and which requests it refuses.

mod local;

use std::time::{Duration, Instant};

use hyssop_document::name::Backend;
use hyssop_policy::local::{
    decider::{Decision, Reason},
    demand::Demand,
    holders::Membership,
    reservation::{self, Reservation},
    server::{Load, Server},
};
use local::*;

#[test]
fn daemons_choose_the_same_engine_for_a_shared_prefix() {
    let now = Instant::now();
    let mut one = decider("a");
    let mut other = decider("b");
    for decider in [&mut one, &mut other] {
        decider.set_servers((0..18).map(engine).collect());
    }
    for prefix in 0..200 {
        let demand = prefill_heavy(prefix, now);
        let (of_one, of_other) =
            (one.place_request(&demand, now), other.place_request(&demand, now));
        assert_eq!(expect_send(&of_one).server, expect_send(&of_other).server, "prefix {prefix}");
        assert_eq!(expect_send(&of_one).uncached_tokens, 2_900, "only the unshared segment");
    }
}

#[test]
fn losing_an_engine_moves_only_its_prefixes() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..18).map(engine).collect());
    // One engine is reserved, before and after the loss of another engine.
    let before: Vec<Backend> = (0..300)
        .map(|prefix| {
            expect_send(&decider.place_request(&prefill_heavy(prefix, now), now)).server.clone()
        })
        .collect();
    let lost = before[0].clone();
    decider.set_servers((0..18).map(engine).filter(|server| server.name != lost).collect());
    for (prefix, server) in before.iter().enumerate() {
        let decision = decider.place_request(&prefill_heavy(prefix as u64, now), now);
        if *server != lost {
            assert_eq!(expect_send(&decision).server, *server, "prefix {prefix}");
        }
    }
}

#[test]
fn a_hot_prefix_spills_over_when_its_engine_is_behind() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..18).map(engine).collect());
    let mut used: Vec<Backend> = Vec::new();
    for _ in 0..60 {
        let demand = prefill_heavy(7, now);
        let decision = decider.place_request(&demand, now);
        let placement = expect_send(&decision).clone();
        decider.record_sent(&placement, &demand, now);
        used.push(placement.server);
    }
    used.sort();
    used.dedup();
    assert!(used.len() > 1, "all requests went to one engine");
}

/// Engines that fetch KV cache from each other take over a prompt without a second prefill, so the
/// prefix leaves an engine that is behind, and the placement names where it is cached.
#[test]
fn a_prefix_moves_to_an_idle_engine_that_fetches_it() {
    let now = Instant::now();
    let fetching = |index| Server { fetch_tokens_per_ms: Some(1_428.0), ..engine(index) };
    let servers: Vec<Server> = (0..18).map(fetching).collect();
    let mut decider = decider("a");
    decider.set_servers(servers.clone());
    let demand = prefill_heavy(7, now);
    let first_choice = expect_send(&decider.place_request(&demand, now)).server.clone();
    let behind = servers.iter().find(|server| server.name == first_choice).unwrap();
    let load = Load { running: 10, pending_tokens: 30_000, ..Load::default() };
    decider.record_peer(PEER, &[(behind.hash, load, Duration::ZERO)], now);
    let decision = decider.place_request(&demand, now);
    let placement = expect_send(&decision);
    assert_ne!(placement.server, first_choice);
    assert_eq!(placement.cache_source, Some(first_choice));
    assert_eq!(placement.uncached_tokens, 2_900, "only the unshared segment is prefilled");
    assert!(placement.predicted < demand.target, "{:?}", placement.predicted);
}

/// An engine that comes back has lost its cache, and another one has cached the prefix meanwhile.
#[test]
fn the_first_choice_fetches_from_the_engine_that_stood_in_for_it() {
    let now = Instant::now();
    let fetching = |index| Server { fetch_tokens_per_ms: Some(1_428.0), ..engine(index) };
    let servers: Vec<Server> = (0..18).map(fetching).collect();
    let mut decider = decider("a");
    decider.set_servers(servers.clone());
    let demand = prefill_heavy(7, now);
    let first_choice = expect_send(&decider.place_request(&demand, now)).server.clone();
    let without = servers.iter().filter(|server| server.name != first_choice);
    decider.set_servers(without.cloned().collect());
    let stand_in = expect_send(&decider.place_request(&demand, now)).server.clone();
    decider.set_servers(servers);
    let back = expect_send(&decider.place_request(&demand, now)).clone();
    assert_eq!((back.server, back.cache_source), (first_choice, Some(stand_in)));
}

/// In a burst all engines are behind. Moving a prefix to an engine that has not cached it would add
/// its prefill to the load.
#[test]
fn prefixes_stay_when_all_engines_are_behind() {
    let now = Instant::now();
    let mut decider = decider("a");
    let engines: Vec<Server> = (0..18).map(engine).collect();
    decider.set_servers(engines.clone());
    let loads = engines.iter().enumerate().map(|(index, server)| {
        let pending_tokens = 16_000 + 2_000 * (index as u32 % 5);
        let load = Load { running: 15, pending_tokens, held_tokens: 130_000, ..Load::default() };
        (server.hash, load, Duration::ZERO)
    });
    let loads: Vec<_> = loads.collect();
    decider.record_peer(PEER, &loads, now);
    for prefix in 0..100 {
        let decision = decider.place_request(&prefill_heavy(prefix, now), now);
        assert_eq!(
            expect_send(&decision).uncached_tokens,
            2_900,
            "prefix {prefix} is prefilled elsewhere"
        );
    }
}

/// In a large fleet daemons have observed few of each other's requests. A prefix must not move in a
/// burst because another engine looks a little less busy.
#[test]
fn prefixes_stay_longer_in_a_larger_fleet() {
    let now = Instant::now();
    let engines: Vec<Server> = (0..18).map(engine).collect();
    let moves = |members: u32| {
        let mut decider = decider("a");
        decider.set_servers(engines.clone());
        decider.set_members((1..=members).collect(), Membership::Converged);
        let first_choice =
            expect_send(&decider.place_request(&prefill_heavy(7, now), now)).server.clone();
        let loads = engines.iter().map(|server| {
            let pending_tokens = if server.name == first_choice { 60_000 } else { 4_000 };
            (server.hash, Load { running: 5, pending_tokens, ..Load::default() }, Duration::ZERO)
        });
        decider.record_peer(PEER, &loads.collect::<Vec<_>>(), now);
        let demand = Demand { target: Duration::from_secs(1), ..prefill_heavy(7, now) };
        expect_send(&decider.place_request(&demand, now)).server != first_choice
    };
    assert!(moves(9) && !moves(68));
}

/// Prefill of long prompts delays the events of long responses in the same batch.
#[test]
fn decode_heavy_requests_get_reserved_engines() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..18).map(engine).collect());
    let (mut unreserved, mut reserved): (Vec<Backend>, Vec<Backend>) = (Vec::new(), Vec::new());
    for prefix in 0..100 {
        let demand = decode_heavy(prefix, now);
        let placement = expect_send(&decider.place_request(&demand, now)).clone();
        decider.record_sent(&placement, &demand, now);
        reserved.push(placement.server);
    }
    for prefix in 0..100 {
        unreserved.push(
            expect_send(&decider.place_request(&prefill_heavy(prefix, now), now)).server.clone(),
        );
    }
    assert!(unreserved.iter().all(|server| !reserved.contains(server)), "{reserved:?}");
    reserved.sort();
    reserved.dedup();
    assert_eq!(reserved.len(), 3, "100 requests, 45 per engine at most");
}

#[test]
fn the_number_of_reserved_engines_falls_slowly() {
    let now = Instant::now();
    let busy = Duration::from_millis(60);
    let mut reservation = Reservation::default();
    assert_eq!(reservation.update(200, 48, 18, busy, now), 5);
    assert_eq!(reservation.update(20, 48, 18, busy, now + Duration::from_millis(100)), 5);
    assert_eq!(reservation.update(20, 48, 18, busy, now + Duration::from_secs(20)), 1);
    assert_eq!(
        reservation.update(2_000, 48, 18, busy, now + Duration::from_secs(21)),
        9,
        "at most half"
    );
    assert_eq!(
        reservation.update(2_000, 48, 1, busy, now + Duration::from_secs(22)),
        0,
        "none of one"
    );
    assert!(
        reservation::is_decode_heavy(&decode_heavy(1, now))
            && !reservation::is_decode_heavy(&prefill_heavy(1, now))
    );
}

/// With few slots an engine is soon full, and a request waits for a slot although other engines
/// have nothing to prefill.
#[test]
fn more_engines_are_reserved_while_no_prompt_waits_for_prefill() {
    let now = Instant::now();
    let reserved = |prefill_wait| Reservation::default().update(96, 16, 40, prefill_wait, now);
    assert_eq!(reserved(Duration::from_millis(200)), 6);
    assert_eq!(reserved(Duration::ZERO), 8);
}

#[test]
fn a_full_reserved_engine_spills_over() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..2).map(engine).collect());
    let mut used = Vec::new();
    for prefix in 0..80 {
        let demand = decode_heavy(prefix, now);
        let placement = expect_send(&decider.place_request(&demand, now)).clone();
        decider.record_sent(&placement, &demand, now);
        used.push(placement.server);
    }
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2);
}

#[test]
fn a_request_predicted_late_is_refused_with_a_retry_time() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![engine(0)]);
    let load = Load { running: 40, pending_tokens: 900_000, ..Load::default() };
    decider.record_peer(PEER, &[(engine(0).hash, load, Duration::ZERO)], now);
    match decider.place_request(&prefill_heavy(1, now), now) {
        Decision::Refuse { reason: Reason::Overload, retry_after, .. } => {
            assert!(retry_after > Duration::from_secs(1), "{retry_after:?}");
        }
        other => panic!("{other:?}"),
    }
}

/// Daemons with different views of a burst would have one prefix prefilled at many engines.
#[test]
fn a_prefix_is_cached_at_few_engines_whatever_daemons_observe() {
    let now = Instant::now();
    let fetching = |index| Server { fetch_tokens_per_ms: Some(1_428.0), ..engine(index) };
    let engines: Vec<Server> = (0..40).map(fetching).collect();
    let mut used: Vec<Backend> = Vec::new();
    for view in 0..60_u32 {
        let mut decider = decider("a");
        decider.set_servers(engines.clone());
        let loads = engines.iter().enumerate().map(|(index, server)| {
            let pending_tokens = 15_000 * ((index as u32 * 7 + view * 13) % 5);
            (server.hash, Load { running: 5, pending_tokens, ..Load::default() }, Duration::ZERO)
        });
        decider.record_peer(PEER, &loads.collect::<Vec<_>>(), now);
        if let Decision::Send(placement) = decider.place_request(&prefill_heavy(7, now), now) {
            used.push(placement.server);
        }
    }
    assert!(used.len() > 40, "{} of 60 were sent", used.len());
    used.sort();
    used.dedup();
    assert!((2..=4).contains(&used.len()), "{used:?}");
}

/// A request that a backend server may have run can't be refused any more. If it fails instead, its
/// caller waits for nothing.
#[test]
fn a_request_that_may_have_run_is_sent_while_time_is_left() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![engine(0)]);
    let load = Load { running: 10, pending_tokens: 150_000, ..Load::default() };
    decider.record_peer(PEER, &[(engine(0).hash, load, Duration::ZERO)], now);
    let demand = prefill_heavy(1, now);
    assert!(matches!(decider.place_request(&demand, now), Decision::Refuse { .. }));
    let demand = Demand { is_repeat: true, may_have_run: true, ..demand };
    assert!(matches!(decider.place_request(&demand, now), Decision::Send(_)));
    let late = now + Duration::from_secs(3);
    assert!(matches!(decider.place_request(&demand, late), Decision::Refuse { .. }));
}

/// In a burst a request that is sent although it will miss its target delays those after it too,
/// and callers with the same retry time return together.
#[test]
fn overload_refuses_late_requests_with_spread_retry_times() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![engine(0)]);
    // First event after 55 ms plus the prefill of pending tokens at 80 tokens per ms.
    for (pending_tokens, refused) in
        [(10_000, false), (30_000, false), (45_000, true), (90_000, true)]
    {
        let load = Load { running: 10, pending_tokens, ..Load::default() };
        decider.record_peer(PEER, &[(engine(0).hash, load, Duration::ZERO)], now);
        let decision = decider.place_request(&prefill_heavy(1, now), now);
        let is_refused = matches!(decision, Decision::Refuse { reason: Reason::Overload, .. });
        assert_eq!(is_refused, refused, "{pending_tokens}: {decision:?}");
    }
    let mut times = Vec::new();
    for _ in 0..50 {
        let Decision::Refuse { retry_after, .. } =
            decider.place_request(&prefill_heavy(1, now), now)
        else {
            panic!("the request was sent")
        };
        times.push(retry_after);
    }
    times.sort();
    let (first, last) = (times[0], times[49]);
    assert!(last > first.mul_f64(1.3) && last <= first.mul_f64(1.5), "{first:?} to {last:?}");
}
