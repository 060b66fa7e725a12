//! `hyssopctl` against whole deployments.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::print_stderr, reason = "a test prints its figures")]

mod support;

use std::{
    net::SocketAddr,
    process::Command,
    time::{Duration, Instant},
};

use expect_test::expect;
use hyssop_document::{load, name, number::Tier};
use hyssop_fakes::{
    client,
    cluster::Cluster,
    history::{Event, Outcome},
    shape::{self, OPERATOR_KEY},
};
use hyssop_operator::histogram::Report;
use serde_json::Value;
use support::{builder, deployment_slot, scheduler_index, source, under_load};

/// The guaranteed time until orders are in force and the status of the fleet is up to date.
const MAX_CONTROL_DELAY: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The output of a run of `hyssopctl` and its exit code.
struct Run {
    printed: String,
    code: i32,
}

/// Runs `hyssopctl` with the operator addresses of daemons, in the order to try them.
async fn run(cluster: &Cluster, daemons: &[usize], arguments: &[&str]) -> Run {
    let operator = |&index: &usize| cluster.shape().network.daemon(index).operator.to_string();
    let servers: Vec<_> = daemons.iter().map(operator).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_node"));
    command
        .arg("ctl")
        .args(arguments)
        .env("HYSSOP_OPERATOR_KEY", OPERATOR_KEY)
        .env("HYSSOP_SERVERS", servers.join(","));
    let output = tokio::task::spawn_blocking(move || command.output()).await.unwrap().unwrap();
    let printed = String::from_utf8(output.stdout).unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    Run { printed: printed + &errors, code: output.status.code().unwrap() }
}

