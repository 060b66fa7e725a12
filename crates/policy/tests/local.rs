//! Decisions of a daemon for itself, each with the load that it answers.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_document::{
    name::{Backend, Pool, Zone},
    number::Tier,
};
use hyssop_policy::local::{
    cold,
    decider::{Decider, End, Place, Reason, Settings, Verdict},
    demand::{Demand, Part},
    repeats::{self, Repeats},
    split::{self, Split},
    standing::{Load, Server},
};

const COLD: cold::Bound = cold::Bound { factor: 1.5, slack: 5.0 };
const REPEATS: repeats::Bound =
    repeats::Bound { ratio: 0.2, burst: 58.0, window: Duration::from_secs(10) };

const PEER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn decider(zone: &str) -> Decider {
    let zone = Zone::new(zone);
    let mut decider = Decider::new(Settings { zone, own: 1, cold: COLD, repeats: REPEATS });
    decider.set_members(vec![1], true);
    decider
}

fn engine(index: u32) -> Server {
    Server {
        name: Backend::new(&format!("engine-{index}")),
        hash: index.wrapping_mul(0x9e37_79b1),
        pool: Pool::new("drafts"),
        zone: Zone::new("a"),
        slots: 48,
        cache_tokens: Some(457_270),
        cold_rate: 16.0,
        max_connections: 310,
        incarnation: 1,
    }
}

fn service(index: u32) -> Server {
    Server {
        pool: Pool::new("desk"),
        slots: 6,
        cache_tokens: None,
        cold_rate: 0.0,
        ..engine(index)
    }
}

/// A long prompt about a subject, with a short answer.
fn reading(subject: u64, now: Instant) -> Demand {
    let parts = vec![
        Part { id: subject % 4, tokens: 2_500 },
        Part { id: 1_000 + subject, tokens: 3_800 },
        Part { id: 1_000_000 + subject, tokens: 2_900 },
    ];
    Demand {
        pool: Pool::new("drafts"),
        tier: Tier(2),
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        parts,
        output_tokens: 54,
        arrived: now,
        target: Duration::from_millis(400),
        deadline: now + Duration::from_secs(4),
        excluded: Vec::new(),
        repeat: false,
    }
}

/// A short prompt with a long answer.
fn generating(subject: u64, now: Instant) -> Demand {
    let parts = vec![
        Part { id: 50 + subject % 40, tokens: 120 },
        Part { id: 5_000 + subject, tokens: 80 },
        Part { id: 5_000_000 + subject, tokens: 630 },
    ];
    let deadline = now + Duration::from_secs(12);
    Demand { prompt_tokens: 830, parts, output_tokens: 294, deadline, ..reading(subject, now) }
}

fn plain(now: Instant) -> Demand {
    Demand {
        pool: Pool::new("desk"),
        parts: Vec::new(),
        prompt_tokens: 0,
        output_tokens: 0,
        deadline: now + Duration::from_millis(800),
        ..reading(0, now)
    }
}

fn sent_to(verdict: &Verdict) -> &Place {
    match verdict {
        Verdict::Send(place) => place,
        Verdict::Refuse { reason, .. } => panic!("refused: {reason}"),
    }
}

#[test]
fn daemons_agree_without_a_message_where_a_subject_is_read() {
    let now = Instant::now();
    let mut one = decider("a");
    let mut other = decider("b");
    for decider in [&mut one, &mut other] {
        decider.configure((0..18).map(engine).collect());
    }
    for subject in 0..200 {
        let demand = reading(subject, now);
        let (here, there) = (one.place(&demand, now), other.place(&demand, now));
        assert_eq!(sent_to(&here).server, sent_to(&there).server, "subject {subject}");
        assert_eq!(sent_to(&here).unread, 2_900, "only the request's own part is read");
    }
}

#[test]
fn the_loss_of_an_engine_moves_only_its_subjects() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.configure((0..18).map(engine).collect());
    // One engine is set aside; the loss of another that keeps its number changes nothing else.
    let before: Vec<Backend> = (0..300)
        .map(|subject| sent_to(&decider.place(&reading(subject, now), now)).server.clone())
        .collect();
    let lost = before[0].clone();
    decider.configure((0..18).map(engine).filter(|server| server.name != lost).collect());
    for (subject, server) in before.iter().enumerate() {
        let verdict = decider.place(&reading(subject as u64, now), now);
        if *server != lost {
            assert_eq!(sent_to(&verdict).server, *server, "subject {subject}");
        }
    }
}

