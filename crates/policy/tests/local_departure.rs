//! Which requests a daemon that is about to stop still takes.

use std::time::Duration;

use hyssop_policy::local::departure::{Durations, Stage};

const SHORT: &str = "booking";
const LONG: &str = "letter";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Bookings take up to 80 ms, letters 0.5 to 4 s.
fn recorded() -> Durations {
    let mut durations = Durations::default();
    for index in 0..300 {
        durations.record(SHORT, ms(20 + index % 61));
        durations.record(LONG, ms(500 + (index * 37) % 3_501));
    }
    durations
}

/// For each grace time, the last moment after SIGTERM at which a request is taken while the departure
/// is being announced, and after that.
#[test]
fn short_requests_are_taken_for_longer_than_long_ones() {
    let mut table = String::new();
    for grace_s in [3, 8, 30] {
        let grace = Duration::from_secs(grace_s);
        let durations = recorded();
        let last = |route: &str, deadline: Duration| {
            [Stage::Announcing, Stage::Announced].map(|stage| {
                let times = (0..=grace_s * 100).map(|step| ms(step * 10));
                let taken =
                    times.filter(|&at| durations.takes(route, stage, true, deadline, grace - at));
                taken.max().unwrap_or_default()
            })
        };
        table += &format!(
            "{grace_s:>2} s: booking {:?}, letter {:?}, letter with a deadline of 2 s {:?}, unknown route \
             with a deadline of 6 s {:?}\n",
            last(SHORT, ms(1_500)),
            last(LONG, ms(12_000)),
            last(LONG, ms(2_000)),
            last("unknown", ms(6_000)),
        );
    }
    expect_test::expect![[r#"
         3 s: booking [2.82s, 1.5s], letter [0ns, 0ns], letter with a deadline of 2 s [1s, 1s], unknown route with a deadline of 6 s [0ns, 0ns]
         8 s: booking [7.82s, 6.5s], letter [3.39s, 0ns], letter with a deadline of 2 s [6s, 6s], unknown route with a deadline of 6 s [2s, 2s]
        30 s: booking [29.82s, 28.5s], letter [25.39s, 18s], letter with a deadline of 2 s [28s, 28s], unknown route with a deadline of 6 s [24s, 24s]
    "#]].assert_eq(&table);
}

#[test]
fn few_responses_say_nothing_about_a_route() {
    let mut durations = Durations::default();
    for _ in 0..15 {
        durations.record(LONG, ms(100));
        assert_eq!((durations.likely(LONG), durations.longest(LONG)), (None, None));
    }
    durations.record(LONG, ms(200));
    assert_eq!(durations.likely(LONG), Some(ms(200)));
    assert_eq!(durations.longest(LONG), Some(ms(300)));
}

/// A host with a tenth of a core that has used its CPU quota stalls for most of a period of 100 ms,
/// however short its requests are. Without an allowance for that, a booking that it takes just before
/// its end is cut.
#[test]
fn short_requests_are_not_taken_just_before_the_end() {
    let mut durations = Durations::default();
    for _ in 0..100 {
        durations.record(SHORT, ms(15));
    }
    let stalled = ms(15 + 100);
    for (stage, needed) in [(Stage::Announcing, stalled), (Stage::Announced, ms(1_500))] {
        let takes = |daemon_left| durations.takes(SHORT, stage, true, ms(1_500), daemon_left);
        assert!(!takes(ms(21)) && !takes(needed - ms(1)) && takes(needed), "{stage}");
    }
}

/// A slow spell must not keep a host from taking requests for good.
#[test]
fn old_responses_are_forgotten() {
    let mut durations = Durations::default();
    durations.record(LONG, ms(60_000));
    for _ in 0..255 {
        durations.record(LONG, ms(100));
    }
    assert_eq!(durations.longest(LONG), Some(ms(75_000)));
    durations.record(LONG, ms(100));
    assert_eq!(durations.longest(LONG), Some(ms(200)));
}

#[test]
fn the_number_of_routes_is_bounded() {
    let mut durations = Durations::default();
    for index in 0..100_000 {
        durations.record(&format!("route-{index}"), ms(100));
    }
    for _ in 0..32 {
        durations.record(LONG, ms(100));
    }
    assert_eq!(durations.longest(LONG), Some(ms(200)));
}

/// A refusal costs callers that can't know better one of their tries, so a small risk is taken, but
/// not of losing a response that can't be had again.
#[test]
fn callers_that_can_t_know_are_refused_only_if_a_cut_is_likely() {
    let mut durations = Durations::default();
    for index in 0..100 {
        durations.record(LONG, ms(if index % 20 == 0 { 8_000 } else { 2_000 }));
    }
    let takes =
        |stage, allows_rerun| durations.takes(LONG, stage, allows_rerun, ms(12_000), ms(5_000));
    assert!(takes(Stage::Announcing, true) && !takes(Stage::Announced, true));
    assert!(!takes(Stage::Announcing, false) && !takes(Stage::Announced, false));
}

/// Streams that were short so far say nothing about the next one. Once callers can know of the departure,
/// only the deadline counts.
#[test]
fn a_stream_that_may_outlast_the_daemon_is_left_to_another_one() {
    let mut durations = Durations::default();
    for _ in 0..256 {
        durations.record(LONG, ms(100));
    }
    let takes = |stage, left| durations.takes(LONG, stage, false, ms(left), ms(4_000));
    assert!(!takes(Stage::Announced, 12_000) && takes(Stage::Announced, 4_000));
}

/// A request that is taken while responses are cut gets no answer.
#[test]
fn nothing_is_taken_once_responses_are_cut() {
    let durations = Durations::default();
    assert!(!durations.takes(LONG, Stage::Ending, true, Duration::ZERO, ms(4_000)));
}
