//! Shares of rights that daemons use alone, each with the load that it answers.

mod local;

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_policy::local::{
    decider::{Decision, End, Reason},
    repeats::Budget,
    server::Server,
};
use local::*;

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
    decider.set_servers(vec![engine(0)]);
    decider.set_members(vec![1, 2, 3], true);
    decider.record_cold(&engine(0).name, now + Duration::from_secs(3));
    let mut sent = 0;
    for index in 0..60 {
        let at = now + Duration::from_millis(index * 10);
        let demand = reading(index, at);
        if let Decision::Send(place) = decider.place_request(&demand, at) {
            decider.record_sent(&place, &demand, at);
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
    decider.set_servers(
        (0..2).map(|index| Server { max_connections: 10, ..service(index) }).collect(),
    );
    decider.set_members(vec![1, 2, 3], true);
    let mut sent = Vec::new();
    let refused = loop {
        let demand = plain(now);
        match decider.place_request(&demand, now) {
            Decision::Send(place) => {
                sent.push((decider.record_sent(&place, &demand, now), place.server))
            }
            Decision::Refuse { reason, .. } => break reason,
        }
    };
    assert_eq!((refused, sent.len()), (Reason::Connections, 6), "a third of nine at each of two");
    let (ticket, server) = sent.remove(0);
    decider.record_end(&server, ticket, End::Unsent, now);
    assert!(
        matches!(decider.place_request(&plain(now), now), Decision::Send(place) if place.server == server)
    );
}

/// The load after a loss of power: all daemons start at once, and each knows itself alone.
#[test]
fn a_daemon_that_learns_its_members_sends_nothing_cold() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_members(vec![1], false);
    decider.set_servers(vec![engine(0)]);
    decider.record_cold(&engine(0).name, now + Duration::from_secs(3));
    let refused = decider.place_request(&reading(1, now), now);
    assert!(matches!(refused, Decision::Refuse { reason: Reason::Cold, .. }), "{refused:?}");
    decider.set_members(vec![1, 2, 3], true);
    assert!(matches!(decider.place_request(&reading(1, now), now), Decision::Send(_)));
}

/// Daemons that know each other repeat no more than the bound allows over all of them, in any window.
#[test]
fn repeats_stay_within_the_bound_over_all_daemons() {
    for sharers in [1, 3, 9, 70] {
        let now = Instant::now();
        let mut all: Vec<Budget> = (0..sharers).map(|_| Budget::new(REPEATS)).collect();
        let (mut requests, mut taken) = (0, 0);
        for step in 0..1_000_u64 {
            let at = now + Duration::from_millis(step * 10);
            for repeats in &mut all {
                if step % 5 == 0 {
                    repeats.record_first_send(at);
                    requests += 1;
                }
                if repeats.allows_repeat(Some(sharers), at) {
                    repeats.record_repeat(at);
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
        decider.set_servers(vec![engine(0)]);
        decider.set_members(vec![1, 2], true);
    }
    deciders[0].record_cold(&engine(0).name, now + Duration::from_secs(3));
    let delay = Duration::from_millis(700);
    for step in 0..100_u64 {
        let at = now + Duration::from_millis(100) * step as u32;
        for (from, to) in [(0, 1), (1, 0)] {
            let loads = deciders[from].own_loads(at);
            let peer = IpAddr::V4(Ipv4Addr::new(10, 0, 0, from as u8));
            deciders[to].record_peer(peer, &loads, at + delay);
        }
    }
    let later = now + Duration::from_secs(12);
    for decider in &mut deciders {
        let sent = (0..40).filter(|&index| {
            let demand = reading(index, later);
            match decider.place_request(&demand, later) {
                Decision::Send(place) => {
                    decider.record_sent(&place, &demand, later);
                    true
                }
                Decision::Refuse { .. } => false,
            }
        });
        assert!(sent.count() > 11, "more than the share of a cold one");
    }
}
