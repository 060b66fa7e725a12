//! Idempotency keys: at most one run, shared by all copies, bound to a home and a workspace.

mod bench;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bench::{
    Bench, Call,
    engine::{Behavior, Fleet, booked, expected},
    incarnation, key, key_at, now_ms,
    process::State,
};
use hyssop_caller::{permits::Decision, registry, registry::Limits};
use hyssop_policy::decision::{Reason, Refusal};

fn slow_fleet(servers: usize) -> Arc<Fleet> {
    let mut fleet = Fleet::build(servers);
    fleet.chunk_interval = Duration::from_millis(5);
    Arc::new(fleet)
}

#[tokio::test(start_paused = true)]
async fn copies_of_a_booking_run_once_and_all_get_its_response() {
    let bench = Bench::new(slow_fleet(2));
    let call = Call::booking("m1").key(key(1, "a"));
    let copies = (0..10).map(|_| bench.send(call.clone()));
    for reply in futures::future::join_all(copies).await {
        assert_eq!((reply.status, reply.body), (200, booked("m1")));
    }
    let replay = bench.send(call).await;
    assert_eq!(replay.body, booked("m1"));
    assert_eq!(bench.fleet.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn copies_of_a_streamed_draft_join_its_run() {
    let bench = Bench::new(slow_fleet(2));
    let call = Call::draft("join").stream().key(key(1, "a"));
    let (first, second) = tokio::join!(bench.send(call.clone()), bench.send(call.clone()));
    assert_eq!(first, second);
    assert_eq!(bench.send(call).await, first);
    assert_eq!(bench.fleet.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_reconnects_gets_the_response_of_its_booking() {
    // The service takes longer than the home waits for a caller to reconnect.
    let mut fleet = Fleet::build(1);
    fleet.chunk_interval = Duration::from_millis(200);
    let bench = Bench::new(Arc::new(fleet));
    let call = Call::booking("m1").key(key(1, "a"));
    let left = tokio::time::timeout(Duration::from_millis(2), bench.send(call.clone())).await;
    assert!(left.is_err());
    bench.home.drain().await;
    assert_eq!(bench.send(call).await.body, booked("m1"));
    assert_eq!(bench.fleet.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_key_reused_with_another_body_is_refused() {
    let bench = Bench::new(Fleet::new(1));
    let name = key(1, "a");
    bench.send(Call::booking("m1").key(&name)).await;
    let reply = bench.send(Call::booking("m2").key(&name)).await;
    assert_eq!((reply.status, reply.reason().as_str()), (422, "key_reused"));
    assert_eq!(bench.send(Call::booking("m1").key(&name)).await.body, booked("m1"));
    assert_eq!(bench.fleet.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_key_belongs_to_its_workspace() {
    let bench = Bench::new(Fleet::new(1));
    let name = key(1, "a");
    let own = bench.send(Call::booking("m1").key(&name)).await;
    let call = Call::booking("m2").key(&name).set("authorization", "Bearer key-quay");
    let other = bench.send(call).await;
    assert_eq!((own.body, other.body), (booked("m1"), booked("m2")));
    assert_eq!(bench.fleet.runs(), 2);
}

#[tokio::test(start_paused = true)]
async fn old_future_and_malformed_keys_dispatch_nothing() {
    let bench = Bench::new(Fleet::new(1));
    let hour = 3_600_000;
    let cases = [
        (key_at(1, now_ms() - hour, "a"), 410, "unknown", "key_expired"),
        // A late copy may run once its time of issue is no longer in the future.
        (key_at(1, now_ms() + hour, "a"), 400, "unknown", "key_in_future"),
        ("nonsense".to_owned(), 400, "refused", "key_malformed"),
        (format!("{}.007.a", incarnation(1)), 400, "refused", "key_malformed"),
    ];
    for (name, status, outcome, reason) in cases {
        let reply = bench.send(Call::booking("m1").key(name)).await;
        let seen = (reply.status, reply.outcome.clone(), reply.reason());
        assert_eq!(seen, (status, outcome.to_owned(), reason.to_owned()));
    }
    let reply = bench.send(Call::booking("m1")).await;
    assert_eq!((reply.status, reply.reason().as_str()), (400, "key_required"));
    assert_eq!(bench.fleet.runs(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_booking_whose_home_is_gone_is_unknown_at_once() {
    let bench = Bench::new(Fleet::new(1));
    let reply = bench.send(Call::booking("m1").key(key(2, "a"))).await;
    assert_eq!((reply.status, reply.outcome.as_str()), (502, "unknown"));
    assert_eq!((reply.reason().as_str(), reply.ran().as_str()), ("home_gone", "may_have_run"));
    assert_eq!(bench.fleet.runs(), 0);
    let draft = bench.send(Call::draft("gone").key(key(2, "a"))).await;
    assert_eq!(draft.ran(), "may_have_run", "the home may be unreachable and refuse it as not run");
}

#[tokio::test(start_paused = true)]
async fn a_draft_whose_home_has_ended_runs_where_it_is_sent() {
    let fleet = Fleet::new(1);
    let (first, second) = relaying_pair(&fleet);
    second.process.set(State::Exited);
    let draft = first.send(Call::draft("gone").key(key(2, "a"))).await;
    assert_eq!((draft.status, fleet.runs()), (200, 1));
    let refusal = Refusal { reason: Reason::QueueFull, retry_after_ms: 100 };
    first.permits.scripted.lock().push(Decision::Refused(refusal));
    let refused = first.send(Call::draft("other").key(key(2, "c"))).await;
    assert_eq!((refused.outcome.as_str(), refused.ran().as_str()), ("unknown", "may_have_run"));
    assert_eq!(refused.reason(), "queue_full");
    let booking = first.send(Call::booking("gone").key(key(2, "b"))).await;
    assert_eq!((booking.ran().as_str(), fleet.runs()), ("may_have_run", 1));
}

#[tokio::test(start_paused = true)]
async fn a_draft_that_ran_is_not_refused_as_not_run() {
    let bench = Bench::new(Fleet::new(1));
    let call = Call::draft("again").key(key(1, "a"));
    for _ in 0..5 {
        bench.fleet.inject(Behavior::Status(500));
    }
    assert_eq!(bench.send(call.clone()).await.ran(), "may_have_run");
    bench.home.drain().await;
    let refusal = Refusal { reason: Reason::QueueFull, retry_after_ms: 100 };
    bench.permits.scripted.lock().push(Decision::Refused(refusal));
    let reply = bench.send(call.clone()).await;
    assert_eq!((reply.reason().as_str(), reply.ran().as_str()), ("queue_full", "may_have_run"));
    assert_eq!((reply.outcome.as_str(), &reply.json()["retry_after_ms"]), ("unknown", &100.into()));
    bench.fleet.servers[0].behaviors.lock().clear();
    assert_eq!(bench.send(call).await.status, 200);
}

/// Two homes that relay to each other.
fn relaying_pair(fleet: &Arc<Fleet>) -> (Bench, Bench) {
    let first = Bench::new(Arc::clone(fleet));
    let relay = Arc::clone(&first.relay);
    let second = Bench::with(2, Arc::clone(fleet), Arc::default(), relay, |builder| builder);
    for (number, bench) in [(1, &first), (2, &second)] {
        let address = ([127, 0, 0, 1], number).into();
        first.relay.homes.lock().insert(address, (bench.home.clone(), bench.process.clone()));
        for names in [&first.directory, &second.directory] {
            names.peers.lock().insert(incarnation(number.into()), address);
        }
    }
    (first, second)
}

#[tokio::test(start_paused = true)]
async fn a_copy_through_another_daemon_reaches_the_home_of_its_key() {
    let fleet = slow_fleet(2);
    let (first, second) = relaying_pair(&fleet);
    let call = Call::booking("m1").key(key(1, "a"));
    let (direct, relayed) = tokio::join!(first.send(call.clone()), second.send(call.clone()));
    assert_eq!((direct.body, relayed.body), (booked("m1"), booked("m1")));
    first.relay.drop_responses.store(true, Ordering::SeqCst);
    let reply = second.send(call).await;
    assert_eq!(reply.outcome, "unknown", "the home may have run it");
    assert_eq!(fleet.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_relayed_request_is_not_relayed_again() {
    let fleet = Fleet::new(1);
    let (first, second) = relaying_pair(&fleet);
    // Each daemon locates incarnation 3 at the address of the other one.
    first.directory.peers.lock().insert(incarnation(3), ([127, 0, 0, 1], 2).into());
    second.directory.peers.lock().insert(incarnation(3), ([127, 0, 0, 1], 1).into());
    let reply = first.send(Call::booking("m1").key(key(3, "a"))).await;
    assert_eq!((reply.outcome.as_str(), fleet.runs()), ("unknown", 0));
}

#[tokio::test(start_paused = true)]
async fn a_request_is_reported_as_not_run_when_no_connection_opens() {
    let bench = Bench::new(Fleet::new(2));
    bench.fleet.refuse_connections.store(true, Ordering::SeqCst);
    let call = Call::booking("m1").key(key(1, "a"));
    let reply = bench.send(call.clone()).await;
    assert_eq!((reply.status, reply.ran().as_str()), (503, "not_run"));
    bench.fleet.refuse_connections.store(false, Ordering::SeqCst);
    let copy = bench.send(call).await;
    assert_eq!(copy.ran(), "not_run", "the caller may already use another key");
    assert_eq!(bench.fleet.runs(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_booking_that_was_sent_is_never_sent_again() {
    let cases = [
        (Behavior::Crash(0), "unknown"),
        (Behavior::Interrupt(0), "unknown"),
        (Behavior::Overloaded, "unknown"),
    ];
    for (behavior, outcome) in cases {
        let bench = Bench::new(Fleet::new(2));
        bench.fleet.inject(behavior);
        let call = Call::booking("m1").key(key(1, "a"));
        let reply = bench.send(call.clone()).await;
        assert_eq!((reply.outcome.as_str(), reply.ran().as_str()), (outcome, "may_have_run"));
        assert_eq!(bench.send(call).await, reply);
        assert_eq!(bench.permits.granted.load(Ordering::SeqCst), 1, "{behavior:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_booking_goes_over_a_fresh_connection_only() {
    let bench = Bench::new(Fleet::new(1));
    bench.send(Call::booking("m1").key(key(1, "a"))).await;
    bench.send(Call::draft("d1").key(key(1, "b"))).await;
    let fresh: Vec<_> = bench.fleet.targets.lock().iter().map(|target| target.fresh).collect();
    assert_eq!(fresh, [true, false]);
}

#[tokio::test(start_paused = true)]
async fn a_stale_permit_is_not_used() {
    let bench = Bench::new(Fleet::new(1));
    bench.permits.stale.store(3, Ordering::SeqCst);
    let reply = bench.send(Call::booking("m1").key(key(1, "a"))).await;
    assert_eq!((reply.status, bench.fleet.runs()), (200, 1));
    bench.permits.stale.store(1000, Ordering::SeqCst);
    let reply = bench.send(Call::booking("m2").key(key(1, "b"))).await;
    assert_eq!((reply.ran().as_str(), bench.fleet.runs()), ("not_run", 1));
}

#[tokio::test(start_paused = true)]
async fn a_full_registry_refuses_new_keys_and_keeps_old_ones() {
    let limits = Limits { max_keys: 3, ..Limits::default() };
    let bench = Bench::with_registry_limits(limits, Fleet::new(1));
    let issued = now_ms();
    for part in ["a", "b", "c"] {
        let reply = bench.send(Call::booking(part).key(key_at(1, issued, part))).await;
        assert_eq!(reply.status, 200);
    }
    let refused = bench.send(Call::booking("d").key(key_at(1, issued, "d"))).await;
    assert_eq!((refused.reason().as_str(), refused.ran().as_str()), ("keys_full", "not_run"));
    for part in ["a", "b", "c"] {
        let reply = bench.send(Call::booking(part).key(key_at(1, issued, part))).await;
        assert_eq!(reply.body, booked(part));
    }
    assert_eq!(bench.fleet.runs(), 3);
    let draft = bench.send(Call::draft("x").key(key(1, "e"))).await;
    assert_eq!(draft.status, 200, "an idempotent request runs unregistered");
}

#[tokio::test(start_paused = true)]
async fn a_refusal_by_a_full_registry_holds_for_late_copies() {
    let clock = Arc::new(hyssop_timer::ManualClock::default());
    let window = Duration::from_secs(60);
    let limits = Limits { max_keys: 1, retention: window, ..Limits::default() };
    let bench = Bench::with(1, Fleet::new(1), Arc::default(), Arc::default(), |builder| {
        builder.registry_limits(limits).clock(clock.clone())
    });
    let start = now_ms();
    bench.send(Call::booking("old").key(key_at(1, start - 50_000, "old"))).await;
    let call = Call::booking("late").key(key_at(1, start, "late"));
    assert_eq!(bench.send(call.clone()).await.ran(), "not_run");
    // The old key has expired, so the registry has room again.
    clock.advance(Duration::from_secs(20));
    assert_eq!(bench.send(call).await.ran(), "not_run");
    let next = Call::booking("next").key(key_at(1, start + 20_000, "next"));
    assert_eq!(bench.send(next).await.status, 200);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_before_registration_holds_for_late_copies() {
    let bench = Bench::new(Fleet::new(1));
    let name = key(1, "a");
    let wrong = Call::booking("m1").key(&name).set("request-class", "no-such-class");
    assert_eq!(bench.send(wrong).await.ran(), "not_run");
    let copy = bench.send(Call::booking("m1").key(&name)).await;
    assert_eq!((copy.ran().as_str(), bench.fleet.runs()), ("not_run", 0));
}

#[tokio::test(start_paused = true)]
async fn a_refused_copy_of_a_recorded_key_has_an_unknown_outcome() {
    let bench = Bench::new(Fleet::new(1));
    let name = key(1, "a");
    bench.send(Call::booking("m1").key(&name)).await;
    let wrong = Call::booking("m1").key(&name).set("request-class", "no-such-class");
    let reply = bench.send(wrong).await;
    assert_eq!((reply.outcome.as_str(), reply.ran().as_str()), ("unknown", "may_have_run"));
}

#[tokio::test(start_paused = true)]
async fn a_request_with_a_response_too_large_to_store_is_not_run_twice() {
    let limits = registry::Limits { max_response_bytes_per_key: 4, ..Limits::default() };
    let bench = Bench::with_registry_limits(limits, Fleet::new(1));
    let call = Call::booking("m1").key(key(1, "a"));
    assert_eq!(bench.send(call.clone()).await.body, booked("m1"));
    bench.home.drain().await;
    let replay = bench.send(call).await;
    assert_eq!((replay.reason().as_str(), replay.ran().as_str()), ("answer_not_kept", "ran"));
    assert_eq!(bench.fleet.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn only_the_home_of_a_key_reports_not_run() {
    let bench = Bench::new(Fleet::new(1));
    let foreign = || Call::booking("m1").key(key(2, "a"));
    // A daemon may have an older document than the home, without the workspace, class or service.
    let cases = [
        foreign().set("authorization", "Bearer new-workspace"),
        Call::booking("m1").key(key(1, "a")).set("authorization", "Bearer old-workspace"),
        foreign().set("request-class", "new-class"),
        Call { path: "/v1/services/new-service/book".into(), ..foreign() },
    ];
    for call in cases {
        let reply = bench.send(call).await;
        assert_eq!((reply.outcome.as_str(), reply.ran().as_str()), ("unknown", "may_have_run"));
    }
}

#[tokio::test(start_paused = true)]
async fn a_draft_cancelled_after_its_dispatch_is_not_refused_as_not_run() {
    let mut fleet = Fleet::build(1);
    fleet.chunk_interval = Duration::from_millis(100);
    let bench = Bench::new(Arc::new(fleet));
    let call = Call::draft("left").key(key(1, "a"));
    let left = tokio::time::timeout(Duration::from_millis(250), bench.send(call.clone())).await;
    assert!(left.is_err());
    bench.home.drain().await;
    assert!(bench.fleet.executions.lock()[0].cancelled);
    let refusal = Refusal { reason: Reason::NoBackend, retry_after_ms: 100 };
    bench.permits.scripted.lock().push(Decision::Refused(refusal));
    let reply = bench.send(call.clone()).await;
    assert_eq!((reply.outcome.as_str(), reply.ran().as_str()), ("unknown", "may_have_run"));
    assert_eq!(bench.send(call.clone()).await.text(), expected(&call.body));
}
