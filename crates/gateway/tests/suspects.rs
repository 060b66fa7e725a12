//! Blame for requests that crash the backend servers that run them.

use std::time::{Duration, Instant};

use hyssop_backend::{
    blame::{Fingerprint, Status},
    evidence::CrashId,
};
use hyssop_document::name::Backend;
use hyssop_gateway::suspects::Suspects;

const CRASHING: Fingerprint = Fingerprint(7);
const HARMLESS: Fingerprint = Fingerprint(8);

fn server(index: u32) -> Backend {
    Backend::new(&format!("engine-{index}"))
}

/// A request that callers repeat crashes one engine after another. Each crash also aborts a request
/// that comes only once, which must not delay the quarantine.
#[test]
fn a_request_is_quarantined_after_its_third_crash() {
    let mut suspects = Suspects::default();
    let mut now = Instant::now();
    for (index, expected) in
        [Status::Suspect, Status::Suspect, Status::Quarantined].into_iter().enumerate()
    {
        now += Duration::from_secs(1);
        let server = server(index as u32);
        suspects.record_failure(&server, Fingerprint(100 + index as u64), now);
        suspects.record_failure(&server, CRASHING, now);
        suspects.record_crash(&server, now);
        assert_eq!(suspects.status(CRASHING, now), expected, "after {} crashes", index + 1);
    }
}

#[test]
fn an_exchange_that_failed_long_before_the_crash_is_not_blamed() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    suspects.record_failure(&server(0), HARMLESS, now);
    let later = now + Duration::from_secs(2);
    suspects.record_failure(&server(0), CRASHING, later);
    suspects.record_crash(&server(0), later);
    assert_eq!(suspects.status(HARMLESS, later), Status::Clear);
    assert_eq!(suspects.status(CRASHING, later), Status::Suspect);
}

#[test]
fn peers_apply_blames_until_they_expire() {
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    let now = Instant::now();
    for index in 0..3 {
        one.record_failure(&server(index), CRASHING, now);
        one.record_crash(&server(index), now);
    }
    other.merge(&one.blames(now), now);
    assert_eq!(other.status(CRASHING, now), Status::Quarantined);
    let later = now + Duration::from_secs(61);
    assert_eq!(other.status(CRASHING, later), Status::Clear);
    assert!(other.blames(later).is_empty());
}

#[test]
fn a_backend_server_is_occupied_while_a_suspect_runs_on_it() {
    let mut suspects = Suspects::default();
    suspects.record_start(&server(0), CRASHING);
    suspects.record_start(&server(0), HARMLESS);
    suspects.record_end(&server(0), CRASHING);
    assert_eq!(suspects.occupied_servers(), [server(0)]);
    suspects.record_end(&server(0), HARMLESS);
    assert!(suspects.occupied_servers().is_empty());
}

/// A trial finds out whether a segment is sound. A request that holds another quarantined segment crashes
/// its server whatever the answer, and both stay in quarantine for longer.
#[test]
fn a_trial_is_not_taken_by_a_request_with_another_quarantined_segment() {
    const SOUND: Fingerprint = Fingerprint(9);
    let mut suspects = Suspects::default();
    let mut now = Instant::now();
    for segment in [SOUND, CRASHING] {
        for crash in 0..3 {
            now += Duration::from_secs(1);
            let id = CrashId(segment.0 as u32 * 10 + crash);
            suspects.record_failed_segments(&server(crash), id, &[segment], now);
            suspects.record_segment_crash(&server(crash), now);
        }
    }
    now += Duration::from_secs(20);
    assert_eq!(suspects.quarantined_segment(&[HARMLESS, SOUND], now), Some(SOUND));
    assert!(!suspects.begin_trial(SOUND, &[SOUND, CRASHING], now));
    assert!(suspects.begin_trial(SOUND, &[HARMLESS, SOUND], now));
}
