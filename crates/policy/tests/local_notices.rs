//! What backend servers ask of a daemon: no new requests since they leave, or none for a while.

mod local;

use std::time::{Duration, Instant};

use hyssop_policy::local::decider::{Decision, Reason};
use local::*;

/// The record of a server that leaves says that it is ready, and goes on to say so.
#[test]
fn a_server_that_leaves_gets_nothing_until_its_next_incarnation() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![service(0)]);
    assert!(decider.record_leaving(&service(0).name, 1, now));
    assert!(!decider.record_leaving(&service(0).name, 1, now), "known already");
    let refused = |decider: &mut hyssop_policy::local::decider::Decider| {
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
