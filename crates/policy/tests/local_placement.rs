//! Where a daemon that decides alone places requests and which it refuses, each with the load that it
//! answers.

mod local;

use std::time::{Duration, Instant};

use hyssop_document::name::Backend;
use hyssop_policy::local::{
    decider::{Decision, Reason},
    demand::Demand,
    reservation::{self, Reservation},
    server::{Load, Server},
};
use local::*;

#[test]
fn daemons_agree_without_a_message_where_a_subject_is_read() {
    let now = Instant::now();
    let mut one = decider("a");
    let mut other = decider("b");
    for decider in [&mut one, &mut other] {
        decider.set_servers((0..18).map(engine).collect());
    }
    for subject in 0..200 {
        let demand = reading(subject, now);
        let (here, there) = (one.place_request(&demand, now), other.place_request(&demand, now));
        assert_eq!(sent_to(&here).server, sent_to(&there).server, "subject {subject}");
        assert_eq!(sent_to(&here).uncached_tokens, 2_900, "only the request's own part is read");
    }
}

#[test]
fn the_loss_of_an_engine_moves_only_its_subjects() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..18).map(engine).collect());
    // One engine is set aside; the loss of another that keeps its number changes nothing else.
    let before: Vec<Backend> = (0..300)
        .map(|subject| sent_to(&decider.place_request(&reading(subject, now), now)).server.clone())
        .collect();
    let lost = before[0].clone();
    decider.set_servers((0..18).map(engine).filter(|server| server.name != lost).collect());
    for (subject, server) in before.iter().enumerate() {
        let decision = decider.place_request(&reading(subject as u64, now), now);
        if *server != lost {
            assert_eq!(sent_to(&decision).server, *server, "subject {subject}");
        }
    }
}

#[test]
fn a_hot_subject_spills_when_its_engine_is_behind() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..18).map(engine).collect());
    let mut used: Vec<Backend> = Vec::new();
    for _ in 0..60 {
        let demand = reading(7, now);
        let decision = decider.place_request(&demand, now);
        let place = sent_to(&decision).clone();
        decider.record_sent(&place, &demand, now);
        used.push(place.server);
    }
    used.sort();
    used.dedup();
    assert!(used.len() > 1, "all went to one engine");
}

/// The load of a burst in which all engines are behind: reading elsewhere what one engine holds only
/// adds to it.
#[test]
fn under_pressure_everywhere_subjects_stay() {
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
    for subject in 0..100 {
        let decision = decider.place_request(&reading(subject, now), now);
        assert_eq!(
            sent_to(&decision).uncached_tokens,
            2_900,
            "subject {subject} is read again elsewhere"
        );
    }
}

/// The load of a burst in a large fleet, where daemons know little of each other's requests: a subject
/// stays at its engine when another one only looks a little less busy.
#[test]
fn the_more_daemons_there_are_the_longer_subjects_stay() {
    let now = Instant::now();
    let engines: Vec<Server> = (0..18).map(engine).collect();
    let spilled = |members: u32| {
        let mut decider = decider("a");
        decider.set_servers(engines.clone());
        decider.set_members((1..=members).collect(), true);
        let home = sent_to(&decider.place_request(&reading(7, now), now)).server.clone();
        let loads = engines.iter().map(|server| {
            let pending_tokens = if server.name == home { 60_000 } else { 4_000 };
            (server.hash, Load { running: 5, pending_tokens, ..Load::default() }, Duration::ZERO)
        });
        decider.record_peer(PEER, &loads.collect::<Vec<_>>(), now);
        let demand = Demand { target: Duration::from_secs(1), ..reading(7, now) };
        sent_to(&decider.place_request(&demand, now)).server != home
    };
    assert!(spilled(9) && !spilled(68));
}

/// The load of long prompts beside long answers, which lose their pauses to the reading.
#[test]
fn generating_requests_have_engines_of_their_own() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..18).map(engine).collect());
    let (mut read, mut generate): (Vec<Backend>, Vec<Backend>) = (Vec::new(), Vec::new());
    for subject in 0..100 {
        let demand = generating(subject, now);
        let place = sent_to(&decider.place_request(&demand, now)).clone();
        decider.record_sent(&place, &demand, now);
        generate.push(place.server);
    }
    for subject in 0..100 {
        read.push(sent_to(&decider.place_request(&reading(subject, now), now)).server.clone());
    }
    assert!(read.iter().all(|server| !generate.contains(server)), "{generate:?}");
    generate.sort();
    generate.dedup();
    assert_eq!(generate.len(), 3, "100 requests, 40 on each engine");
}

#[test]
fn the_number_of_engines_set_aside_falls_slowly() {
    let now = Instant::now();
    let mut split = Reservation::default();
    assert_eq!(split.update(200, 48, 18, now), 5);
    assert_eq!(split.update(20, 48, 18, now + Duration::from_millis(100)), 5);
    assert_eq!(split.update(20, 48, 18, now + Duration::from_secs(20)), 1);
    assert_eq!(split.update(2_000, 48, 18, now + Duration::from_secs(21)), 9, "at most half");
    assert_eq!(split.update(2_000, 48, 1, now + Duration::from_secs(22)), 0, "none of one");
    assert!(
        reservation::is_decode_heavy(&generating(1, now))
            && !reservation::is_decode_heavy(&reading(1, now))
    );
}

#[test]
fn a_full_engine_set_aside_spills_to_the_others() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..2).map(engine).collect());
    let mut used = Vec::new();
    for subject in 0..80 {
        let demand = generating(subject, now);
        let place = sent_to(&decider.place_request(&demand, now)).clone();
        decider.record_sent(&place, &demand, now);
        used.push(place.server);
    }
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2);
}

#[test]
fn what_cannot_be_served_in_time_is_refused_at_once_with_the_time_to_come_back() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![engine(0)]);
    let load = Load { running: 40, pending_tokens: 900_000, ..Load::default() };
    decider.record_peer(PEER, &[(engine(0).hash, load, Duration::ZERO)], now);
    match decider.place_request(&reading(1, now), now) {
        Decision::Refuse { reason: Reason::Overload, retry_after, .. } => {
            assert!(retry_after > Duration::from_secs(1), "{retry_after:?}");
        }
        other => panic!("{other:?}"),
    }
}

/// The load of a burst: what would come long after its target is turned away at once, so that what
/// comes after it is in time, and callers are told to return at different moments.
#[test]
fn under_overload_what_would_be_late_is_refused_at_once() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![engine(0)]);
    // 80 tokens a ms: the first event after 55 ms and what is before it.
    for (pending_tokens, refused) in
        [(10_000, false), (30_000, false), (45_000, true), (90_000, true)]
    {
        let load = Load { running: 10, pending_tokens, ..Load::default() };
        decider.record_peer(PEER, &[(engine(0).hash, load, Duration::ZERO)], now);
        let decision = decider.place_request(&reading(1, now), now);
        let is_refused = matches!(decision, Decision::Refuse { reason: Reason::Overload, .. });
        assert_eq!(is_refused, refused, "{pending_tokens}: {decision:?}");
    }
    let mut times = Vec::new();
    for _ in 0..50 {
        let Decision::Refuse { retry_after, .. } = decider.place_request(&reading(1, now), now)
        else {
            panic!("sent")
        };
        times.push(retry_after);
    }
    times.sort();
    let (first, last) = (times[0], times[49]);
    assert!(last > first.mul_f64(1.3) && last <= first.mul_f64(1.5), "{first:?} to {last:?}");
}
