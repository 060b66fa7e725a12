//! Formats histograms by class and workspace.

use std::io::{self, Write};

use hyssop_operator::histogram::{Histogram, Report, Row};

use super::{list, write_not_reached};
use crate::table::{Align, Table};

const MAX_BAR_CHARS: u64 = 50;

/// Writes a table of quantiles and, if `buckets` is set, the buckets as bars.
pub(crate) fn write(report: &Report, buckets: bool, out: &mut dyn Write) -> io::Result<()> {
    writeln!(out, "answered by {}; requests on {}", report.answered_by, list(&report.hosts))?;
    write_not_reached(&report.not_reached, out)?;
    if report.rows.is_empty() {
        return writeln!(out, "no requests");
    }
    writeln!(out)?;
    write_table(report, out)?;
    if buckets {
        for row in &report.rows {
            write_bars(row, "first token", &row.first_token, out)?;
            write_bars(row, "complete", &row.complete, out)?;
        }
    }
    Ok(())
}

fn write_table(report: &Report, out: &mut dyn Write) -> io::Result<()> {
    let mut table = Table::new(&[
        ("CLASS", Align::Left),
        ("WORKSPACE", Align::Left),
        ("ANSWERED", Align::Right),
        ("ON TARGET", Align::Right),
        ("REFUSED", Align::Right),
        ("UNKNOWN", Align::Right),
        ("FAILED", Align::Right),
        ("FIRST p50", Align::Right),
        ("p95", Align::Right),
        ("p99", Align::Right),
        ("COMPLETE p50", Align::Right),
        ("p95", Align::Right),
        ("p99", Align::Right),
    ]);
    for row in &report.rows {
        table.row([
            row.class.to_string(),
            workspace(row),
            row.answered.to_string(),
            percent(row.on_target, row.answered),
            row.refused.to_string(),
            row.unknown.to_string(),
            row.failed.to_string(),
            quantile(&row.first_token, 500),
            quantile(&row.first_token, 950),
            quantile(&row.first_token, 990),
            quantile(&row.complete, 500),
            quantile(&row.complete, 950),
            quantile(&row.complete, 990),
        ]);
    }
    table.write(out)?;
    writeln!(out, "times in ms")
}

fn write_bars(
    row: &Row,
    measure: &str,
    histogram: &Histogram,
    out: &mut dyn Write,
) -> io::Result<()> {
    let largest = histogram.buckets.iter().map(|bucket| bucket.count).max();
    let Some(largest) = largest else { return Ok(()) };
    writeln!(out, "\n{} {} {measure}", row.class, workspace(row))?;
    let mut table =
        Table::new(&[("UP TO MS", Align::Right), ("COUNT", Align::Right), ("", Align::Left)]);
    for bucket in &histogram.buckets {
        let length = (bucket.count * MAX_BAR_CHARS).div_ceil(largest);
        let bar = "#".repeat(length as usize);
        table.row([bucket.up_to_ms.to_string(), bucket.count.to_string(), bar]);
    }
    table.write(out)
}

fn workspace(row: &Row) -> String {
    row.workspace.as_ref().map_or("(others)".to_owned(), ToString::to_string)
}

fn percent(count: u64, total: u64) -> String {
    if total == 0 {
        return "-".to_owned();
    }
    format!("{:.1}%", count as f64 * 100.0 / total as f64)
}

fn quantile(histogram: &Histogram, per_mille: u64) -> String {
    histogram.quantile_ms(per_mille).map_or("-".to_owned(), |ms| ms.to_string())
}
