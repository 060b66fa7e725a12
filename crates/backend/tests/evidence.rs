//! Segments of prompts that crash backend servers, told from the sound segments of the same
//! requests.

use std::time::{Duration, Instant};

use hyssop_backend::{
    blame::Fingerprint,
    evidence::{Crash, CrashId, Registry},
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const CRASHING: Fingerprint = Fingerprint(1);
const SOUND: Fingerprint = Fingerprint(2);

fn crash(id: u32, at: Instant) -> Crash {
    Crash { id: CrashId(id), at }
}

fn exchange(registries: &mut [Registry], rng: &mut StdRng, now: Instant) {
    for from in 0..registries.len() {
        let sent = registries[from].sample(6, rng, now);
        let sent: Vec<_> = sent.into_iter().map(|(key, found)| (key, found.clone())).collect();
        for (to, registry) in registries.iter_mut().enumerate() {
            if to != from {
                sent.iter().for_each(|(key, evidence)| registry.merge(*key, evidence, now));
            }
        }
    }
}

/// Each crash is observed by another daemon, and no request comes twice.
#[test]
fn crashes_that_different_daemons_observe_add_up() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut daemons: Vec<Registry> = (0..3).map(|_| Registry::default()).collect();
    for index in 0..3 {
        let now = start + Duration::from_secs(index);
        assert!(!daemons[0].is_quarantined(CRASHING, now));
        daemons[index as usize].record_crash(CRASHING, crash(index as u32, now), now);
        exchange(&mut daemons, &mut rng, now);
    }
    let now = start + Duration::from_secs(3);
    assert!(daemons.iter().all(|daemon| daemon.is_quarantined(CRASHING, now)));
}

/// Two daemons lose requests at one crash, and several servers crash at once.
#[test]
fn one_occasion_counts_once() {
    let now = Instant::now();
    let later = now + Duration::from_secs(5);
    let mut registry = Registry::default();
    for _ in 0..5 {
        registry.record_crash(SOUND, crash(7, now), now);
        registry.record_crash(SOUND, crash(7, later), later);
    }
    for id in 0..10 {
        let at = now + Duration::from_millis(u64::from(id) * 20);
        registry.record_crash(SOUND, crash(id, at), at);
    }
    assert!(!registry.is_quarantined(SOUND, later));
}

#[test]
fn a_survivor_exonerates_its_segments_in_all_daemons() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut rng = StdRng::seed_from_u64(1);
    let mut daemons = [Registry::default(), Registry::default()];
    for index in 0..3 {
        daemons[0].record_crash(SOUND, crash(index, at(index.into())), at(index.into()));
    }
    exchange(&mut daemons, &mut rng, at(3));
    assert!(daemons[1].is_quarantined(SOUND, at(3)));
    // A request that had begun before the quarantine.
    daemons[1].record_survival(SOUND, at(3));
    exchange(&mut daemons, &mut rng, at(3));
    assert!(daemons.iter().all(|daemon| !daemon.is_quarantined(SOUND, at(3))));
    // Crashes before the survival don't count any more, whoever reports them.
    let reported = daemons[1].sample(1, &mut rng, at(4))[0].1.clone();
    daemons[0].merge(SOUND, &reported, at(4));
    assert!(!daemons[0].is_quarantined(SOUND, at(4)));
}

/// A popular segment, whose requests survive as a rule, has three crashes in a row by chance.
#[test]
fn a_segment_that_has_survived_is_quarantined_after_more_crashes() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut registry = Registry::default();
    registry.record_survival(SOUND, at(0));
    for index in 0..5_u32 {
        let ms = u64::from(index + 1) * 400;
        assert!(!registry.is_quarantined(SOUND, at(ms)), "after {index} crashes");
        registry.record_crash(SOUND, crash(index, at(ms)), at(ms));
    }
    // One at fault has become so, although it was sound before.
    assert!(registry.is_quarantined(SOUND, at(2_500)));
}

