//! Requests that crash backend servers become suspects and are quarantined.

mod bench;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bench::{
    Bench, Call,
    engine::{Behavior, Fleet, expected},
    process::State,
};

/// Daemons that share their crash records.
fn daemons(fleet: &Arc<Fleet>, count: u64) -> Vec<Bench> {
    let suspects = Arc::default();
    (1..=count)
        .map(|number| {
            let wire = Arc::default();
            Bench::with(number, Arc::clone(fleet), Arc::clone(&suspects), wire, |b| b)
        })
        .collect()
}

#[tokio::test(start_paused = true)]
async fn one_request_costs_at_most_three_backend_servers() {
    let fleet = Fleet::new(6);
    let daemons = daemons(&fleet, 3);
    for round in 0..5 {
        for daemon in &daemons {
            let reply = daemon.send(Call::draft("poison")).await;
            assert_eq!((reply.status, reply.reason().as_str()), (422, "quarantined"), "{round}");
            assert_eq!(reply.ran(), "ran");
        }
    }
    assert_eq!(fleet.crashes.load(Ordering::SeqCst), 3);
}

#[tokio::test(start_paused = true)]
async fn requests_interrupted_by_a_crash_complete_and_are_cleared() {
    let mut fleet = Fleet::build(2);
    fleet.chunk_interval = Duration::from_millis(2);
    let fleet = Arc::new(fleet);
    let daemons = daemons(&fleet, 2);
    let calls: Vec<_> = (0..20).map(|n| Call::draft(&format!("innocent {n}"))).collect();
    let sent = calls.iter().enumerate().map(|(n, call)| daemons[n % 2].send(call.clone()));
    let (replies, poison) =
        tokio::join!(futures::future::join_all(sent), daemons[0].send(Call::draft("poison")));
    for (call, reply) in calls.iter().zip(replies) {
        assert_eq!(reply.text(), expected(&call.body), "{}", reply.body);
    }
    assert_eq!(poison.reason(), "quarantined");
    assert!(fleet.crashes.load(Ordering::SeqCst) <= 3);
    let suspects = daemons[0].quarantine.crashes.lock().len();
    assert_eq!(suspects, 1, "only the crashing request is still recorded");
}

#[tokio::test(start_paused = true)]
async fn copies_of_a_suspect_run_one_at_a_time() {
    let mut fleet = Fleet::build(6);
    fleet.chunk_interval = Duration::from_millis(1);
    let fleet = Arc::new(fleet);
    let daemons = daemons(&fleet, 1);
    // The first copy makes the request a suspect; the others wait for its lock.
    let first = daemons[0].send(Call::draft("poison"));
    let later = async {
        tokio::time::sleep(Duration::from_millis(8)).await;
        futures::future::join_all((0..8).map(|_| daemons[0].send(Call::draft("poison")))).await
    };
    let (first, later) = tokio::join!(first, later);
    assert_eq!(first.reason(), "quarantined");
    assert!(later.iter().all(|reply| reply.reason() == "quarantined"));
    assert!(fleet.crashes.load(Ordering::SeqCst) <= 3);
}

#[tokio::test(start_paused = true)]
async fn suspects_request_permits_as_suspects() {
    let fleet = Fleet::new(6);
    let daemons = daemons(&fleet, 1);
    daemons[0].send(Call::draft("poison")).await;
    let suspect: Vec<_> =
        daemons[0].permits.requests.lock().iter().map(|request| request.suspect).collect();
    assert_eq!(suspect, [false, true, true]);
}

#[tokio::test(start_paused = true)]
async fn a_booking_that_crashes_its_service_is_unknown_and_not_repeated() {
    let fleet = Fleet::new(3);
    let daemons = daemons(&fleet, 2);
    for (round, daemon) in daemons.iter().cycle().take(8).enumerate() {
        let home = round as u64 % 2 + 1;
        let call = Call::booking("poison").key(bench::key(home, &format!("k{round}")));
        let reply = daemon.send(call).await;
        assert_ne!(reply.ran(), "not_run");
    }
    assert_eq!(fleet.crashes.load(Ordering::SeqCst), 3);
}