/// Runs `hyssopctl` until its output contains a text.
async fn wait_for_output(
    cluster: &Cluster,
    daemons: &[usize],
    arguments: &[&str],
    text: &str,
) -> Run {
    let end = Instant::now() + MAX_CONTROL_DELAY;
    loop {
        let run = run(cluster, daemons, arguments).await;
        if run.printed.contains(text) {
            return run;
        }
        assert!(Instant::now() < end, "{text:?} is not in\n{}\n{}", run.printed, cluster.logs(20));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_document_and_zone_orders_of_a_fleet() {
    let _slot = deployment_slot().await;
    let cluster = builder(3).start().await.unwrap();
    let status = wait_for_output(&cluster, &[0], &["status", "--all"], "bookings-1").await;
    assert_eq!(status.code, 0, "{}", status.printed);
    assert!(!status.printed.contains("partial"), "{}", status.printed);
    for host in (0..3).map(shape::host) {
        assert!(status.printed.contains(&format!("\n{host} ")), "{}", status.printed);
    }

    let document = run(&cluster, &[1], &["document"]).await;
    let published = load::parse(&cluster.shape().bytes()).unwrap();
    assert_eq!(load::parse(document.printed.as_bytes()).unwrap().document, published.document);

    let out = run(&cluster, &[2], &["zone", "out", "z1"]).await;
    assert!(out.code == 0 && out.printed.contains("in force on h1, h2, h3"), "{}", out.printed);
    wait_for_output(&cluster, &[0], &["status"], "zones: z1;").await;
    let unknown = run(&cluster, &[2], &["zone", "out", "z9"]).await;
    assert!(
        unknown.code == 1 && unknown.printed.contains("unknown zone z9"),
        "{}",
        unknown.printed
    );
    let unknown = run(&cluster, &[2], &["host", "out", "h9"]).await;
    assert!(
        unknown.code == 1 && unknown.printed.contains("unknown host h9"),
        "{}",
        unknown.printed
    );
    let back = run(&cluster, &[1], &["zone", "in", "z1"]).await;
    assert!(back.code == 0, "{}", back.printed);
    wait_for_output(&cluster, &[0], &["status"], "zones: none;").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_who_race_one_gets_a_conflict() {
    let _slot = deployment_slot().await;
    let cluster = builder(3).start().await.unwrap();
    for round in 0..5 {
        let revision = round.to_string();
        let (zone, host) = (["zone", "out", "z1"], ["host", "out", "h3"]);
        let (zone_back, host_back) = (["zone", "in", "z1"], ["host", "in", "h3"]);
        let (first, second) = if round % 2 == 0 { (zone, host) } else { (zone_back, host_back) };
        let with = |arguments: [&'static str; 3]| {
            let revision = revision.clone();
            let cluster = &cluster;
            async move {
                let index = usize::from(arguments[0] == "zone");
                let arguments = [&arguments[..], &["--if-revision", &revision]].concat();
                run(cluster, &[index], &arguments).await
            }
        };
        let (first, second) = tokio::join!(with(first), with(second));
        let mut codes = [first.code, second.code];
        codes.sort_unstable();
        assert_eq!(codes, [0, 1], "{}{}", first.printed, second.printed);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_host_is_reported_as_not_reached() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).start().await.unwrap();
    wait_for_output(&cluster, &[0], &["status"], "\nh3 ").await;
    cluster.daemons[2].kill();
    let status = wait_for_output(&cluster, &[2, 0], &["status"], "partial: not reached: h3").await;
    assert_eq!(status.code, 0, "{}", status.printed);
    let order = run(&cluster, &[2, 1], &["zone", "out", "z2"]).await;
    assert_eq!(order.code, 0, "{}", order.printed);
    assert!(order.printed.contains("partial: not reached: h3"), "{}", order.printed);
    let histograms = run(&cluster, &[2, 0], &["histograms"]).await;
    assert!(histograms.printed.contains("partial: not reached: h3"), "{}", histograms.printed);
    let unreached = run(&cluster, &[2], &["status", "--timeout", "1"]).await;
    assert!(
        unreached.code == 2 && unreached.printed.contains("no server answered"),
        "{}",
        unreached.printed
    );

    cluster.restart(2).await.unwrap();
    wait_for_output(&cluster, &[2], &["status"], "zones: z2;").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn histograms_count_every_response() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).start().await.unwrap();
    let source = source(7, Duration::from_secs(4));
    let outcomes = under_load(&mut cluster, &source, async |_| {}).await;
    outcomes.check(&cluster);
    let answered = outcomes.count_ended(Outcome::Answered) as u64;
    let histograms = run(&cluster, &[1], &["histograms", "--json"]).await;
    let report: Report = serde_json::from_str(&histograms.printed).unwrap();
    assert!(!report.partial);
    let counted: u64 = report.rows.iter().map(|row| row.answered).sum();
    assert_eq!(counted, answered, "{}", histograms.printed);
    let times: u64 = report.rows.iter().map(|row| row.complete.count()).sum();
    assert_eq!(times, answered);

    let class = name::Class::new("booking");
    let sent = outcomes.events.iter().filter_map(|event| match event {
        Event::Sent(sent) if sent.class == class => Some((sent.request, sent.attempt)),
        _ => None,
    });
    let sent: Vec<_> = sent.collect();
    let ended = outcomes.events.iter().filter(|event| {
        matches!(event, Event::Ended(ended) if ended.outcome == Outcome::Answered
            && sent.contains(&(ended.request, ended.attempt)))
    });
    let booking_report = run(&cluster, &[0], &["histograms", "--class", "booking", "--json"]).await;
    let report: Report = serde_json::from_str(&booking_report.printed).unwrap();
    let counted: u64 = report.rows.iter().map(|row| row.answered).sum();
    assert_eq!(counted, ended.count() as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_out_of_service_gets_no_callers_and_schedules_nothing() {
    let _slot = deployment_slot().await;
    let cluster = builder(3).start().await.unwrap();
    wait_for_output(&cluster, &[0], &["status", "--all"], "bookings-1").await;
    let victim = scheduler_index(&cluster, "desk").await;
    let host = shape::host(victim);
    let out = run(&cluster, &[0], &["host", "out", host.as_str()]).await;
    assert_eq!(out.code, 0, "{}", out.printed);
    let end = Instant::now() + MAX_CONTROL_DELAY;
    loop {
        let moved = scheduler_index(&cluster, "desk").await != victim;
        let mut removed = true;
        for caller in cluster.caller_addresses() {
            removed &= !addresses(caller).await.contains(&host);
        }
        if moved && removed {
            break;
        }
        assert!(Instant::now() < end, "moved={moved} removed={removed}\n{}", cluster.logs(20));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let back = run(&cluster, &[0], &["host", "in", host.as_str()]).await;
    assert_eq!(back.code, 0, "{}", back.printed);
    while !addresses(cluster.caller_addresses()[0]).await.contains(&host) {
        assert!(Instant::now() < end + MAX_CONTROL_DELAY, "{}", cluster.logs(20));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The hosts that a daemon advertises to callers.
async fn addresses(caller: SocketAddr) -> Vec<name::Host> {
    let bytes = client::get(caller, "/v1/addresses").await.unwrap();
    let body: Value = serde_json::from_slice(&bytes).unwrap();
    let entries = body["addresses"].as_array().unwrap().iter();
    entries.map(|entry| entry["host"].as_str().unwrap().parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_host_is_reported_as_not_reached() {
    let _slot = deployment_slot().await;
    let cluster = builder(3).start().await.unwrap();
    wait_for_output(&cluster, &[0], &["status"], "\nh2 ").await;
    cluster.daemons[1].suspend().unwrap();
    let arguments = ["status", "--timeout", "2"];
    let status = wait_for_output(&cluster, &[1, 2], &arguments, "partial: not reached: h2").await;
    assert_eq!(status.code, 0, "{}", status.printed);
    cluster.daemons[1].resume().unwrap();
    wait_for_output(&cluster, &[1], &["status"], "answered by h2\norders").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_document_is_reported_and_not_adopted() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).start().await.unwrap();
    let good = cluster.shape().document.clone();
    cluster.change_document(|document| document.classes[0].tier = Tier(9)).await.unwrap();
    let fault = "    classes[0].tier: a whole number from 1 to 8 is needed, found 9\n";
    let status = wait_for_output(&cluster, &[2], &["status"], fault).await;
    assert!(status.printed.contains(": document from platform: 1 faults"), "{}", status.printed);
    let document = run(&cluster, &[2], &["document"]).await;
    assert_eq!(load::parse(document.printed.as_bytes()).unwrap().document, good);

    cluster.change_document(|document| document.classes[0].tier = Tier(1)).await.unwrap();
    let end = Instant::now() + MAX_CONTROL_DELAY;
    while run(&cluster, &[2], &["status"]).await.printed.contains("note: rejected") {
        assert!(Instant::now() < end, "{}", cluster.logs(20));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_tables_of_an_idle_fleet() {
    let _slot = deployment_slot().await;
    let cluster = builder(3).start().await.unwrap();
    let refused = Command::new(env!("CARGO_BIN_EXE_node"))
        .args(["ctl", "status", "--server"])
        .arg(cluster.shape().network.daemon(0).operator.to_string())
        .env("HYSSOP_OPERATOR_KEY", "wrong")
        .output()
        .unwrap();
    assert_eq!(refused.status.code(), Some(1));
    let quarantine = run(&cluster, &[0], &["quarantine"]).await;
    assert_eq!((quarantine.printed.as_str(), quarantine.code), ("no quarantined requests\n", 0));
    let release = run(&cluster, &[0], &["quarantine", "release", "00000000000000aa"]).await;
    assert_eq!(release.code, 1, "{}", release.printed);
    let end = Instant::now() + MAX_CONTROL_DELAY;
    let status = loop {
        let status = masked(&run(&cluster, &[0], &["status", "--all"]).await.printed);
        // The schedulers of both groups hold all votes.
        if status.matches(" 3/3 ").count() == 2 {
            break status;
        }
        assert!(Instant::now() < end, "{status}\n{}", cluster.logs(20));
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    expect![[r#"
        answered by h1
        orders revision 0
        out of service: zones: none; hosts: none

        HOST ZONE ADDRESS READY LEAVING DOCUMENT ORDERS RUNNING UPTIME INCARNATION
        h1 z1 ADDRESS yes no 1 (DIGEST) 0 (DIGEST) 0 UPTIME INCARNATION
        h2 z2 ADDRESS yes no 1 (DIGEST) 0 (DIGEST) 0 UPTIME INCARNATION
        h3 z3 ADDRESS yes no 1 (DIGEST) 0 (DIGEST) 0 UPTIME INCARNATION

        GROUP SCHEDULER VOTES BACKENDS RUNNING WAITING
        desk#0 h1 3/3 4 0 none
        bookings#0 h3 3/3 2 0 none

        backend servers: 4 cold, 2 warm
        BACKEND GROUP ZONE STATE RUNNING LIMIT SHARE REPORTED
        desk-0 desk#0 z1 cold 0 2 2 0
        desk-1 desk#0 z2 cold 0 2 2 0
        desk-2 desk#0 z3 cold 0 2 2 0
        desk-3 desk#0 z1 cold 0 2 2 0
        bookings-0 bookings#0 z1 warm 0 16 16 0
        bookings-1 bookings#0 z2 warm 0 16 16 0
    "#]]
    .assert_eq(&status);
}

/// Normalizes white space and replaces the words that differ between runs.
fn masked(text: &str) -> String {
    let mut masked = String::new();
    for line in text.lines() {
        let words: Vec<_> = line.split_whitespace().map(mask).collect();
        masked.push_str(&words.join(" "));
        masked.push('\n');
    }
    masked
}

fn mask(word: &str) -> String {
    let hexadecimal = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let inner = word.trim_matches(['(', ')']);
    if word.parse::<SocketAddr>().is_ok() {
        return "ADDRESS".to_owned();
    }
    if word.len() == 16 && hexadecimal(word) {
        return "INCARNATION".to_owned();
    }
    if inner.len() == 8 && hexadecimal(inner) {
        return "(DIGEST)".to_owned();
    }
    let seconds = word.trim_end_matches("ms").trim_end_matches('s');
    if seconds != word && seconds.parse::<u64>().is_ok() {
        return "UPTIME".to_owned();
    }
    word.to_owned()
}
