//! Requests that continue a stream are placed only at backend servers of the build that began it.

mod local;

use std::time::{Duration, Instant};

use hyssop_document::{build::Build, number::Tier};
use hyssop_policy::local::{
    decider::{Decider, Decision, End, Reason},
    demand::Demand,
    holders::Membership,
    server::{Load, Server},
};
use local::*;

fn of_build(server: Server, build: &str) -> Server {
    Server { build: Build::new(build), ..server }
}

/// A pool in the middle of a release: engines 0 and 1 have the old build, 2 to 9 the new one.
fn released() -> Decider {
    let mut decider = decider("a");
    let old = (0..2).map(|index| of_build(engine(index), "v1"));
    let new = (2..10).map(|index| of_build(engine(index), "v2"));
    decider.set_servers(old.chain(new).collect());
    decider
}

fn continued(demand: Demand, build: &str) -> Demand {
    Demand { build: Some(Build::new(build)), ..demand }
}

fn refusal(decision: &Decision) -> Reason {
    match decision {
        Decision::Send(placement) => panic!("sent to {}", placement.server),
        Decision::Refuse { reason, .. } => *reason,
    }
}

/// Whichever engines cache the prompt or are reserved for the kind of request.
#[test]
fn a_continued_stream_goes_to_its_build_only() {
    let now = Instant::now();
    let old = [engine(0).name, engine(1).name];
    for kind in [prefill_heavy, decode_heavy] {
        let mut decider = released();
        for prefix in 0..200 {
            for build in ["v1", "v2"] {
                let demand = continued(kind(prefix, now), build);
                let decision = decider.place_request(&demand, now);
                assert_eq!(old.contains(&expect_send(&decision).server), build == "v1");
            }
        }
    }
}

#[test]
fn a_stream_that_begins_goes_to_any_build() {
    let now = Instant::now();
    let mut decider = released();
    let old = [engine(0).name, engine(1).name];
    let is_old = |prefix| {
        let decision = decider.place_request(&prefill_heavy(prefix, now), now);
        old.contains(&expect_send(&decision).server)
    };
    let count = (0..200).map(is_old).filter(|&is_old| is_old).count();
    assert!((1..200).contains(&count), "{count} of 200 go to the old build");
}

#[test]
fn a_continued_stream_does_not_change_how_engines_are_reserved() {
    let now = Instant::now();
    let mut decider = released();
    for prefix in 0..60 {
        let demand = decode_heavy(prefix, now);
        let decision = decider.place_request(&demand, now);
        decider.record_sent(expect_send(&decision), &demand, now);
    }
    let reserved = |decider: &mut Decider, demand: &Demand| {
        expect_send(&decider.place_request(demand, now)).reserved_engines
    };
    let demand = prefill_heavy(1, now);
    let before = reserved(&mut decider, &demand);
    assert!(before > 0);
    for build in ["v1", "v2"] {
        assert_eq!(reserved(&mut decider, &continued(demand.clone(), build)), before);
    }
    assert_eq!(reserved(&mut decider, &demand), before);
}

#[test]
fn without_its_build_a_continued_stream_is_refused() {
    let now = Instant::now();
    let mut decider = released();
    let decision = decider.place_request(&continued(prefill_heavy(1, now), "v0"), now);
    assert_eq!(refusal(&decision), Reason::OtherBuild);
    let other_pool =
        Demand { pool: plain_request(now).pool, ..continued(plain_request(now), "v1") };
    assert_eq!(refusal(&decider.place_request(&other_pool, now)), Reason::NoServer);
    let excluded = vec![engine(0).name, engine(1).name];
    let tried = Demand { excluded, ..continued(prefill_heavy(1, now), "v1") };
    assert_eq!(refusal(&decider.place_request(&tried, now)), Reason::NoServer);
}

/// The reason is that of the backend servers that could continue the stream.
#[test]
fn a_cold_build_is_the_reason_of_its_own_streams_only() {
    let now = Instant::now();
    let mut decider = released();
    decider.set_members(vec![1], Membership::Partial);
    for index in 0..2 {
        decider.record_cold(&engine(index).name, now + Duration::from_secs(3));
    }
    let demand = prefill_heavy(1, now);
    let decision = decider.place_request(&continued(demand.clone(), "v1"), now);
    assert_eq!(refusal(&decision), Reason::Cold);
    let decision = decider.place_request(&continued(demand, "v0"), now);
    assert_eq!(refusal(&decision), Reason::OtherBuild);
}

/// Engines that failed a request or two are the last resort of their own build, although engines of
/// another build are sound.
#[test]
fn avoided_engines_are_the_last_resort_of_their_build() {
    let now = Instant::now();
    let mut decider = released();
    for index in 0..2 {
        let excluded = (0..10).filter(|&other| other != index).map(|other| engine(other).name);
        let demand = Demand { excluded: excluded.collect(), ..prefill_heavy(1, now) };
        let decision = decider.place_request(&demand, now);
        let placement = expect_send(&decision).clone();
        let send_id = decider.record_sent(&placement, &demand, now);
        decider.record_end(&placement.server, send_id, End::Failed, now);
    }
    let decision = decider.place_request(&continued(prefill_heavy(1, now), "v1"), now);
    assert!([engine(0).name, engine(1).name].contains(&expect_send(&decision).server));
}

/// A release leaves few engines of the old build, so that the streams which only these can finish
/// meet an overload there.
#[test]
fn a_stream_that_only_busy_engines_can_finish_is_not_refused() {
    let now = Instant::now();
    let mut decider = released();
    let busy = Load { running: 30, pending_tokens: 60_000, ..Load::default() };
    let loads = [0, 1].map(|index| (engine(index).hash, busy, Duration::ZERO));
    decider.record_peer(PEER, &loads, now);
    // More urgent requests arrive too, and would be late behind another one.
    for _ in 0..20 {
        let urgent = Demand { tier: Tier(1), ..prefill_heavy(1, now) };
        decider.place_request(&urgent, now);
    }
    let new = (2..10).map(|index| engine(index).name).collect();
    let begins = Demand { excluded: new, ..prefill_heavy(1, now) };
    assert_eq!(refusal(&decider.place_request(&begins, now)), Reason::Overload);
    let decision = decider.place_request(&continued(prefill_heavy(1, now), "v1"), now);
    let placement = expect_send(&decision);
    assert!(placement.predicted < Duration::from_secs(4), "{placement:?}");
}