#[tokio::test(start_paused = true)]
async fn an_attempt_unknown_to_the_engine_is_not_a_crash() {
    let fleet = Fleet::new(2);
    let daemons = daemons(&fleet, 1);
    fleet.inject(Behavior::Forget(4));
    let call = Call::draft("forgotten");
    assert_eq!(daemons[0].send(call.clone()).await.text(), expected(&call.body));
    assert!(daemons[0].permits.requests.lock().iter().all(|request| !request.suspect));
}

#[tokio::test(start_paused = true)]
async fn a_quick_restart_is_a_crash() {
    let mut fleet = Fleet::build(6);
    fleet.instant_restart = true;
    let fleet = Arc::new(fleet);
    let daemons = daemons(&fleet, 1);
    let reply = daemons[0].send(Call::draft("poison")).await;
    assert_eq!(reply.reason(), "quarantined");
    assert_eq!(fleet.crashes.load(Ordering::SeqCst), 3);
}

/// A crashing engine may accept a connection without reporting its incarnation. If that counts as a
/// lost connection, the request crashes a fourth engine; this happened in CI under load.
#[tokio::test(start_paused = true)]
async fn a_crashing_engine_that_still_accepts_connections_has_crashed() {
    let mut fleet = Fleet::build(6);
    (fleet.instant_restart, fleet.unanswered_queries) = (true, 2);
    let fleet = Arc::new(fleet);
    let daemons = daemons(&fleet, 1);
    let reply = daemons[0].send(Call::draft("poison")).await;
    assert_eq!(reply.reason(), "quarantined");
    assert_eq!(fleet.crashes.load(Ordering::SeqCst), 3);
}

/// A crashing engine may reset the connections that it has not accepted yet. If that counts as an
/// engine out of reach, the request crashes a fourth engine.
#[tokio::test(start_paused = true)]
async fn a_crashing_engine_that_resets_connections_has_crashed() {
    let mut fleet = Fleet::build(6);
    fleet.connection_resets = 2;
    let fleet = Arc::new(fleet);
    let daemons = daemons(&fleet, 1);
    let reply = daemons[0].send(Call::draft("poison")).await;
    assert_eq!(reply.reason(), "quarantined");
    assert_eq!(fleet.crashes.load(Ordering::SeqCst), 3);
}

#[tokio::test(start_paused = true)]
async fn the_fingerprint_ignores_field_order_and_delivery_fields() {
    let fleet = Fleet::new(6);
    let daemons = daemons(&fleet, 1);
    let reordered = Call {
        body: r#"{"prompt":"poison","user":"u2","stream":true, "model":"model","max_tokens":12}"#
            .to_owned(),
        ..Call::draft("poison")
    };
    for call in [Call::draft("poison"), Call::draft("poison").stream(), reordered] {
        assert_eq!(daemons[0].send(call).await.reason(), "quarantined");
    }
    assert_eq!(fleet.crashes.load(Ordering::SeqCst), 3);
}

#[tokio::test(start_paused = true)]
async fn a_request_quarantined_while_it_waits_is_not_run() {
    let fleet = Fleet::new(6);
    let daemons = daemons(&fleet, 2);
    daemons[1].process.set(State::Suspended);
    let waiting = daemons[1].send(Call::draft("poison"));
    let meanwhile = async {
        tokio::task::yield_now().await;
        assert_eq!(daemons[0].send(Call::draft("poison")).await.reason(), "quarantined");
        daemons[1].process.set(State::Running);
    };
    let (reply, ()) = tokio::join!(waiting, meanwhile);
    assert_eq!(reply.reason(), "quarantined");
    assert_eq!(fleet.crashes.load(Ordering::SeqCst), 3);
}
