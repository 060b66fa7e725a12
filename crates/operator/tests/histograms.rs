//! The buckets, quantiles and sums of histograms.

use expect_test::expect;
use hyssop_document::name;
use hyssop_operator::histogram::{Histogram, Report, Row, limit_rows};

fn recorded(times_ms: impl IntoIterator<Item = u64>) -> Histogram {
    let mut histogram = Histogram::default();
    for time_ms in times_ms {
        histogram.record_ms(time_ms);
    }
    histogram
}

#[test]
fn times_fall_into_buckets_with_these_bounds() {
    let times = [0, 1, 2, 63, 64, 65, 66, 67, 1000, 1001, 1024, 1025, 60_000, u64::MAX];
    let bounds: Vec<_> =
        times.iter().map(|&time| recorded([time]).buckets[0].up_to_ms.to_string()).collect();
    expect!["1 1 2 63 64 66 66 68 1008 1008 1024 1056 60416 88080384"].assert_eq(&bounds.join(" "));
}

#[test]
fn a_bound_exceeds_its_times_by_at_most_one_32nd() {
    let mut last = 0;
    for time_ms in (1..100_000).chain((100_000..86_400_000).step_by(997)) {
        let bound = recorded([time_ms]).buckets[0].up_to_ms;
        assert!(bound >= time_ms && (bound - time_ms) * 32 <= time_ms, "{time_ms} {bound}");
        assert!(bound >= last, "{time_ms} {bound}");
        last = bound;
    }
}

#[test]
fn quantiles_are_bucket_bounds() {
    let histogram = recorded(1..=1000);
    let quantiles: Vec<_> = [0, 1, 500, 950, 990, 1000]
        .iter()
        .map(|&per_mille| histogram.quantile_ms(per_mille).unwrap().to_string())
        .collect();
    expect!["1 1 504 960 992 1008"].assert_eq(&quantiles.join(" "));
    assert_eq!(Histogram::default().quantile_ms(500), None);
    assert_eq!(histogram.count(), 1000);
}

#[test]
fn sums_do_not_depend_on_the_order_of_hosts() {
    let row = |class: &str, times_ms: [u64; 3]| {
        let mut row = Row::new(name::Class::new(class), Some(name::Workspace::new("builders")));
        row.answered = 3;
        row.complete = recorded(times_ms);
        row
    };
    let host = name::Host::new;
    let reached = vec![
        (host("h1"), vec![row("draft", [5, 9, 70]), row("desk", [1, 1, 2])]),
        (host("h2"), vec![row("desk", [2, 3, 4])]),
    ];
    let reversed = reached.iter().rev().cloned().collect();
    let report = Report::from_hosts(host("h1"), reached, Vec::new());
    assert_eq!(report, Report::from_hosts(host("h1"), reversed, Vec::new()));
    let lines: Vec<_> = report
        .rows
        .iter()
        .map(|row| format!("{} {} {:?}\n", row.class, row.answered, row.complete.quantile_ms(500)))
        .collect();
    expect![[r#"
        desk 6 Some(2)
        draft 3 Some(9)
    "#]]
    .assert_eq(&lines.concat());
}

#[test]
fn rows_with_the_fewest_requests_are_summed_by_class() {
    let row = |class: &str, workspace: u64, answered: u64, refused: u64| {
        let workspace = name::Workspace::new(&format!("w{workspace}"));
        let mut row = Row::new(name::Class::new(class), Some(workspace));
        row.answered = answered;
        row.refused = refused;
        row
    };
    let rows = vec![
        row("desk", 1, 5, 0),
        row("desk", 2, 1, 9),
        row("desk", 3, 2, 0),
        row("desk", 4, 1, 0),
        row("draft", 1, 4, 0),
        row("draft", 2, 3, 0),
    ];
    let lines = |rows: Vec<Row>| -> String {
        let line = |row: &Row| {
            let workspace = row.workspace.as_ref().map_or("others", name::Workspace::as_str);
            format!("{} {workspace} {}\n", row.class, row.requests())
        };
        rows.iter().map(line).collect()
    };
    expect![[r#"
        desk others 3
        desk w1 5
        desk w2 10
        draft others 3
        draft w1 4
    "#]]
    .assert_eq(&lines(limit_rows(rows.clone(), 3)));
    assert_eq!(lines(limit_rows(rows.clone(), 6)), lines(rows));
}
