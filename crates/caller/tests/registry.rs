//! The registry: bounded, and never forgetful before the window ends.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyssop_caller::{
    key::Key,
    outcome::{Outcome, Ran, Reason},
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

fn end(registry: &Registry, scoped_key: &ScopedKey, record: &Arc<Record>, bytes: u8) {
    let data = vec![b'x'; usize::from(bytes % 16)].into();
    let _ = record.write(0, Chunk { data, digest: 1, is_usage: false });
    record.finish(End::Complete);
    registry.finish(scoped_key);
}

#[test]
fn a_key_runs_once_and_never_after_a_refusal() {
    // Each step: workspace, key, the key's age in seconds, what is done, how much time passes.
    let steps = bolero::produce_with::<Vec<(u8, u8, u8, u8, u8)>>().len(0..80_usize);
    bolero::check!().with_generator(steps).with_iterations(ITERATIONS).for_each(|steps| {
        let mut now = Instant::now();
        let registry = Registry::new(LIMITS, now);
        let mut running: Vec<(ScopedKey, Arc<Record>)> = Vec::new();
        // What the callers were told about each key: whether it runs.
        let mut outcomes: Map<ScopedKey, bool> = Map::default();
        for (workspace, number, age, act, pause) in steps {
            now += Duration::from_secs(u64::from(pause % 4));
            // Few times of issue, so that keys come again.
            let issued = registry.wall_ms(now).saturating_sub(u64::from(age % 12) * 1000);
            let scoped_key = scoped_key(*workspace, *number, issued / 4000 * 4000);
            match act % 4 {
                0 | 1 => match registry.begin(&scoped_key, Digest([0; 32]), false, now) {
                    Admission::Run(NewRun { record, .. }) => {
                        assert_eq!(
                            outcomes.insert(scoped_key.clone(), true),
                            None,
                            "it ran or was refused"
                        );
                        running.push((scoped_key, record));
                    }
                    Admission::Unregistered(_) => unreachable!("it is not idempotent"),
                    Admission::Join(_) => assert!(outcomes.contains_key(&scoped_key)),
                    Admission::Refuse(outcome) if outcome.ran == Ran::NotRun => {
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
                        end(&registry, &scoped_key, &record, *number);
                    }
                }
            }
            let (keys, bytes) = registry.size();
            assert!(keys <= LIMITS.max_keys && bytes <= LIMITS.max_response_bytes);
        }
    });
}

#[test]
fn a_running_key_is_joined_past_its_window() {
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
    end(&registry, &scoped_key, &record, 1);
    let admission = registry.begin(&scoped_key, Digest([0; 32]), false, later);
    assert!(
        matches!(admission, Admission::Refuse(outcome) if outcome.reason == Reason::KeyExpired)
    );
    assert_eq!(registry.size(), (0, 0));
}

#[test]
fn one_workspace_leaves_room_to_the_others() {
    let now = Instant::now();
    let registry = Registry::new(LIMITS, now);
    let issued = registry.wall_ms(now);
    let begin = |workspace, number| {
        let scoped_key = scoped_key(workspace, number, issued);
        let admission = registry.begin(&scoped_key, Digest([0; 32]), false, now);
        if let Admission::Run(NewRun { record, .. }) = &admission {
            end(&registry, &scoped_key, record, 1);
        }
        matches!(admission, Admission::Run(_))
    };
    let taken: Vec<_> = (0..6).map(|number| begin(0, number)).collect();
    assert_eq!(taken, [true, true, true, true, false, false]);
    assert!(begin(1, 0) && begin(1, 1) && !begin(1, 2));
}

#[test]
fn idempotent_answers_make_room() {
    let now = Instant::now();
    let registry = Registry::new(LIMITS, now);
    let issued = registry.wall_ms(now);
    for number in 0..4 {
        let scoped_key = scoped_key(0, number, issued);
        let admission = registry.begin(&scoped_key, Digest([0; 32]), true, now);
        let Admission::Run(NewRun { record, .. }) = admission else { panic!("{admission:?}") };
        end(&registry, &scoped_key, &record, 1);
    }
    let admission = registry.begin(&scoped_key(0, 4, issued), Digest([0; 32]), false, now);
    assert!(matches!(admission, Admission::Run(_)));
    // What was forgotten for it counts as tried before.
    let admission = registry.begin(&scoped_key(0, 0, issued), Digest([0; 32]), true, now);
    assert!(matches!(admission, Admission::Run(NewRun { ran_before: true, .. })));
}

#[test]
fn an_unregistered_run_counts_as_tried_before() {
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
        end(&registry, &scoped_key(0, number as u8, issued), &record, 1);
    }
    let later = begin(4, true, now + LIMITS.retention / 2);
    assert!(matches!(later, Admission::Unregistered(NewRun { ran_before: true, .. })));
}
