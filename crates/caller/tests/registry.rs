//! The registry stays within its limits and keeps each key for its retention.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyssop_caller::{
    key::Key,
    outcome::{Execution, Outcome, Reason},
    record::{Chunk, End, Record},
    registry::{Admission, Limits, NewRun, Registry, ScopedKey},
};
use hyssop_document::{collections::Map, digest::Digest, name, number::Incarnation};

const LIMITS: Limits = Limits {
    retention: Duration::from_secs(10),
    max_skew: Duration::from_secs(1),
    max_keys: 6,
    max_keys_per_workspace: 4,
    max_response_bytes: 50,
    max_response_bytes_per_key: 10,
};
const ITERATIONS: usize = 5000;

fn scoped_key(workspace: u8, number: u8, issued_ms: u64) -> ScopedKey {
    let workspace = name::Workspace::new(["desk", "quay"][usize::from(workspace) % 2]);
    let part = format!("k{}", number % 6).into();
    ScopedKey { workspace, key: Key { incarnation: Incarnation(1), issued_ms, part } }
}

fn finish(registry: &Registry, scoped_key: &ScopedKey, record: &Arc<Record>, bytes: u8) {
    let data = vec![b'x'; usize::from(bytes % 16)].into();
    let _ = record.write(0, Chunk { data, digest: 1, is_usage: false });
    record.finish(End::Complete);
    registry.finish(scoped_key);
}

#[test]
fn a_key_runs_once_and_never_after_a_refusal() {
    // Each step: workspace, key, age of the key in seconds, action, seconds to advance the clock.
    let steps = bolero::produce_with::<Vec<(u8, u8, u8, u8, u8)>>().len(0..80_usize);
    bolero::check!().with_generator(steps).with_iterations(ITERATIONS).for_each(|steps| {
        let mut now = Instant::now();
        let registry = Registry::new(LIMITS, now);
        let mut running: Vec<(ScopedKey, Arc<Record>)> = Vec::new();
        // For each key, whether it was run (true) or refused as not run (false).
        let mut outcomes: Map<ScopedKey, bool> = Map::default();
        for (workspace, number, age, action, advance_s) in steps {
            now += Duration::from_secs(u64::from(advance_s % 4));
            // Few distinct times of issue, so that keys repeat.
            let issued = registry.wall_ms(now).saturating_sub(u64::from(age % 12) * 1000);
            let scoped_key = scoped_key(*workspace, *number, issued / 4000 * 4000);
            match action % 4 {
                0 | 1 => match registry.begin(&scoped_key, Digest([0; 32]), false, now) {
                    Admission::Run(NewRun { record, .. }) => {
                        assert_eq!(
                            outcomes.insert(scoped_key.clone(), true),
                            None,
                            "the key was already run or refused"
                        );
                        running.push((scoped_key, record));
                    }
                    Admission::Unregistered(_) => unreachable!("the request is not idempotent"),
                    Admission::Join(_) => assert!(outcomes.contains_key(&scoped_key)),
                    Admission::Refuse(outcome) if outcome.execution == Execution::NotRun => {
                        assert_ne!(outcomes.insert(scoped_key, false), Some(true), "{outcome}");
                    }
                    Admission::Refuse(outcome) => assert_eq!(outcome.reason, Reason::KeyExpired),
                },
                2 => {
                    let outcome = Outcome::refused(Reason::UnknownClass, "");
                    if registry.record_refusal(&scoped_key, &outcome, now) {
                        assert_ne!(outcomes.insert(scoped_key, false), Some(true));
                    }
                }
                _ => {
                    if let Some((scoped_key, record)) = running.pop() {
                        finish(&registry, &scoped_key, &record, *number);
                    }
                }
            }
            let (keys, bytes) = registry.size();
            assert!(keys <= LIMITS.max_keys && bytes <= LIMITS.max_response_bytes);
        }
    });
}

#[test]
fn a_running_key_is_joined_after_its_retention() {
    let now = Instant::now();
    let registry = Registry::new(LIMITS, now);
    let scoped_key = scoped_key(0, 0, registry.wall_ms(now));
    let admission = registry.begin(&scoped_key, Digest([0; 32]), false, now);
    let Admission::Run(NewRun { record, .. }) = admission else { panic!("{admission:?}") };
    let later = now + 2 * LIMITS.retention;
    assert!(matches!(
        registry.begin(&scoped_key, Digest([0; 32]), false, later),
        Admission::Join(_)
    ));
    finish(&registry, &scoped_key, &record, 1);
    let admission = registry.begin(&scoped_key, Digest([0; 32]), false, later);
    assert!(
        matches!(admission, Admission::Refuse(outcome) if outcome.reason == Reason::KeyExpired)
    );
    assert_eq!(registry.size(), (0, 0));
}

#[test]
fn one_workspace_cannot_fill_the_registry() {
    let now = Instant::now();
    let registry = Registry::new(LIMITS, now);
    let issued = registry.wall_ms(now);
    let begin = |workspace, number| {
        let scoped_key = scoped_key(workspace, number, issued);
        let admission = registry.begin(&scoped_key, Digest([0; 32]), false, now);
        if let Admission::Run(NewRun { record, .. }) = &admission {
            finish(&registry, &scoped_key, record, 1);
        }
        matches!(admission, Admission::Run(_))
    };
    let recorded: Vec<_> = (0..6).map(|number| begin(0, number)).collect();
    assert_eq!(recorded, [true, true, true, true, false, false]);
    assert!(begin(1, 0) && begin(1, 1) && !begin(1, 2));
}

#[test]
fn ended_idempotent_requests_are_removed_to_make_room() {
    let now = Instant::now();
    let registry = Registry::new(LIMITS, now);
    let issued = registry.wall_ms(now);
    for number in 0..4 {
        let scoped_key = scoped_key(0, number, issued);
        let admission = registry.begin(&scoped_key, Digest([0; 32]), true, now);
        let Admission::Run(NewRun { record, .. }) = admission else { panic!("{admission:?}") };
        finish(&registry, &scoped_key, &record, 1);
    }
    let admission = registry.begin(&scoped_key(0, 4, issued), Digest([0; 32]), false, now);
    assert!(matches!(admission, Admission::Run(_)));
    // A request whose key was removed to make room may have run before.
    let admission = registry.begin(&scoped_key(0, 0, issued), Digest([0; 32]), true, now);
    assert!(matches!(admission, Admission::Run(NewRun { ran_before: true, .. })));
}

#[test]
fn an_unregistered_run_counts_as_run_before() {
    let now = Instant::now();
    let registry = Registry::new(LIMITS, now);
    let issued = registry.wall_ms(now);
    let begin = |number, idempotent, at| {
        registry.begin(&scoped_key(0, number, issued), Digest([0; 32]), idempotent, at)
    };
    let running: Vec<_> = (0..4).map(|number| begin(number, false, now)).collect();
    let admission = begin(4, true, now);
    assert!(matches!(admission, Admission::Unregistered(NewRun { ran_before: false, .. })));
    for (number, admission) in running.into_iter().enumerate() {
        let Admission::Run(NewRun { record, .. }) = admission else { panic!("{admission:?}") };
        finish(&registry, &scoped_key(0, number as u8, issued), &record, 1);
    }
    let later = begin(4, true, now + LIMITS.retention / 2);
    assert!(matches!(later, Admission::Unregistered(NewRun { ran_before: true, .. })));
}
