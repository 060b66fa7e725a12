//! What a daemon that decides alone believes of backend servers, each with the load that it answers.

mod local;

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_document::name::Backend;
use hyssop_policy::local::{
    decider::{Decider, Decision, End, Placement, Reason},
    demand::Demand,
    server::{Load, Server},
};
use local::*;

/// The load of many daemons whose requests end between two beats: what is not told again has ended,
/// and a peer that has fallen silent holds nothing.
#[test]
fn what_a_peer_does_not_tell_again_has_ended() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![service(0), service(1)]);
    let load = Load { running: 4, ..Load::default() };
    let busy = |index| (service(index).hash, load, Duration::ZERO);
    let loads = |decider: &mut Decider, at| {
        // Both are tried, so that the load of each is seen.
        let mut loads = [0, 1].map(|index| {
            let excluded = vec![service(1 - index).name];
            let decision = decider.place_request(&Demand { excluded, ..plain(at) }, at);
            sent_to(&decision).load.running
        });
        loads.sort_unstable();
        loads
    };
    let other = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));
    decider.record_peer(PEER, &[busy(0), busy(1)], now);
    decider.record_peer(other, &[busy(0)], now);
    assert_eq!(loads(&mut decider, now), [4, 8]);
    decider.record_peer(PEER, &[busy(1)], now);
    assert_eq!(loads(&mut decider, now), [4, 4]);
    let later = now + Duration::from_millis(1_400);
    decider.record_peer(other, &[busy(0)], later);
    let silent = now + Duration::from_millis(1_501);
    decider.expire_peers(silent);
    assert_eq!(loads(&mut decider, silent), [0, 4], "only one peer is silent");
}

#[test]
fn a_backend_server_that_breaks_is_left_alone_longer_each_time() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![service(0), service(1)]);
    let (broken, other) = (service(0).name, service(1).name);
    let mut at = now;
    for expected_ms in [300, 600, 1_200, 2_400, 3_000, 3_000] {
        let demand = Demand { excluded: vec![other.clone()], ..plain(at) };
        let decision = decider.place_request(&demand, at);
        let place = sent_to(&decision).clone();
        let ticket = decider.record_sent(&place, &demand, at);
        decider.record_end(&place.server, ticket, End::Failed, at);
        let just_before = at + Duration::from_millis(expected_ms - 1);
        for _ in 0..20 {
            let demand = plain(just_before);
            let decision = decider.place_request(&demand, just_before);
            assert_eq!(sent_to(&decision).server, other, "{broken} is left alone");
        }
        at += Duration::from_millis(expected_ms);
    }
}

/// The load of a pool whose backend servers all break a part of their requests, found by the soak:
/// while all were avoided every request was refused, though most would have been answered.
#[test]
fn where_all_backend_servers_break_some_requests_they_are_still_used() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..3).map(service).collect());
    let fail = |decider: &mut Decider, index: u32| {
        let others = (0..3).filter(|&other| other != index).map(|other| service(other).name);
        let demand = Demand { excluded: others.collect(), ..plain(now) };
        let place = sent_to(&decider.place_request(&demand, now)).clone();
        let ticket = decider.record_sent(&place, &demand, now);
        decider.record_end(&place.server, ticket, End::Failed, now);
    };
    for index in 0..3 {
        fail(&mut decider, index);
    }
    assert!(matches!(decider.place_request(&plain(now), now), Decision::Send(_)), "each broke one");
    for index in [0, 0, 1, 1, 2, 2] {
        fail(&mut decider, index);
    }
    let refused = decider.place_request(&plain(now), now);
    assert!(matches!(refused, Decision::Refuse { reason: Reason::NoServer, .. }), "{refused:?}");
}

#[test]
fn equal_services_take_turns() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..4).map(service).collect());
    let mut counts = hyssop_document::collections::Map::<Backend, u32>::default();
    for index in 0..80_u64 {
        let at = now + Duration::from_millis(index);
        let demand = plain(at);
        let place = sent_to(&decider.place_request(&demand, at)).clone();
        let ticket = decider.record_sent(&place, &demand, at);
        decider.record_first_event(&place.server, ticket, at + place.predicted);
        decider.record_end(&place.server, ticket, End::Complete, at);
        *counts.entry(place.server).or_default() += 1;
    }
    assert!(counts.len() == 4 && counts.values().all(|&count| count >= 10), "{counts:?}");
}

