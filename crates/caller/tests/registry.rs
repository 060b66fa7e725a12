//! The registry: bounded, and never forgetful before the window ends.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyssop_caller::{
    key::Key,
    outcome::{Execution, Outcome, Reason},
    record::{End, Part, Record},
    registry::{Begin, Fresh, Limits, Owned, Registry},
};
use hyssop_document::{collections::Map, digest::Digest, name, number::Incarnation};

const LIMITS: Limits = Limits {
    window: Duration::from_secs(10),
    skew: Duration::from_secs(1),
    keys: 6,
    keys_per_workspace: 4,
    answer_bytes: 50,
    answer_bytes_per_key: 10,
};
const ITERATIONS: usize = 5000;

fn owned(workspace: u8, number: u8, issued_ms: u64) -> Owned {
    let workspace = name::Workspace::new(["desk", "quay"][usize::from(workspace) % 2]);
    let part = format!("k{}", number % 6).into();
    Owned { workspace, key: Key { incarnation: Incarnation(1), issued_ms, part } }
}

fn end(registry: &Registry, owned: &Owned, record: &Arc<Record>, bytes: u8) {
    let data = vec![b'x'; usize::from(bytes % 16)].into();
    let _ = record.write(0, Part { data, digest: 1, is_usage: false });
    record.finish(End::Whole);
    registry.finish(owned);
}

#[test]
fn a_key_runs_once_and_never_after_a_refusal() {
    // Each step: workspace, key, the key's age in seconds, what is done, how much time passes.
    let steps = bolero::produce_with::<Vec<(u8, u8, u8, u8, u8)>>().len(0..80_usize);
    bolero::check!().with_generator(steps).with_iterations(ITERATIONS).for_each(|steps| {
        let mut now = Instant::now();
        let registry = Registry::new(LIMITS, now);
        let mut running: Vec<(Owned, Arc<Record>)> = Vec::new();
        // What the callers were told about each key: whether it runs.
        let mut told: Map<Owned, bool> = Map::default();
        for (workspace, number, age, act, pause) in steps {
            now += Duration::from_secs(u64::from(pause % 4));
            // Few times of issue, so that keys come again.
            let issued = registry.wall_ms(now).saturating_sub(u64::from(age % 12) * 1000);
            let owned = owned(*workspace, *number, issued / 4000 * 4000);
            match act % 4 {
                0 | 1 => match registry.begin(&owned, Digest([0; 32]), false, now) {
                    Begin::Run(Fresh { record, .. }) => {
                        assert_eq!(told.insert(owned.clone(), true), None, "it ran or was refused");
                        running.push((owned, record));
                    }
                    Begin::Unregistered(_) => unreachable!("it is not idempotent"),
                    Begin::Join(_) => assert!(told.contains_key(&owned)),
                    Begin::Refuse(outcome) if outcome.execution == Execution::NotRun => {
                        assert_ne!(told.insert(owned, false), Some(true), "{outcome}");
                    }
                    Begin::Refuse(outcome) => assert_eq!(outcome.reason, Reason::KeyExpired),
                },
                2 => {
                    let outcome = Outcome::refused(Reason::UnknownClass, "");
                    if registry.seal(&owned, &outcome, now) {
                        assert_ne!(told.insert(owned, false), Some(true));
                    }
                }
                _ => {
                    if let Some((owned, record)) = running.pop() {
                        end(&registry, &owned, &record, *number);
                    }
                }
            }
            let (keys, bytes) = registry.size();
            assert!(keys <= LIMITS.keys && bytes <= LIMITS.answer_bytes);
        }
    });
}

#[test]
fn a_running_key_is_joined_past_its_window() {
    let now = Instant::now();
    let registry = Registry::new(LIMITS, now);
    let owned = owned(0, 0, registry.wall_ms(now));
    let begun = registry.begin(&owned, Digest([0; 32]), false, now);
    let Begin::Run(Fresh { record, .. }) = begun else { panic!("{begun:?}") };
    let later = now + 2 * LIMITS.window;
    assert!(matches!(registry.begin(&owned, Digest([0; 32]), false, later), Begin::Join(_)));
    end(&registry, &owned, &record, 1);
    let begun = registry.begin(&owned, Digest([0; 32]), false, later);
    assert!(matches!(begun, Begin::Refuse(outcome) if outcome.reason == Reason::KeyExpired));
    assert_eq!(registry.size(), (0, 0));
}

#[test]
fn one_workspace_leaves_room_to_the_others() {
    let now = Instant::now();
    let registry = Registry::new(LIMITS, now);
    let issued = registry.wall_ms(now);
    let begin = |workspace, number| {
        let owned = owned(workspace, number, issued);
        let begun = registry.begin(&owned, Digest([0; 32]), false, now);
        if let Begin::Run(Fresh { record, .. }) = &begun {
            end(&registry, &owned, record, 1);
        }
        matches!(begun, Begin::Run(_))
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
        let owned = owned(0, number, issued);
        let begun = registry.begin(&owned, Digest([0; 32]), true, now);
        let Begin::Run(Fresh { record, .. }) = begun else { panic!("{begun:?}") };
        end(&registry, &owned, &record, 1);
    }
    let begun = registry.begin(&owned(0, 4, issued), Digest([0; 32]), false, now);
    assert!(matches!(begun, Begin::Run(_)));
    // What was forgotten for it counts as tried before.
    let begun = registry.begin(&owned(0, 0, issued), Digest([0; 32]), true, now);
    assert!(matches!(begun, Begin::Run(Fresh { ran_before: true, .. })));
}

#[test]
fn an_unregistered_run_counts_as_tried_before() {
    let now = Instant::now();
    let registry = Registry::new(LIMITS, now);
    let issued = registry.wall_ms(now);
    let begin = |number, idempotent, at| {
        registry.begin(&owned(0, number, issued), Digest([0; 32]), idempotent, at)
    };
    let running: Vec<_> = (0..4).map(|number| begin(number, false, now)).collect();
    let begun = begin(4, true, now);
    assert!(matches!(begun, Begin::Unregistered(Fresh { ran_before: false, .. })));
    for (number, begun) in running.into_iter().enumerate() {
        let Begin::Run(Fresh { record, .. }) = begun else { panic!("{begun:?}") };
        end(&registry, &owned(0, number as u8, issued), &record, 1);
    }
    let later = begin(4, true, now + LIMITS.window / 2);
    assert!(matches!(later, Begin::Unregistered(Fresh { ran_before: true, .. })));
}
