//! Failures of daemons, links and the platform under load, with a check of the history after each.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::print_stderr, reason = "a test prints its figures")]

mod support;

use std::time::{Duration, Instant};

use hyper::Method;
use hyssop_document::{model::Document, name, order};
use hyssop_fakes::{
    engine,
    history::{Event, Outcome},
    record::{Record, unix_ms},
    shape,
};
use serde_json::{Value, json};
use support::{builder, deployment_slot, scheduler_index, source, status, under_load};

/// The guaranteed time until orders and documents are in force and a scheduler is replaced.
const MAX_CONTROL_DELAY: Duration = Duration::from_secs(5);

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Engines that stay cold, with a limit of two requests each that schedulers reach under load.
fn cold_engines() -> engine::Settings {
    engine::Settings { warm_after: u64::MAX, ..engine::Settings::default() }
}

async fn sleep(duration: Duration) {
    tokio::time::sleep(duration).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_scheduler_is_replaced() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).engine(cold_engines()).start().await.unwrap();
    let victim = scheduler_index(&cluster, "desk").await;
    let outcomes = under_load(&mut cluster, &source(1, secs(8.0)), async |cluster| {
        sleep(secs(2.0)).await;
        cluster.daemons[victim].kill();
        sleep(secs(3.0)).await;
        cluster.restart(victim).await.unwrap();
    })
    .await;
    outcomes.print("killed scheduler");
    outcomes.check(&cluster);
    assert!(outcomes.longest_gap() < MAX_CONTROL_DELAY);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_scheduler_grants_nothing_when_it_resumes() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).engine(cold_engines()).start().await.unwrap();
    let victim = scheduler_index(&cluster, "desk").await;
    let outcomes = under_load(&mut cluster, &source(2, secs(9.0)), async |cluster| {
        sleep(secs(2.0)).await;
        cluster.daemons[victim].suspend().unwrap();
        sleep(secs(4.0)).await;
        cluster.daemons[victim].resume().unwrap();
    })
    .await;
    outcomes.print("frozen scheduler");
    outcomes.check(&cluster);
    assert!(outcomes.longest_gap() < MAX_CONTROL_DELAY);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_home_dispatches_nothing_stale_when_it_resumes() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).start().await.unwrap();
    let scheduler = scheduler_index(&cluster, "desk").await;
    let victim = (scheduler + 1) % 3;
    let outcomes = under_load(&mut cluster, &source(3, secs(9.0)), async |cluster| {
        for _ in 0..2 {
            sleep(secs(1.5)).await;
            cluster.daemons[victim].suspend().unwrap();
            sleep(secs(2.5)).await;
            cluster.daemons[victim].resume().unwrap();
        }
    })
    .await;
    outcomes.print("frozen home");
    outcomes.check(&cluster);
}

