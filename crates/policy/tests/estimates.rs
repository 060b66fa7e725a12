//! The retry budget and the detection of drift, without a scheduler.

mod common;

use std::time::Instant;

use common::ms;
use hyssop_document::number::Tier;
use hyssop_policy::{budget::Budget, estimate::DriftDetector};

#[test]
fn retries_need_earlier_successes_and_no_shedding() {
    let now = Instant::now();
    let mut budget = Budget::default();
    let retries = (0..100).filter(|_| budget.try_spend(Tier(1), now)).count();
    assert_eq!(retries, 64);
    (0..25).for_each(|_| budget.record_success());
    assert_eq!((0..100).filter(|_| budget.try_spend(Tier(1), now)).count(), 2);
    (0..100).for_each(|_| budget.record_success());
    budget.record_shed(Tier(3), now);
    assert!(!budget.try_spend(Tier(3), now), "its own tier is being shed");
    assert!(!budget.try_spend(Tier(4), now), "a higher tier is being shed");
    assert!(budget.try_spend(Tier(2), now), "only lower tiers are being shed");
    assert!(budget.try_spend(Tier(3), now + ms(1000)));
}

#[test]
fn first_token_drift_is_detected_unless_the_group_is_slow() {
    let with_baseline = || {
        let mut drift = DriftDetector::default();
        (0..20).for_each(|_| assert!(!drift.record(1.0, Some(1.0))));
        drift
    };
    let mut drift = with_baseline();
    let found: Vec<_> = (0..5).map(|_| drift.record(6.0, Some(1.0))).collect();
    assert_eq!(found, [false, false, false, false, true]);
    let mut drift = with_baseline();
    assert!((0..20).all(|_| !drift.record(6.0, Some(5.0))), "the whole group is slow");
    let mut drift = with_baseline();
    assert!(
        (0..20).all(|index| !drift.record([6.0, 1.0][index % 2], Some(1.0))),
        "not consecutive"
    );
}