#[test]
fn a_hot_subject_spills_when_its_engine_is_behind() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.configure((0..18).map(engine).collect());
    let mut used: Vec<Backend> = Vec::new();
    for _ in 0..60 {
        let demand = reading(7, now);
        let verdict = decider.place(&demand, now);
        let place = sent_to(&verdict).clone();
        decider.sent(&place, &demand, now);
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
    decider.configure(engines.clone());
    let loads = engines.iter().enumerate().map(|(index, server)| {
        let unread_tokens = 16_000 + 2_000 * (index as u32 % 5);
        let load = Load { running: 15, unread_tokens, held_tokens: 130_000, ..Load::default() };
        (server.hash, load, Duration::ZERO)
    });
    let loads: Vec<_> = loads.collect();
    decider.peer(PEER, &loads, now);
    for subject in 0..100 {
        let verdict = decider.place(&reading(subject, now), now);
        assert_eq!(sent_to(&verdict).unread, 2_900, "subject {subject} is read again elsewhere");
    }
}

/// The load of many daemons whose requests end between two beats: what is not told again has ended,
/// and a peer that has fallen silent holds nothing.
#[test]
fn what_a_peer_does_not_tell_again_has_ended() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.configure(vec![service(0), service(1)]);
    let load = Load { running: 4, ..Load::default() };
    let busy = |index| (service(index).hash, load, Duration::ZERO);
    let loads = |decider: &mut Decider, at| {
        // Both are tried, so that the load of each is seen.
        let mut loads = [0, 1].map(|index| {
            let excluded = vec![service(1 - index).name];
            let verdict = decider.place(&Demand { excluded, ..plain(at) }, at);
            sent_to(&verdict).load.running
        });
        loads.sort_unstable();
        loads
    };
    let other = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));
    decider.peer(PEER, &[busy(0), busy(1)], now);
    decider.peer(other, &[busy(0)], now);
    assert_eq!(loads(&mut decider, now), [4, 8]);
    decider.peer(PEER, &[busy(1)], now);
    assert_eq!(loads(&mut decider, now), [4, 4]);
    let later = now + Duration::from_millis(1_400);
    decider.peer(other, &[busy(0)], later);
    let silent = now + Duration::from_millis(1_501);
    decider.expire(silent);
    assert_eq!(loads(&mut decider, silent), [0, 4], "only one peer is silent");
}

/// The load of long prompts beside long answers, which lose their pauses to the reading.
#[test]
fn generating_requests_have_engines_of_their_own() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.configure((0..18).map(engine).collect());
    let (mut read, mut generate): (Vec<Backend>, Vec<Backend>) = (Vec::new(), Vec::new());
    for subject in 0..100 {
        let demand = generating(subject, now);
        let place = sent_to(&decider.place(&demand, now)).clone();
        decider.sent(&place, &demand, now);
        generate.push(place.server);
    }
    for subject in 0..100 {
        read.push(sent_to(&decider.place(&reading(subject, now), now)).server.clone());
    }
    assert!(read.iter().all(|server| !generate.contains(server)), "{generate:?}");
    generate.sort();
    generate.dedup();
    assert_eq!(generate.len(), 3, "100 requests, 40 on each engine");
}

#[test]
fn the_number_of_engines_set_aside_falls_slowly() {
    let now = Instant::now();
    let mut split = Split::default();
    assert_eq!(split.update(200, 48, 18, now), 5);
    assert_eq!(split.update(20, 48, 18, now + Duration::from_millis(100)), 5);
    assert_eq!(split.update(20, 48, 18, now + Duration::from_secs(20)), 1);
    assert_eq!(split.update(2_000, 48, 18, now + Duration::from_secs(21)), 9, "at most half");
    assert_eq!(split.update(2_000, 48, 1, now + Duration::from_secs(22)), 0, "none of one");
    assert!(split::generates(&generating(1, now)) && !split::generates(&reading(1, now)));
}