#[tokio::test(flavor = "multi_thread")]
async fn both_halves_of_a_partition_serve_within_the_limits() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(4).links().engine(cold_engines()).start().await.unwrap();
    let (mut from_ms, mut to_ms) = (0, 0);
    let outcomes = under_load(&mut cluster, &source(4, secs(12.0)), async |cluster| {
        sleep(secs(2.0)).await;
        cluster.set_partition(&[0, 1], true);
        sleep(secs(3.0)).await;
        // Both halves have elected schedulers after this delay.
        from_ms = unix_ms();
        sleep(secs(4.0)).await;
        to_ms = unix_ms();
        cluster.set_partition(&[0, 1], false);
    })
    .await;
    outcomes.print("partition");
    outcomes.check(&cluster);
    for half in [[0, 1], [2, 3]] {
        let callers = half.map(|index| cluster.shape().network.daemon(index).caller);
        let sent = outcomes.events.iter().filter_map(|event| match event {
            Event::Sent(sent) if callers.contains(&sent.to) => Some((sent.request, sent.attempt)),
            _ => None,
        });
        let sent: Vec<_> = sent.collect();
        let answered = outcomes.events.iter().filter(|event| match event {
            Event::Ended(ended) => {
                ended.outcome == Outcome::Answered
                    && (from_ms..to_ms).contains(&ended.at_ms)
                    && sent.contains(&(ended.request, ended.attempt))
            }
            Event::Sent(_) => false,
        });
        let answered = answered.count();
        eprintln!("partition: half {half:?} answered {answered} in 4 s");
        assert!(answered > 20, "half {half:?} answered {answered}\n{}", cluster.logs(30));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_does_not_adopt_a_stale_document() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).start().await.unwrap();
    cluster.change_document(|document| document.pools[0].warm_limit = 7).await.unwrap();
    wait_in_force(&cluster, 2).await;
    cluster.platform_fault("stale", "2").await.unwrap();
    let outcomes = under_load(&mut cluster, &source(5, secs(6.0)), async |cluster| {
        sleep(secs(1.0)).await;
        cluster.daemons[1].kill();
        cluster.restart(1).await.unwrap();
        let found = revision(&status(cluster, 1).await, 1);
        assert_eq!(found, Some(2), "{}", cluster.logs(30));
        cluster.platform_fault("outage", "error").await.unwrap();
        cluster.daemons[2].kill();
        cluster.restart(2).await.unwrap();
        let found = revision(&status(cluster, 2).await, 2);
        assert_eq!(found, Some(2), "{}", cluster.logs(30));
    })
    .await;
    outcomes.print("stale platform");
    outcomes.check(&cluster);
}

/// The document revision in force on a daemon, from the status of the fleet.
fn revision(status: &Value, index: usize) -> Option<u64> {
    let host = shape::host(index);
    let mut hosts = status["hosts"].as_array().unwrap().iter();
    let found = hosts.find(|entry| entry["host"] == host.as_str())?;
    found["document"]["revision"].as_u64()
}

