//! One daemon's shares of limits that hold over all daemons: cold starts, connections and repeats.

mod local;

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_policy::local::{
    decider::{Decider, Decision, End, Reason},
    holders::{Holders, Membership},
    repeats::{Bound, Budget},
    server::Server,
};
use local::*;

fn holders(own: u32, members: &[u32]) -> Holders<'_> {
    Holders { own, members, membership: Membership::Converged }
}

/// As long as each daemon has the complete list of share holders, the sum of their shares stays
/// within the bound.
#[test]
fn shares_of_a_cold_backend_server_stay_within_the_bound() {
    let inputs = bolero::check!().with_type::<(u8, u8, u32)>();
    inputs.with_iterations(2_000).for_each(|&(members, rate, server)| {
        let members: Vec<u32> = (1..=u32::from(members).max(1)).collect();
        let rate = f64::from(rate);
        let shares = members.iter().map(|&own| COLD.share(rate, server, &holders(own, &members)));
        let sum: usize = shares.sum();
        assert!(sum as f64 <= COLD.total(rate), "{sum} of {}", COLD.total(rate));
    });
}

#[test]
fn only_some_of_many_daemons_send_to_a_cold_backend_server() {
    let members: Vec<u32> = (1..=200).collect();
    let shares = members.iter().map(|&own| COLD.share(16.0, 7, &holders(own, &members)));
    let senders = shares.filter(|&share| share > 0).count();
    assert_eq!(senders, 23, "four fifths of 29");
}

#[test]
fn a_daemon_sends_a_cold_backend_server_at_most_its_share() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![engine(0)]);
    decider.set_members(vec![1, 2, 3], Membership::Converged);
    decider.record_cold(&engine(0).name, now + Duration::from_secs(3));
    let mut sent = 0;
    for index in 0..60 {
        let at = now + Duration::from_millis(index * 10);
        let demand = prefill_heavy(index, at);
        if let Decision::Send(placement) = decider.place_request(&demand, at) {
            decider.record_sent(&placement, &demand, at);
            sent += 1;
        }
    }
    assert_eq!(sent, 7, "a third of four fifths of 29");
}

/// Requests beyond the daemon's connections to one backend server go to the other, and are refused
/// when both shares are used. Neither counts as a failure of a backend server.
#[test]
fn a_daemon_sends_no_more_than_its_share_of_connections() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(
        (0..2).map(|index| Server { max_connections: 10, ..service(index) }).collect(),
    );
    decider.set_members(vec![1, 2, 3], Membership::Converged);
    let mut sent = Vec::new();
    let refused = loop {
        let demand = plain_request(now);
        match decider.place_request(&demand, now) {
            Decision::Send(placement) => {
                sent.push((decider.record_sent(&placement, &demand, now), placement.server));
            }
            Decision::Refuse { reason, .. } => break reason,
        }
    };
    assert_eq!((refused, sent.len()), (Reason::Connections, 6), "a third of nine at each of two");
    let (send_id, server) = sent.remove(0);
    decider.record_end(&server, send_id, End::Unsent, now);
    assert!(matches!(
        decider.place_request(&plain_request(now), now),
        Decision::Send(placement) if placement.server == server
    ));
}

/// After a power loss all daemons start at once, and each has observed no other member yet.
#[test]
fn before_convergence_a_daemon_sends_nothing_to_a_cold_backend_server() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_members(vec![1], Membership::Partial);
    decider.set_servers(vec![engine(0)]);
    decider.record_cold(&engine(0).name, now + Duration::from_secs(3));
    let refused = decider.place_request(&prefill_heavy(1, now), now);
    assert!(matches!(refused, Decision::Refuse { reason: Reason::Cold, .. }), "{refused:?}");
    decider.set_members(vec![1, 2, 3], Membership::Converged);
    assert!(matches!(decider.place_request(&prefill_heavy(1, now), now), Decision::Send(_)));
}

