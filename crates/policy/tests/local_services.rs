//! Placement of requests to plain services, which queue requests beyond their slots.

mod local;

use std::time::{Duration, Instant};

use hyssop_policy::local::{decider::Decision, demand::Demand, server::Load};
use local::{PEER, decider, plain_request, service};

/// Guards against a penalty that counts as time: of a service that responded within 60 ms, a route with a
/// timeout of 1 s got nothing while one with 1.5 s got most of what it asked for.
#[test]
fn a_full_service_serves_requests_whatever_their_deadline() {
    let now = Instant::now();
    let mut decider = decider("a");
    decider.set_servers(vec![service(0)]);
    let load = Load { running: 16, ..Load::default() };
    decider.record_peer(PEER, &[(service(0).hash, load, Duration::ZERO)], now);
    let is_sent = [990, 1_499].map(|deadline_ms| {
        let deadline = now + Duration::from_millis(deadline_ms);
        let demand = Demand { deadline, ..plain_request(now) };
        matches!(decider.place_request(&demand, now), Decision::Send(_))
    });
    assert_eq!(is_sent, [true, true], "with 990 ms and with 1,499 ms left");
}