#[test]
fn a_full_engine_set_aside_spills_to_the_others() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.configure((0..2).map(engine).collect());
    let mut used = Vec::new();
    for subject in 0..80 {
        let demand = generating(subject, now);
        let place = sent_to(&decider.place(&demand, now)).clone();
        decider.sent(&place, &demand, now);
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
    decider.configure(vec![engine(0)]);
    let load = Load { running: 40, unread_tokens: 900_000, ..Load::default() };
    decider.peer(PEER, &[(engine(0).hash, load, Duration::ZERO)], now);
    match decider.place(&reading(1, now), now) {
        Verdict::Refuse { reason: Reason::Overload, retry_after, .. } => {
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
    decider.configure(vec![engine(0)]);
    // 80 tokens a ms: the first event after 55 ms and what is before it.
    for (unread_tokens, refused) in
        [(10_000, false), (30_000, false), (45_000, true), (90_000, true)]
    {
        let load = Load { running: 10, unread_tokens, ..Load::default() };
        decider.peer(PEER, &[(engine(0).hash, load, Duration::ZERO)], now);
        let verdict = decider.place(&reading(1, now), now);
        let is_refused = matches!(verdict, Verdict::Refuse { reason: Reason::Overload, .. });
        assert_eq!(is_refused, refused, "{unread_tokens}: {verdict:?}");
    }
    let mut times = Vec::new();
    for _ in 0..50 {
        let Verdict::Refuse { retry_after, .. } = decider.place(&reading(1, now), now) else {
            panic!("sent")
        };
        times.push(retry_after);
    }
    times.sort();
    let (first, last) = (times[0], times[49]);
    assert!(last > first.mul_f64(1.3) && last <= first.mul_f64(1.5), "{first:?} to {last:?}");
}

#[test]
fn a_backend_server_that_breaks_is_left_alone_longer_each_time() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.configure(vec![service(0), service(1)]);
    let (broken, other) = (service(0).name, service(1).name);
    let mut at = now;
    for expected_ms in [300, 600, 1_200, 2_400, 3_000, 3_000] {
        let demand = Demand { excluded: vec![other.clone()], ..plain(at) };
        let verdict = decider.place(&demand, at);
        let place = sent_to(&verdict).clone();
        let ticket = decider.sent(&place, &demand, at);
        decider.ended(&place.server, ticket, End::Broken, at);
        let just_before = at + Duration::from_millis(expected_ms - 1);
        for _ in 0..20 {
            let demand = plain(just_before);
            let verdict = decider.place(&demand, just_before);
            assert_eq!(sent_to(&verdict).server, other, "{broken} is left alone");
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
    decider.configure((0..3).map(service).collect());
    let fail = |decider: &mut Decider, index: u32| {
        let others = (0..3).filter(|&other| other != index).map(|other| service(other).name);
        let demand = Demand { excluded: others.collect(), ..plain(now) };
        let place = sent_to(&decider.place(&demand, now)).clone();
        let ticket = decider.sent(&place, &demand, now);
        decider.ended(&place.server, ticket, End::Broken, now);
    };
    for index in 0..3 {
        fail(&mut decider, index);
    }
    assert!(matches!(decider.place(&plain(now), now), Verdict::Send(_)), "each broke one");
    for index in [0, 0, 1, 1, 2, 2] {
        fail(&mut decider, index);
    }
    let refused = decider.place(&plain(now), now);
    assert!(matches!(refused, Verdict::Refuse { reason: Reason::NoServer, .. }), "{refused:?}");
}

#[test]
fn equal_services_take_turns() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.configure((0..4).map(service).collect());
    let mut counts = hyssop_document::collections::Map::<Backend, u32>::default();
    for index in 0..80_u64 {
        let at = now + Duration::from_millis(index);
        let demand = plain(at);
        let place = sent_to(&decider.place(&demand, at)).clone();
        let ticket = decider.sent(&place, &demand, at);
        decider.began(&place.server, ticket, at + place.predicted);
        decider.ended(&place.server, ticket, End::Complete, at);
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
    decider.configure((0..10).map(engine).collect());
    let demand = reading(7, now);
    let mute = sent_to(&decider.place(&demand, now)).clone();
    let ticket = decider.sent(&mute, &demand, now);
    let place = |decider: &mut Decider, at| sent_to(&decider.place(&reading(7, at), at)).clone();
    let soon = now + mute.predicted * 2;
    assert_eq!(place(&mut decider, soon).server, mute.server, "it may still answer");
    let late = now + mute.predicted * 3 + Duration::from_millis(501);
    assert_ne!(place(&mut decider, late).server, mute.server);
    // The caller gives up. That is no answer either.
    decider.ended(&mute.server, ticket, End::Abandoned, late);
    assert_ne!(place(&mut decider, late).server, mute.server);
    let later = late + Duration::from_millis(301);
    assert_eq!(place(&mut decider, later).server, mute.server);
}

/// The load of a burst in which all are late: leaving those that are would overrun the others.
#[test]
fn engines_are_not_left_alone_when_many_are_late() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.configure((0..10).map(engine).collect());
    let mut used = Vec::new();
    for subject in 0..60 {
        let demand = reading(subject, now);
        let place = sent_to(&decider.place(&demand, now)).clone();
        decider.sent(&place, &demand, now);
        used.push(place.server);
    }
    used.sort();
    used.dedup();
    assert!(used.len() > 5, "{used:?}");
    let late = now + Duration::from_secs(5);
    let mut usable = Vec::new();
    for subject in 0..60 {
        if let Verdict::Send(place) = decider.place(&reading(subject, late), late) {
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
    decider.configure((0..140).map(engine).collect());
    let usual = sent_to(&decider.place(&reading(0, now), now)).predicted;
    let mut met = Vec::new();
    for index in 0..40_u64 {
        let at = now + Duration::from_millis(70) * index as u32;
        let demand = reading(index, at);
        let place = sent_to(&decider.place(&demand, at)).clone();
        let ticket = decider.sent(&place, &demand, at);
        // One of them is fast, the others take twice as long as usual.
        let takes = if index == 3 { usual / 2 } else { usual * 2 };
        decider.began(&place.server, ticket, at + takes);
        decider.ended(&place.server, ticket, End::Complete, at + takes);
        met.push(place.server);
    }
    let at = now + Duration::from_secs(4);
    let strange = (1_000..1_100).map(|subject| reading(subject, at));
    let strange = strange.map(|demand| sent_to(&decider.place(&demand, at)).clone());
    let strange: Vec<Place> = strange.filter(|place| !met.contains(&place.server)).collect();
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
    decider.configure(vec![service(0)]);
    for _ in 0..3 {
        let demand = plain(now);
        let place = sent_to(&decider.place(&demand, now)).clone();
        let ticket = decider.sent(&place, &demand, now);
        decider.ended(&place.server, ticket, End::Broken, now);
    }
    assert!(matches!(decider.place(&plain(now), now), Verdict::Refuse { .. }));
    decider.configure(vec![Server { incarnation: 2, ..service(0) }]);
    assert!(matches!(decider.place(&plain(now), now), Verdict::Send(_)));
}

/// Whatever daemons believe of each other, the sum of their shares of a cold backend server stays
/// within the bound, as long as each knows all those that may use a share.
#[test]
fn shares_of_a_cold_backend_server_stay_within_the_bound() {
    let inputs = bolero::check!().with_type::<(u8, u8, u32)>();
    inputs.with_iterations(2_000).for_each(|&(members, rate, server)| {
        let members: Vec<u32> = (1..=u32::from(members).max(1)).collect();
        let rate = f64::from(rate);
        let sum: usize = members.iter().map(|&own| COLD.share(rate, server, own, &members)).sum();
        assert!(sum as f64 <= COLD.total(rate), "{sum} of {}", COLD.total(rate));
    });
}

#[test]
fn few_daemons_send_to_a_cold_backend_server_when_there_are_many() {
    let members: Vec<u32> = (1..=200).collect();
    let senders = members.iter().filter(|&&own| COLD.share(16.0, 7, own, &members) > 0).count();
    assert_eq!(senders, 23, "four fifths of 29");
}

#[test]
fn a_cold_backend_server_gets_no_more_than_the_share() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.configure(vec![engine(0)]);
    decider.set_members(vec![1, 2, 3], true);
    decider.cold(&engine(0).name, now + Duration::from_secs(3));
    let mut sent = 0;
    for index in 0..60 {
        let at = now + Duration::from_millis(index * 10);
        let demand = reading(index, at);
        if let Verdict::Send(place) = decider.place(&demand, at) {
            decider.sent(&place, &demand, at);
            sent += 1;
        }
    }
    assert_eq!(sent, 7, "a third of four fifths of 29");
}

/// More requests than this daemon may have connections: the rest goes to others, and what none can
/// take is refused without a word against the backend servers.
#[test]
fn a_daemon_sends_no_more_than_its_share_of_connections() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider
        .configure((0..2).map(|index| Server { max_connections: 10, ..service(index) }).collect());
    decider.set_members(vec![1, 2, 3], true);
    let mut sent = Vec::new();
    let refused = loop {
        let demand = plain(now);
        match decider.place(&demand, now) {
            Verdict::Send(place) => sent.push((decider.sent(&place, &demand, now), place.server)),
            Verdict::Refuse { reason, .. } => break reason,
        }
    };
    assert_eq!((refused, sent.len()), (Reason::Connections, 6), "a third of nine at each of two");
    let (ticket, server) = sent.remove(0);
    decider.ended(&server, ticket, End::Unsent, now);
    assert!(
        matches!(decider.place(&plain(now), now), Verdict::Send(place) if place.server == server)
    );
}

/// The load after a loss of power: all daemons start at once, and each knows itself alone.
#[test]
fn a_daemon_that_learns_its_members_sends_nothing_cold() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_members(vec![1], false);
    decider.configure(vec![engine(0)]);
    decider.cold(&engine(0).name, now + Duration::from_secs(3));
    let refused = decider.place(&reading(1, now), now);
    assert!(matches!(refused, Verdict::Refuse { reason: Reason::Cold, .. }), "{refused:?}");
    decider.set_members(vec![1, 2, 3], true);
    assert!(matches!(decider.place(&reading(1, now), now), Verdict::Send(_)));
}

/// Daemons that know each other repeat no more than the bound allows over all of them, in any window.
#[test]
fn repeats_stay_within_the_bound_over_all_daemons() {
    for sharers in [1, 3, 9, 70] {
        let now = Instant::now();
        let mut all: Vec<Repeats> = (0..sharers).map(|_| Repeats::new(REPEATS)).collect();
        let (mut requests, mut taken) = (0, 0);
        for step in 0..1_000_u64 {
            let at = now + Duration::from_millis(step * 10);
            for repeats in &mut all {
                if step % 5 == 0 {
                    repeats.sent_first(at);
                    requests += 1;
                }
                if repeats.has(Some(sharers), at) {
                    repeats.sent_again(at);
                    taken += 1;
                }
            }
        }
        let bound = REPEATS.ratio * f64::from(requests) + REPEATS.burst;
        assert!(f64::from(taken) <= bound, "{sharers}: {taken} of {bound}");
        assert!(f64::from(taken) >= bound * 0.5, "{sharers}: {taken} of {bound}");
    }
}

/// Daemons that tell each other of a cold backend server with some delay must not keep it cold.
#[test]
fn what_peers_tell_of_the_cold_ends_with_it() {
    let now = Instant::now();
    let mut deciders = [decider("a"), decider("b")];
    for decider in &mut deciders {
        decider.configure(vec![engine(0)]);
        decider.set_members(vec![1, 2], true);
    }
    deciders[0].cold(&engine(0).name, now + Duration::from_secs(3));
    let delay = Duration::from_millis(700);
    for step in 0..100_u64 {
        let at = now + Duration::from_millis(100) * step as u32;
        for (from, to) in [(0, 1), (1, 0)] {
            let loads = deciders[from].own_loads(at);
            let peer = IpAddr::V4(Ipv4Addr::new(10, 0, 0, from as u8));
            deciders[to].peer(peer, &loads, at + delay);
        }
    }
    let later = now + Duration::from_secs(12);
    for decider in &mut deciders {
        let sent = (0..40).filter(|&index| {
            let demand = reading(index, later);
            match decider.place(&demand, later) {
                Verdict::Send(place) => {
                    decider.sent(&place, &demand, later);
                    true
                }
                Verdict::Refuse { .. } => false,
            }
        });
        assert!(sent.count() > 11, "more than the share of a cold one");
    }
}