/// Daemons that have observed each other send no more repeats in one window than the bound allows.
#[test]
fn repeats_stay_within_the_bound_over_all_daemons() {
    for daemons in [1, 3, 9, 70] {
        let now = Instant::now();
        let members: Vec<u32> = (1..=daemons).collect();
        let mut all: Vec<Budget> =
            (0..daemons).map(|_| Budget::new(REPEATS, past_start())).collect();
        let (mut requests, mut sent) = (0, 0);
        for step in 0..1_000_u64 {
            let at = now + Duration::from_millis(step * 10);
            for repeats in &mut all {
                if step % 5 == 0 {
                    repeats.record_first_send();
                    requests += 1;
                }
                if repeats.allows_repeat(&holders(1, &members), at) {
                    repeats.record_repeat(at);
                    sent += 1;
                }
            }
        }
        let bound = REPEATS.ratio * f64::from(requests) + REPEATS.burst;
        assert!(f64::from(sent) <= bound, "{daemons} daemons: {sent} of {bound}");
        assert!(f64::from(sent) >= bound * 0.5, "{daemons} daemons: {sent} of {bound}");
    }
}

/// A request that meets unreachable servers is sent several times and must not earn more than once.
#[test]
fn a_request_earns_repeats_once_however_many_servers_it_does_not_reach() {
    const REQUEST_COUNT: usize = 30;
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_bounds(COLD, Bound { burst: 0.0, ..REPEATS }, None);
    let mut repeats = 0;
    for index in 0..REQUEST_COUNT as u64 {
        let at = now + Duration::from_secs(index * 5);
        decider.set_servers(
            (0..4).map(|server| Server { incarnation: index, ..service(server) }).collect(),
        );
        let mut demand = plain_request(at);
        for _ in 0..3 {
            let placement = expect_send(&decider.place_request(&demand, at)).clone();
            let send_id = decider.record_sent(&placement, &demand, at);
            decider.record_end(&placement.server, send_id, End::Unreachable, at);
            demand.excluded.push(placement.server);
            demand.is_recorded = true;
        }
        demand.is_repeat = true;
        if let Decision::Send(placement) = decider.place_request(&demand, at) {
            decider.record_sent(&placement, &demand, at);
            repeats += 1;
        }
    }
    let bound = (REPEATS.ratio * REQUEST_COUNT as f64) as usize;
    assert!((1..=bound).contains(&repeats), "{repeats} repeats, {bound} are allowed");
}

/// While many servers are down, repeats that reach none of them must not use up the budget.
#[test]
fn a_repeat_that_reaches_no_server_does_not_count() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_bounds(COLD, Bound { burst: 1.2, ..REPEATS }, None);
    decider.set_servers((0..8).map(service).collect());
    let mut demand = plain_request(now);
    demand.is_repeat = true;
    for index in 0..4 {
        let placement = expect_send(&decider.place_request(&demand, now)).clone();
        let send_id = decider.record_sent(&placement, &demand, now);
        if index < 3 {
            decider.record_not_received(&placement.server, send_id);
        }
        decider.record_end(&placement.server, send_id, End::Unreachable, now);
        demand.excluded.push(placement.server);
    }
    let refused = decider.place_request(&demand, now);
    assert!(matches!(refused, Decision::Refuse { reason: Reason::Repeats, .. }), "{refused:?}");
}

/// Settings that change in a storm of repeats must not allow it once more.
#[test]
fn a_change_of_the_bound_does_not_forget_the_repeats_of_the_window() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers((0..2).map(service).collect());
    let send_repeats = |decider: &mut Decider| {
        let mut sent = 0;
        loop {
            let mut demand = plain_request(now);
            demand.is_repeat = true;
            let Decision::Send(placement) = decider.place_request(&demand, now) else {
                return sent;
            };
            let send_id = decider.record_sent(&placement, &demand, now);
            decider.record_end(&placement.server, send_id, End::Complete, now);
            sent += 1;
        }
    };
    let before = send_repeats(&mut decider);
    let bound = Bound { burst: REPEATS.burst + 2.0, ..REPEATS };
    decider.set_bounds(COLD, bound, None);
    let after = send_repeats(&mut decider);
    assert!(before > 0 && after <= 2, "{before} and {after} repeats");
}

/// If daemons passed on cold times that peers reported, the delay of each message would extend the
/// cold start without end.
#[test]
fn peer_reports_do_not_extend_a_cold_start() {
    let now = Instant::now();
    let mut deciders = [decider("a"), decider("b")];
    for decider in &mut deciders {
        decider.set_servers(vec![engine(0)]);
        decider.set_members(vec![1, 2], Membership::Converged);
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
            let demand = prefill_heavy(index, later);
            match decider.place_request(&demand, later) {
                Decision::Send(placement) => {
                    decider.record_sent(&placement, &demand, later);
                    true
                }
                Decision::Refuse { .. } => false,
            }
        });
        assert!(sent.count() > 11, "more than the share of a cold backend server");
    }
}
