//! Return times and workspace shares while capacity is short.

#[path = "local/mod.rs"]
mod local;
use std::time::{Duration, Instant};

use hyssop_policy::local::{
    admission::turns::{Caller, Turns},
    decider::{Decider, Decision, Reason, Settings},
    demand::Demand,
};

use self::local::{engine, prefill_heavy, settings};

const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// A decider whose only engine is busy for some seconds.
fn overloaded(now: Instant) -> Decider {
    let mut decider = Decider::new(Settings { fair_shares: true, ..settings("a") });
    decider.set_servers(vec![engine(0)]);
    for number in 0..200 {
        let demand =
            Demand { deadline: now + Duration::from_secs(60), ..prefill_heavy(number, now) };
        let Decision::Send(placement) = decider.place_request(&demand, now) else { return decider };
        decider.record_sent(&placement, &demand, now);
    }
    panic!("the engine is never full");
}

fn refused(decider: &mut Decider, demand: &Demand, now: Instant) -> Duration {
    match decider.place_request(demand, now) {
        Decision::Refuse { reason: Reason::Overload, retry_after, .. } => retry_after,
        other => panic!("{other:?}"),
    }
}

/// Guards against callers that are refused together and return together.
#[test]
fn refused_callers_return_one_after_the_other() {
    let now = Instant::now();
    let mut turns = Turns::default();
    for ms in (0..2_000).step_by(100) {
        turns.record_start(now + Duration::from_millis(ms));
    }
    let now = now + Duration::from_millis(1_900);
    let caller = Caller { left: Duration::from_secs(30), is_returning: false };
    let told: Vec<_> = (0..20).map(|_| turns.book(&caller, MIN_RETRY_AFTER, 0.5, now)).collect();
    for pair in told.windows(2) {
        assert!(pair[1] >= pair[0] + turns.interval(now), "{told:?}");
    }
}

/// Guards against a time to return that the caller does not honour, after which its turn is lost.
#[test]
fn no_caller_is_told_more_than_a_third_of_its_time() {
    let now = Instant::now();
    let mut decider = overloaded(now);
    for left_ms in (50..6_000).step_by(130).chain((50..6_000).step_by(70)) {
        let left = Duration::from_millis(left_ms);
        let demand = Demand { deadline: now + left, ..prefill_heavy(left_ms, now) };
        let told = refused(&mut decider, &demand, now);
        assert!(told <= left / 3, "{told:?} of {left:?}");
        assert!(told >= MIN_RETRY_AFTER.min(left / 3), "{told:?} of {left:?}");
    }
}

/// Guards against callers that return too late because others with more time were refused first.
#[test]
fn callers_with_less_time_return_sooner() {
    let now = Instant::now();
    let mut decider = overloaded(now);
    let patient = Demand { deadline: now + Duration::from_secs(5), ..prefill_heavy(1_001, now) };
    let returning = Demand {
        deadline: now + Duration::from_secs(3),
        is_returning: true,
        ..prefill_heavy(1_002, now)
    };
    let patient: Vec<_> = (0..2).map(|_| refused(&mut decider, &patient, now)).collect();
    let returning = refused(&mut decider, &returning, now);
    assert!(patient.iter().all(|told| returning < *told), "{returning:?}, {patient:?}");
}