/// The load of an engine that is mute for a part of its requests while its health is good: a stream
/// that may not run again waits there to its end, and what comes after it must not.
#[test]
fn an_engine_that_keeps_a_request_waiting_gets_no_others() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..10).map(engine).collect());
    let demand = reading(7, now);
    let mute = sent_to(&decider.place_request(&demand, now)).clone();
    let ticket = decider.record_sent(&mute, &demand, now);
    let place =
        |decider: &mut Decider, at| sent_to(&decider.place_request(&reading(7, at), at)).clone();
    let soon = now + mute.predicted * 2;
    assert_eq!(place(&mut decider, soon).server, mute.server, "it may still answer");
    let late = now + mute.predicted * 3 + Duration::from_millis(501);
    assert_ne!(place(&mut decider, late).server, mute.server);
    // The caller gives up. That is no answer either.
    decider.record_end(&mute.server, ticket, End::Abandoned, late);
    assert_ne!(place(&mut decider, late).server, mute.server);
    let later = late + Duration::from_millis(301);
    assert_eq!(place(&mut decider, later).server, mute.server);
}

/// The load of a burst in which all are late: leaving those that are would overrun the others.
#[test]
fn engines_are_not_left_alone_when_many_are_late() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..10).map(engine).collect());
    let mut used = Vec::new();
    for subject in 0..60 {
        let demand = reading(subject, now);
        let place = sent_to(&decider.place_request(&demand, now)).clone();
        decider.record_sent(&place, &demand, now);
        used.push(place.server);
    }
    used.sort();
    used.dedup();
    assert!(used.len() > 5, "{used:?}");
    let late = now + Duration::from_secs(5);
    let mut usable = Vec::new();
    for subject in 0..60 {
        if let Decision::Send(place) = decider.place_request(&reading(subject, late), late) {
            usable.push(place.server);
        }
    }
    usable.sort();
    usable.dedup();
    assert_eq!(usable, used);
}

/// The load of a large fleet, in which a daemon meets each engine once in ten seconds: what it has
/// measured at some of them is its best guess for the others.
#[test]
fn a_slow_pool_is_known_before_each_engine_was_measured() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..140).map(engine).collect());
    let usual = sent_to(&decider.place_request(&reading(0, now), now)).predicted;
    let mut met = Vec::new();
    for index in 0..40_u64 {
        let at = now + Duration::from_millis(70) * index as u32;
        let demand = reading(index, at);
        let place = sent_to(&decider.place_request(&demand, at)).clone();
        let ticket = decider.record_sent(&place, &demand, at);
        // One of them is fast, the others take twice as long as usual.
        let takes = if index == 3 { usual / 2 } else { usual * 2 };
        decider.record_first_event(&place.server, ticket, at + takes);
        decider.record_end(&place.server, ticket, End::Complete, at + takes);
        met.push(place.server);
    }
    let at = now + Duration::from_secs(4);
    let strange = (1_000..1_100).map(|subject| reading(subject, at));
    let strange = strange.map(|demand| sent_to(&decider.place_request(&demand, at)).clone());
    let strange: Vec<Placement> = strange.filter(|place| !met.contains(&place.server)).collect();
    assert!(strange.len() > 20);
    for place in strange {
        let factor = place.predicted.as_secs_f64() / usual.as_secs_f64();
        assert!((1.6..2.4).contains(&factor), "{factor}");
    }
}

#[test]
fn a_backend_server_that_started_again_holds_nothing_of_before() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![service(0)]);
    for _ in 0..3 {
        let demand = plain(now);
        let place = sent_to(&decider.place_request(&demand, now)).clone();
        let ticket = decider.record_sent(&place, &demand, now);
        decider.record_end(&place.server, ticket, End::Failed, now);
    }
    assert!(matches!(decider.place_request(&plain(now), now), Decision::Refuse { .. }));
    decider.set_servers(vec![Server { incarnation: 2, ..service(0) }]);
    assert!(matches!(decider.place_request(&plain(now), now), Decision::Send(_)));
}
