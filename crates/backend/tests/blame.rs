//! Crash records: the registry is bounded, merges give the same result in any order, and only two
//! crashes as the only suspect lead to quarantine.

use std::time::{Duration, Instant};

use hyssop_backend::blame::{Fingerprint, MAX_ENTRIES, Record, Registry, Status};

const HOUR: Duration = Duration::from_secs(3600);

#[test]
fn quarantine_needs_two_crashes_as_the_only_suspect() {
    let now = Instant::now();
    let mut registry = Registry::new(HOUR);
    let suspect = Fingerprint(1);
    for _ in 0..100 {
        registry.blame(suspect, false, now);
    }
    assert_eq!(registry.status(suspect, now), Status::Suspect);
    registry.blame(suspect, true, now);
    assert_eq!(registry.status(suspect, now), Status::Suspect);
    registry.blame(suspect, true, now);
    assert_eq!(registry.status(suspect, now), Status::Quarantined);
    assert_eq!(registry.status(suspect, now + HOUR), Status::Clear, "it expires");
    registry.release(suspect);
    assert_eq!(registry.status(suspect, now), Status::Clear);
}

#[test]
fn merging_does_not_depend_on_the_order_of_records() {
    bolero::check!().with_type::<Vec<(u8, u8, u16)>>().with_iterations(2000).for_each(|records| {
        let now = Instant::now();
        let merged = |records: &mut dyn Iterator<Item = &(u8, u8, u16)>| {
            let mut registry = Registry::new(HOUR);
            for (fingerprint, crashes, seconds) in records {
                let expires = now + Duration::from_secs((*seconds).into());
                let record = Record { crashes: u32::from(*crashes), expires };
                registry.merge(Fingerprint((*fingerprint).into()), record, now);
            }
            let list = registry.list(now);
            list.into_iter()
                .map(|(fingerprint, record)| (fingerprint, record.crashes))
                .collect::<Vec<_>>()
        };
        assert_eq!(merged(&mut records.iter()), merged(&mut records.iter().rev()));
    });
}

#[test]
fn a_full_registry_evicts_the_record_with_the_fewest_crashes() {
    let now = Instant::now();
    let mut registry = Registry::new(HOUR);
    let culprit = Fingerprint(u64::MAX);
    for _ in 0..3 {
        registry.blame(culprit, true, now);
    }
    for number in 0..MAX_ENTRIES as u64 + 50 {
        registry.blame(Fingerprint(number), false, now);
    }
    assert_eq!(registry.list(now).len(), MAX_ENTRIES);
    assert_eq!(registry.status(culprit, now), Status::Quarantined);
}

#[test]
fn a_completed_run_clears_only_crashes_shared_with_other_suspects() {
    let now = Instant::now();
    let mut registry = Registry::new(HOUR);
    let suspect = Fingerprint(1);
    registry.blame(suspect, false, now);
    assert!(registry.clear_suspect(suspect));
    assert_eq!(registry.status(suspect, now), Status::Clear);
    registry.blame(suspect, false, now);
    registry.blame(suspect, true, now);
    assert!(!registry.clear_suspect(suspect));
    registry.blame(suspect, true, now);
    assert!(!registry.clear_suspect(suspect));
    assert_eq!(registry.status(suspect, now), Status::Quarantined);
}