/// Waits until a revision is in force on all daemons; returns the time that this took.
async fn wait_in_force(cluster: &hyssop_fakes::cluster::Cluster, wanted: u64) -> Duration {
    let started = Instant::now();
    loop {
        let status = status(cluster, 0).await;
        let count = status["hosts"].as_array().unwrap().len();
        if (0..count).all(|index| revision(&status, index) == Some(wanted)) {
            return started.elapsed();
        }
        assert!(
            started.elapsed() < MAX_CONTROL_DELAY,
            "revision {wanted} is not in force: {status}"
        );
        sleep(secs(0.01)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_everywhere_within_the_bound() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(6).start().await.unwrap();
    let mut times = Vec::new();
    for revision in 2..32 {
        let limit = 5 + (revision % 3) as u32;
        cluster.change_document(|document| document.pools[0].warm_limit = limit).await.unwrap();
        times.push(wait_in_force(&cluster, revision).await);
    }
    times.sort();
    let ms = |index: usize| times[index].as_millis();
    eprintln!("change in force on 6 daemons: p50={} ms worst={} ms of 30", ms(15), ms(29));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_gets_a_conflict() {
    let _slot = deployment_slot().await;
    let cluster = builder(3).start().await.unwrap();
    for round in 0..10 {
        let order = |zone: &str, out: bool| json!({ "target": { "zone": zone }, "out": out, "if_revision": round });
        let first = order("z1", round % 2 == 0);
        let second = order("z2", round % 2 == 0);
        let (first, second) = tokio::join!(
            cluster.call_operator(0, Method::POST, "/v1/orders", &first),
            cluster.call_operator(1, Method::POST, "/v1/orders", &second),
        );
        let mut codes = [first.unwrap().0, second.unwrap().0];
        codes.sort_unstable();
        assert_eq!(codes, [200, 409], "round {round}\n{}", cluster.logs(30));
        let states = [0, 1, 2]
            .map(|index| cluster.call_operator(index, Method::GET, "/v1/orders", &Value::Null));
        let states = futures::future::join_all(states).await;
        let states: Vec<_> = states.into_iter().map(|state| state.unwrap().1).collect();
        assert_eq!(states[0]["revision"], json!(round + 1));
        assert!(states.iter().all(|state| *state == states[0]), "{states:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_out_gets_no_new_work() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).start().await.unwrap();
    let zone = name::Zone::new("z1");
    let target = order::Target::Zone(zone.clone());
    let (mut out_ms, mut in_ms) = (0, 0);
    let outcomes = under_load(&mut cluster, &source(6, secs(12.0)), async |cluster| {
        sleep(secs(2.0)).await;
        let (code, response) = cluster.order(1, target.clone(), true).await.unwrap();
        out_ms = unix_ms();
        assert_eq!((code, &response["partial"]), (200, &json!(false)), "{response}");
        // Longer than the guaranteed time, so that work after it would be detected.
        sleep(MAX_CONTROL_DELAY + secs(2.0)).await;
        in_ms = unix_ms();
        let (code, _) = cluster.order(2, target, false).await.unwrap();
        assert_eq!(code, 200);
    })
    .await;
    outcomes.print("zone out and in");
    outcomes.check(&cluster);
    let document = &cluster.shape().document;
    let in_zone = document.backends.iter().zip(&outcomes.records).filter(|(b, _)| b.zone == zone);
    let arrivals: Vec<_> = in_zone
        .flat_map(|(_, record)| record.executions.iter().map(|execution| execution.arrived_ms))
        .collect();
    let last = arrivals.iter().filter(|at| **at < in_ms).max().copied().unwrap_or_default();
    eprintln!("zone out: last new work {} ms after the confirmation", last as i64 - out_ms as i64);
    assert!(last < out_ms + MAX_CONTROL_DELAY.as_millis() as u64, "{}", cluster.logs(30));
    assert!(arrivals.iter().any(|at| *at > in_ms), "the zone received no work after its return");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_leaves_gets_no_new_work() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).start().await.unwrap();
    let leaving = cluster.shape().document.backends.len() - 1;
    let mut published_ms = 0;
    let mut outcomes = under_load(&mut cluster, &source(8, secs(7.0)), async |cluster| {
        sleep(secs(2.0)).await;
        let remove = |document: &mut Document| document.backends.truncate(leaving);
        cluster.change_document(remove).await.unwrap();
        published_ms = unix_ms();
    })
    .await;
    let record = cluster.control_backend(leaving, "record", "").await.unwrap();
    let record: Record = serde_json::from_slice(&record).unwrap();
    let arrivals: Vec<_> = record.executions.iter().map(|execution| execution.arrived_ms).collect();
    outcomes.records.push(record);
    outcomes.print("backend server leaves");
    outcomes.check(&cluster);
    let last_ms = arrivals
        .iter()
        .max()
        .copied()
        .expect("the backend server received no work before it was removed");
    let after_ms = last_ms as i64 - published_ms as i64;
    eprintln!("backend server leaves: last new work {after_ms} ms after the publication");
    assert!(last_ms < published_ms + MAX_CONTROL_DELAY.as_millis() as u64, "{}", cluster.logs(30));
    let (sent, answered) = outcomes.answered();
    assert_eq!(sent, answered, "{}", cluster.logs(30));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_aborts_no_request() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).start().await.unwrap();
    let outcomes = under_load(&mut cluster, &source(7, secs(12.0)), async |cluster| {
        for index in 0..3 {
            sleep(secs(0.5)).await;
            cluster.daemons[index].terminate().unwrap();
            let ended = cluster.daemons[index].wait(secs(15.0)).await.unwrap();
            assert!(ended.success(), "daemon {index}: {ended}\n{}", cluster.logs(30));
            cluster.restart(index).await.unwrap();
        }
    })
    .await;
    outcomes.print("rolling restart");
    outcomes.check(&cluster);
    let aborted = [Outcome::Unknown, Outcome::Failed].map(|outcome| outcomes.count_ended(outcome));
    assert_eq!(aborted, [0, 0], "{}", cluster.logs(30));
    let (sent, answered) = outcomes.answered();
    assert_eq!(sent, answered, "{}", cluster.logs(30));
}
