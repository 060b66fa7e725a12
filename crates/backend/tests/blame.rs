//! Blame: bounded, merged alike in any order, and no quarantine without two crashes alone.

use std::time::{Duration, Instant};

use hyssop_backend::blame::{Fingerprint, MAX_ENTRIES, Record, Registry, Standing};

const HOUR: Duration = Duration::from_secs(3600);

#[test]
fn only_two_crashes_alone_quarantine() {
    let now = Instant::now();
    let mut registry = Registry::new(HOUR);
    let suspect = Fingerprint(1);
    for _ in 0..100 {
        registry.blame(suspect, false, now);
    }
    assert_eq!(registry.standing(suspect, now), Standing::Suspect);
    registry.blame(suspect, true, now);
    assert_eq!(registry.standing(suspect, now), Standing::Suspect);
    registry.blame(suspect, true, now);
    assert_eq!(registry.standing(suspect, now), Standing::Quarantined);
    assert_eq!(registry.standing(suspect, now + HOUR), Standing::Clear, "it expires");
    registry.release(suspect);
    assert_eq!(registry.standing(suspect, now), Standing::Clear);
}

#[test]
fn records_of_peers_are_merged_alike_in_any_order() {
    bolero::check!().with_type::<Vec<(u8, u8, u16)>>().with_iterations(2000).for_each(|notices| {
        let now = Instant::now();
        let merged = |notices: &mut dyn Iterator<Item = &(u8, u8, u16)>| {
            let mut registry = Registry::new(HOUR);
            for (fingerprint, crashes, seconds) in notices {
                let expires = now + Duration::from_secs((*seconds).into());
                let record = Record { crashes: u32::from(*crashes), expires };
                registry.merge(Fingerprint((*fingerprint).into()), record, now);
            }
            let list = registry.list(now);
            list.into_iter().map(|(print, record)| (print, record.crashes)).collect::<Vec<_>>()
        };
        assert_eq!(merged(&mut notices.iter()), merged(&mut notices.iter().rev()));
    });
}

#[test]
fn the_book_is_bounded_and_keeps_those_with_the_most_crashes() {
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
    assert_eq!(registry.standing(culprit, now), Standing::Quarantined);
}

#[test]
fn a_run_to_the_end_acquits_of_shared_crashes_only() {
    let now = Instant::now();
    let mut registry = Registry::new(HOUR);
    let suspect = Fingerprint(1);
    registry.blame(suspect, false, now);
    assert!(registry.acquit(suspect));
    assert_eq!(registry.standing(suspect, now), Standing::Clear);
    registry.blame(suspect, false, now);
    registry.blame(suspect, true, now);
    assert!(!registry.acquit(suspect));
    registry.blame(suspect, true, now);
    assert!(!registry.acquit(suspect));
    assert_eq!(registry.standing(suspect, now), Standing::Quarantined);
}