/// A rare segment was quarantined by chance, or has become harmless.
#[test]
fn single_requests_are_let_through_at_growing_intervals() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut registry = Registry::default();
    for index in 0..3_u32 {
        registry.record_crash(CRASHING, crash(index, at(index.into())), at(index.into()));
    }
    let mut trials = Vec::new();
    for second in 3..900 {
        if registry.begin_trial(CRASHING, at(second)) {
            assert!(!registry.begin_trial(CRASHING, at(second)), "one request only");
            registry.record_crash(CRASHING, crash(second as u32, at(second)), at(second));
            trials.push(second);
        }
        assert!(registry.is_quarantined(CRASHING, at(second)));
    }
    assert_eq!(trials, [12, 42, 132, 402, 672]);
    registry.record_survival(CRASHING, at(900));
    assert!(!registry.is_quarantined(CRASHING, at(900)));
}

#[test]
fn records_expire_and_their_number_is_bounded() {
    let now = Instant::now();
    let mut registry = Registry::default();
    for index in 0..3 {
        let at = now + Duration::from_secs(index.into());
        registry.record_crash(CRASHING, crash(index, at), at);
    }
    for key in 0..10_000 {
        registry.record_crash(Fingerprint(100 + key), crash(9, now), now);
    }
    assert_eq!(registry.len(), 4_096);
    let minutes = |minutes: u64| now + Duration::from_secs(60 * minutes);
    assert!(registry.is_quarantined(CRASHING, minutes(14)), "kept beside many suspects");
    assert_eq!(registry.sample(6, &mut StdRng::seed_from_u64(1), minutes(14)).len(), 1);
    assert!(!registry.is_quarantined(CRASHING, minutes(16)));
}

/// Requests of twenty subjects in three groups at five daemons. One subject crashes its engines, and
/// other engines crash for reasons of their own, so that one request in ten is lost.
#[test]
fn sound_segments_are_served_beside_a_crashing_one() {
    /// The operators' bound on the subjects that may be left unserved.
    const MAX_REFUSED_RATIO: f64 = 0.04;
    for seed in 0..100 {
        let (mut refused, mut sent) = (0_u32, 0_u32);
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut daemons: Vec<Registry> = (0..5).map(|_| Registry::default()).collect();
        let mut crashes = 0;
        for step in 0..600_u64 {
            let now = start + Duration::from_millis(step * 50);
            let daemon = rng.random_range(0..daemons.len());
            crashes += 1;
            let crash_id = crash(crashes, now);
            let group = Fingerprint(100 + rng.random_range(0..3));
            let crashing = step % 20 == 0;
            if crashing && !daemons[daemon].is_quarantined(CRASHING, now) {
                daemons[daemon].record_crash(CRASHING, crash_id, now);
            }
            let unlucky = crashing || rng.random_bool(0.05);
            for _ in 0..3 {
                let subject = Fingerprint(200 + rng.random_range(0..20));
                sent += 1;
                if daemons[daemon].is_quarantined(subject, now)
                    && !daemons[0].begin_trial(subject, now)
                {
                    refused += 1;
                    continue;
                }
                for segment in [group, subject] {
                    if unlucky {
                        daemons[daemon].record_crash(segment, crash_id, now);
                    } else {
                        daemons[daemon].record_survival(segment, now);
                    }
                }
            }
            if step % 4 == 0 {
                exchange(&mut daemons, &mut rng, now);
            }
            for group in (100..103).map(Fingerprint) {
                let quarantined = daemons.iter().any(|daemon| daemon.is_quarantined(group, now));
                assert!(!quarantined, "seed {seed}, step {step}, group {group}");
            }
            if step > 4 * 20 {
                // The fifth request is the last one that may run.
                assert!(daemons.iter().all(|daemon| daemon.is_quarantined(CRASHING, now)));
            }
        }
        let ratio = f64::from(refused) / f64::from(sent);
        assert!(ratio <= MAX_REFUSED_RATIO, "seed {seed}: {refused} of {sent} sound requests");
    }
}
