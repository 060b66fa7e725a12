//! The operators' command against whole deployments.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::print_stderr, reason = "a test prints its figures")]

mod support;

use std::{
    process::Command,
    time::{Duration, Instant},
};

use hyssop_document::{load, name};
use hyssop_fakes::{
    cluster::Cluster,
    history::{Event, Outcome},
    shape::{self, OPERATOR_KEY},
};
use hyssop_operator::histogram::Report;
use support::{builder, seat, source, under_load};

/// The promised bound for orders and for the view of the fleet.
const BOUND: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(200);

/// What a run of `hyssopctl` printed, and its exit code.
struct Run {
    printed: String,
    code: i32,
}

/// Runs `hyssopctl` against daemons in turn.
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

/// Runs `hyssopctl` until its answer has a text.
async fn until(cluster: &Cluster, daemons: &[usize], arguments: &[&str], text: &str) -> Run {
    let end = Instant::now() + BOUND;
    loop {
        let run = run(cluster, daemons, arguments).await;
        if run.printed.contains(text) {
            return run;
        }
        assert!(Instant::now() < end, "{text:?} is not in\n{}\n{}", run.printed, cluster.logs(20));
        tokio::time::sleep(POLL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_fleet_is_shown_and_driven() {
    let _seat = seat().await;
    let cluster = builder(3).start().await.unwrap();
    let status = until(&cluster, &[0], &["status", "--all"], "bookings-1").await;
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
    until(&cluster, &[0], &["status"], "zones: z1;").await;
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
    until(&cluster, &[0], &["status"], "zones: none;").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_who_race_one_gets_a_conflict() {
    let _seat = seat().await;
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
async fn a_killed_host_is_named() {
    let _seat = seat().await;
    let mut cluster = builder(3).start().await.unwrap();
    until(&cluster, &[0], &["status"], "\nh3 ").await;
    cluster.daemons[2].kill();
    let status = until(&cluster, &[2, 0], &["status"], "partial: not reached: h3").await;
    assert_eq!(status.code, 0, "{}", status.printed);
    let order = run(&cluster, &[2, 1], &["zone", "out", "z2"]).await;
    assert_eq!(order.code, 0, "{}", order.printed);
    assert!(order.printed.contains("partial: not reached: h3"), "{}", order.printed);
    let histograms = run(&cluster, &[2, 0], &["histograms"]).await;
    assert!(histograms.printed.contains("partial: not reached: h3"), "{}", histograms.printed);
    let dead = run(&cluster, &[2], &["status", "--timeout", "1"]).await;
    assert!(dead.code == 2 && dead.printed.contains("no server answered"), "{}", dead.printed);

    cluster.restart(2).await.unwrap();
    until(&cluster, &[2], &["status"], "zones: z2;").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn histograms_count_every_answer() {
    let _seat = seat().await;
    let mut cluster = builder(3).start().await.unwrap();
    let source = source(7, Duration::from_secs(4));
    let outcomes = under_load(&mut cluster, &source, async |_| {}).await;
    outcomes.check(&cluster);
    let answered = outcomes.ends(Outcome::Answered) as u64;
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
    let one = run(&cluster, &[0], &["histograms", "--class", "booking", "--json"]).await;
    let report: Report = serde_json::from_str(&one.printed).unwrap();
    let counted: u64 = report.rows.iter().map(|row| row.answered).sum();
    assert_eq!(counted, ended.count() as u64);
}
