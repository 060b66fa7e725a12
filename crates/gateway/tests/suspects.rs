//! Requests that break the backend servers that run them.

use std::time::{Duration, Instant};

use hyssop_backend::blame::{Fingerprint, Status};
use hyssop_document::name::Backend;
use hyssop_gateway::suspects::Suspects;

const POISON: Fingerprint = Fingerprint(7);
const INNOCENT: Fingerprint = Fingerprint(8);

fn server(index: u32) -> Backend {
    Backend::new(&format!("engine-{index}"))
}

/// A request that comes again breaks one engine after the other, beside requests that come once.
#[test]
fn the_third_backend_server_that_a_request_breaks_is_the_last() {
    let mut suspects = Suspects::default();
    let mut now = Instant::now();
    for (index, expected) in
        [Status::Suspect, Status::Suspect, Status::Quarantined].into_iter().enumerate()
    {
        now += Duration::from_secs(1);
        let server = server(index as u32);
        suspects.broke(&server, Fingerprint(100 + index as u64), now);
        suspects.broke(&server, POISON, now);
        suspects.died(&server, now);
        assert_eq!(suspects.standing(POISON, now), expected, "after {} crashes", index + 1);
    }
}

#[test]
fn an_exchange_that_broke_long_before_is_not_blamed() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    suspects.broke(&server(0), INNOCENT, now);
    let later = now + Duration::from_secs(2);
    suspects.broke(&server(0), POISON, later);
    suspects.died(&server(0), later);
    assert_eq!(suspects.standing(INNOCENT, later), Status::Clear);
    assert_eq!(suspects.standing(POISON, later), Status::Suspect);
}

#[test]
fn peers_learn_of_blame_and_forget_it() {
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    let now = Instant::now();
    for index in 0..3 {
        one.broke(&server(index), POISON, now);
        one.died(&server(index), now);
    }
    other.merge(&one.told(now), now);
    assert_eq!(other.standing(POISON, now), Status::Quarantined);
    let later = now + Duration::from_secs(61);
    assert_eq!(other.standing(POISON, later), Status::Clear);
    assert!(other.told(later).is_empty());
}

#[test]
fn backend_servers_with_a_suspect_are_known_while_it_runs() {
    let mut suspects = Suspects::default();
    suspects.started(&server(0), POISON);
    suspects.started(&server(0), INNOCENT);
    suspects.ended(&server(0), POISON);
    assert_eq!(suspects.occupied(), [server(0)]);
    suspects.ended(&server(0), INNOCENT);
    assert!(suspects.occupied().is_empty());
}
