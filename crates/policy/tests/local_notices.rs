//! What backend servers ask of a daemon: no new requests since they leave, or none for a while.

mod local;

use std::time::{Duration, Instant};

use hyssop_policy::local::decider::{Decider, Decision, Reason};
use local::*;

/// The record of a server that leaves says that it is ready, and goes on to say so.
#[test]
fn a_server_that_leaves_gets_nothing_until_its_next_incarnation() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![service(0)]);
    assert!(decider.record_leaving(&service(0).name, 1, now));
    assert!(!decider.record_leaving(&service(0).name, 1, now), "known already");
    let refused = |decider: &mut Decider| {
        let decision = decider.place_request(&plain_request(now), now);
        matches!(decision, Decision::Refuse { reason: Reason::NoServer, .. })
    };
    assert!(refused(&mut decider));
    decider.set_servers(Vec::new());
    decider.set_servers(vec![service(0)]);
    assert!(refused(&mut decider), "its record is back");
    let mut next = service(0);
    next.incarnation = 2;
    decider.set_servers(vec![next]);
    assert!(!refused(&mut decider));
    decider.record_leaving(&service(0).name, 1, now);
    assert!(!refused(&mut decider), "a late response does not concern the next incarnation");
}

#[test]
fn peers_report_the_incarnation_that_leaves() {
    let now = Instant::now();
    let (mut own, mut peer) = (decider("a"), decider("a"));
    own.set_servers(vec![service(0), service(1)]);
    peer.set_servers(vec![service(0), service(1)]);
    own.record_leaving(&service(1).name, 1, now);
    let reported: Vec<_> = own.leaving().collect();
    assert_eq!(reported, [(service(1).hash, 1)]);
    assert_eq!(peer.record_leaving_of_peer(service(1).hash, 1, now), Some(service(1).name));
    assert_eq!(peer.record_leaving_of_peer(service(1).hash, 1, now), None);
    assert_eq!(peer.record_leaving_of_peer(service(0).hash, 7, now), None, "another incarnation");
    for _ in 0..10 {
        let decision = peer.place_request(&plain_request(now), now);
        assert_eq!(expect_send(&decision).server, service(0).name);
    }
}

#[test]
fn departures_are_forgotten() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![service(0)]);
    decider.record_leaving(&service(0).name, 1, now);
    decider.expire_notices(|_| true, now + Duration::from_secs(599));
    assert_eq!(decider.leaving().count(), 1);
    decider.expire_notices(|_| true, now + Duration::from_secs(601));
    assert_eq!(decider.leaving().count(), 0);
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Sends requests until one is refused, and returns how many were sent.
fn send_until_refused(decider: &mut Decider, at: Instant) -> usize {
    for count in 0..1_000 {
        let demand = plain_request(at);
        match decider.place_request(&demand, at) {
            Decision::Send(placement) => decider.record_sent(&placement, &demand, at),
            Decision::Refuse { reason, .. } => {
                assert_eq!(reason, Reason::Paused);
                return count;
            }
        };
    }
    1_000
}

#[test]
fn a_pause_is_kept_and_load_comes_back_by_degrees() {
    let now = Instant::now();
    let counts = [0, 1_999, 2_000, 2_500, 3_900].map(|after| {
        let mut decider = decider("a");
        decider.set_servers(vec![service(0)]);
        assert_eq!(decider.record_pause(&service(0).name, 1, ms(2_000), now), ms(2_000));
        // A shorter one does not end it.
        assert_eq!(decider.record_pause(&service(0).name, 1, ms(100), now), ms(2_000));
        send_until_refused(&mut decider, now + ms(after))
    });
    assert_eq!(counts, [0, 0, 1, 2, 6]);
}

#[test]
fn a_refusal_names_the_end_of_the_first_pause() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![service(0), service(1)]);
    decider.record_pause(&service(0).name, 1, ms(3_000), now);
    let decision = decider.place_request(&plain_request(now), now);
    assert_eq!(expect_send(&decision).server, service(1).name);
    decider.record_pause(&service(1).name, 1, ms(60_000), now);
    let decision = decider.place_request(&plain_request(now), now);
    let Decision::Refuse { reason: Reason::Paused, retry_after, .. } = decision else {
        panic!("{decision:?}")
    };
    assert!((ms(3_000)..=ms(4_500)).contains(&retry_after), "{retry_after:?}");
}

#[test]
fn a_pause_ends_with_its_incarnation_and_after_ten_minutes() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![service(0)]);
    assert_eq!(decider.record_pause(&service(0).name, 1, Duration::MAX, now), ms(600_000));
    assert_eq!(send_until_refused(&mut decider, now + ms(599_999)), 0);
    let mut next = service(0);
    next.incarnation = 2;
    decider.set_servers(vec![next]);
    let decision = decider.place_request(&plain_request(now), now);
    assert_eq!(expect_send(&decision).server, service(0).name);
}
