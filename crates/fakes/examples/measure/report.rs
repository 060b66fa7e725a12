//! Metrics of a run and their tables.

use std::{
    fmt,
    io::{self, Write},
};

use hyssop_document::collections::Map;
use hyssop_fakes::{
    history::{self, Ended, Event, Outcome, Sent, TokenUsage},
    record::Record,
};
use serde::Serialize;

use crate::{
    scenario::{Plan, Scenario},
    shapes,
};

/// The metrics of one class in one run. The row of class `all` covers all classes.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    shape: String,
    scenario: String,
    variant: String,
    seed: u64,
    class: String,
    tier: u8,
    sent: usize,
    answered: usize,
    attained: usize,
    refused: usize,
    unknown: usize,
    failed: usize,
    p50_ms: u64,
    p99_ms: u64,
    goodput_tokens_per_s: f64,
    generated_tokens: u64,
    wasted_tokens: u64,
    /// Wasted tokens that were lost in crashes of engines.
    crashed_tokens: u64,
    /// The lowest number of answered tokens in any 10 s window, in percent of the engines'
    /// capacity.
    least_percent_in_10s: f64,
}

/// The metrics of a run.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) rows: Vec<Row>,
    /// Violated guarantees, as found in the history.
    pub(crate) violations: Vec<String>,
    /// Crashes of cold engines that received more requests than their limit.
    pub(crate) overloads: u64,
}

/// A request with its first and last attempt and the end of the last one.
#[derive(Debug)]
struct Request<'a> {
    first: &'a Sent,
    last: &'a Sent,
    end: &'a Ended,
}

impl Request<'_> {
    fn elapsed_ms(&self) -> u64 {
        self.end.at_ms.saturating_sub(self.first.at_ms)
    }

    fn first_token_ms(&self) -> u64 {
        let waited = self.last.at_ms.saturating_sub(self.first.at_ms);
        self.end.first_token_ms.map_or_else(|| self.elapsed_ms(), |ms| waited + ms)
    }
}

fn requests(events: &[Event]) -> Vec<Request<'_>> {
    let mut requests: Map<u64, (&Sent, &Sent, Option<&Ended>)> = Map::default();
    for event in events {
        match event {
            Event::Sent(sent) => {
                requests.entry(sent.request).or_insert((sent, sent, None)).1 = sent;
            }
            Event::Ended(ended) => {
                if let Some(request) = requests.get_mut(&ended.request) {
                    request.2 = Some(ended);
                }
            }
        }
    }
    let by_number = requests.into_values();
    by_number.filter_map(|(first, last, end)| Some(Request { first, last, end: end? })).collect()
}

/// Computes the metrics from a history and the execution records.
pub(crate) fn build(
    plan: &Plan,
    scenario: Scenario,
    variant: &str,
    seed: u64,
    events: &[Event],
    records: &[Record],
) -> Report {
    let requests = requests(events);
    let begin_ms = requests.iter().map(|request| request.first.at_ms).min().unwrap_or(0);
    let measured_from_ms = begin_ms + plan.warm_up.as_millis() as u64;
    let measured: Vec<_> =
        requests.iter().filter(|request| request.first.at_ms >= measured_from_ms).collect();
    let work_by_class = history::token_usage(events, records);
    let mut rows = Vec::new();
    let base = Row {
        shape: plan.deployment.to_string(),
        scenario: scenario.to_string(),
        variant: variant.to_owned(),
        seed,
        class: "all".to_owned(),
        tier: 0,
        sent: 0,
        answered: 0,
        attained: 0,
        refused: 0,
        unknown: 0,
        failed: 0,
        p50_ms: 0,
        p99_ms: 0,
        goodput_tokens_per_s: 0.0,
        generated_tokens: 0,
        wasted_tokens: 0,
        crashed_tokens: 0,
        least_percent_in_10s: 0.0,
    };
    for class in &plan.shape.document.classes {
        let of_class: Vec<_> =
            measured.iter().copied().filter(|request| request.first.class == class.name).collect();
        let work = work_by_class.get(&class.name).copied().unwrap_or_default();
        let mut row = Row { class: class.name.to_string(), tier: class.tier.0, ..base.clone() };
        fill_row(&mut row, plan, &of_class, work);
        let all_of_class = requests.iter().filter(|request| request.first.class == class.name);
        row.least_percent_in_10s = min_capacity_percent(plan, measured_from_ms, all_of_class);
        rows.push(row);
    }
    let mut all = base;
    let sum = work_by_class.values().fold(TokenUsage::default(), |sum, work| TokenUsage {
        generated: sum.generated + work.generated,
        wasted: sum.wasted + work.wasted,
        crashed: sum.crashed + work.crashed,
    });
    fill_row(&mut all, plan, &measured, sum);
    all.least_percent_in_10s = min_capacity_percent(plan, measured_from_ms, requests.iter());
    rows.push(all);
    let violations = history::check(events, records);
    Report {
        rows,
        violations: violations.iter().map(ToString::to_string).collect(),
        overloads: records.iter().map(|record| record.overloads).sum(),
    }
}

fn fill_row(row: &mut Row, plan: &Plan, requests: &[&Request<'_>], work: TokenUsage) {
    let count = |outcome| requests.iter().filter(|request| request.end.outcome == outcome).count();
    let answered = || requests.iter().filter(|request| request.end.outcome == Outcome::Answered);
    let attained: Vec<_> = answered().filter(|request| meets_targets(plan, request)).collect();
    let mut times: Vec<_> = answered().map(|request| request.elapsed_ms()).collect();
    times.sort_unstable();
    let seconds = (plan.time - plan.warm_up).as_secs_f64();
    let tokens: u64 = attained.iter().map(|request| request.end.tokens.0).sum();
    row.sent = requests.len();
    row.answered = count(Outcome::Answered);
    row.attained = attained.len();
    row.refused = count(Outcome::Refused);
    row.unknown = count(Outcome::Unknown) + count(Outcome::Lost);
    row.failed = count(Outcome::Failed);
    row.p50_ms = percentile(&times, 50);
    row.p99_ms = percentile(&times, 99);
    row.goodput_tokens_per_s = tokens as f64 / seconds;
    row.generated_tokens = work.generated;
    row.wasted_tokens = work.wasted;
    row.crashed_tokens = work.crashed;
}

fn meets_targets(plan: &Plan, request: &Request<'_>) -> bool {
    let classes = &plan.shape.document.classes;
    let class = classes.iter().find(|class| class.name == request.first.class);
    let Some(class) = class else { return false };
    request.end.correct
        && request.elapsed_ms() <= class.complete_ms
        && request.first_token_ms() <= class.first_token_ms
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let position = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(position).copied().unwrap_or(0)
}

/// The lowest number of answered tokens in any 10 s window, in percent of the engines' capacity.
fn min_capacity_percent<'a>(
    plan: &Plan,
    begin_ms: u64,
    requests: impl Iterator<Item = &'a Request<'a>>,
) -> f64 {
    const WINDOW_S: u64 = 10;
    let seconds = (plan.time - plan.warm_up).as_secs();
    let ends = requests.map(|request| request.end).filter(|end| end.outcome == Outcome::Answered);
    let ends: Vec<_> = ends.collect();
    let answered = |start: u64| {
        let from = begin_ms + start * 1_000;
        let to = from + WINDOW_S * 1_000;
        let inside = ends.iter().filter(|end| end.at_ms >= from && end.at_ms < to);
        inside.map(|end| end.tokens.0).sum::<u64>()
    };
    let min_tokens = (0..=seconds.saturating_sub(WINDOW_S)).map(answered).min().unwrap_or(0);
    100.0 * min_tokens as f64 / (shapes::capacity_tokens_per_s() * WINDOW_S as f64)
}

/// Numbers of ended attempts by outcome.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    answered: usize,
    refused: usize,
    other: usize,
}

impl Counts {
    pub(crate) fn new(events: &[Event]) -> Self {
        let mut counts = Self::default();
        for event in events {
            match event {
                Event::Ended(Ended { outcome: Outcome::Answered, .. }) => counts.answered += 1,
                Event::Ended(Ended { outcome: Outcome::Refused, .. }) => counts.refused += 1,
                Event::Ended(_) => counts.other += 1,
                Event::Sent(_) => {}
            }
        }
        counts
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} answered, {} refused, {} other", self.answered, self.refused, self.other)
    }
}

/// Writes a text table of all rows, with up to five violations per run.
pub(crate) fn table(out: &mut dyn Write, reports: &[Report]) -> io::Result<()> {
    let capacity = shapes::capacity_tokens_per_s();
    writeln!(out, "Engine capacity with all slots in use: {capacity:.0} tokens/s.")?;
    writeln!(out, "least: tokens answered in the worst 10 s window, in percent of this capacity.")?;
    writeln!(
        out,
        "{:10} {:11} {:18} {:13} {:>4} {:>6} {:>8} {:>9} {:>8} {:>8} {:>7} {:>7} {:>9} {:>8} {:>8}",
        "shape",
        "scenario",
        "variant",
        "class",
        "tier",
        "sent",
        "answered",
        "attained",
        "refused",
        "unknown",
        "p50 ms",
        "p99 ms",
        "goodput/s",
        "wasted",
        "least",
    )?;
    for report in reports {
        for row in &report.rows {
            write_row(out, row)?;
        }
        let shown = report.violations.iter().take(5);
        shown.clone().try_for_each(|violation| writeln!(out, "  violation: {violation}"))?;
        writeln!(
            out,
            "  {} violations, {} overloads of cold engines",
            report.violations.len(),
            report.overloads
        )?;
    }
    Ok(())
}

fn write_row(out: &mut dyn Write, row: &Row) -> io::Result<()> {
    writeln!(
        out,
        "{:10} {:11} {:18} {:13} {:>4} {:>6} {:>8} {:>8.1}% {:>8} {:>8} {:>7} {:>7} {:>9.0} {:>7.1}% {:>7.1}%",
        row.shape,
        row.scenario,
        row.variant,
        row.class,
        row.tier,
        row.sent,
        row.answered,
        percent(row.attained as f64, row.sent as f64),
        row.refused,
        row.unknown + row.failed,
        row.p50_ms,
        row.p99_ms,
        row.goodput_tokens_per_s,
        percent(row.wasted_tokens as f64, row.generated_tokens as f64),
        row.least_percent_in_10s,
    )
}

fn percent(count: f64, total: f64) -> f64 {
    if total > 0.0 { 100.0 * count / total } else { 0.0 }
}

/// The metrics of one variant that performance targets are set for.
struct Score {
    top_tier_attained_percent: f64,
    goodput_tokens_per_s: f64,
    wasted_percent: f64,
    crashed_percent: f64,
}

impl Score {
    fn new(report: &Report) -> Self {
        let top = report.rows.iter().filter(|row| row.tier == 1);
        let (sent, attained) =
            top.fold((0, 0), |(sent, attained), row| (sent + row.sent, attained + row.attained));
        let all = report.rows.iter().find(|row| row.class == "all");
        let all = all.expect("each report has a row for all classes");
        Self {
            top_tier_attained_percent: percent(attained as f64, sent as f64),
            goodput_tokens_per_s: all.goodput_tokens_per_s,
            wasted_percent: percent(all.wasted_tokens as f64, all.generated_tokens as f64),
            crashed_percent: percent(all.crashed_tokens as f64, all.generated_tokens as f64),
        }
    }
}

/// Writes the product's scores, each beside the best of the baselines.
pub(crate) fn compare(
    out: &mut dyn Write,
    product: &Report,
    baselines: &[&Report],
) -> io::Result<()> {
    let scores: Vec<_> = baselines.iter().map(|report| Score::new(report)).collect();
    let best = |value: fn(&Score) -> f64| scores.iter().map(value).fold(0.0, f64::max);
    let min_wasted_percent =
        scores.iter().map(|score| score.wasted_percent).fold(f64::INFINITY, f64::min);
    let wasted_outside_crashes =
        scores.iter().map(|score| score.wasted_percent - score.crashed_percent);
    let min_wasted_outside_crashes = wasted_outside_crashes.fold(f64::INFINITY, f64::min);
    let own = Score::new(product);
    let row = &product.rows[0];
    writeln!(
        out,
        "{} {}: top tier attained {:.1}% (best baseline {:.1}%), goodput {:.0} tokens/s ({:.0}), \
         wasted {:.2}% ({min_wasted_percent:.2}%), {:.2}% without tokens lost in engine \
         crashes ({:.2}%)",
        row.shape,
        row.scenario,
        own.top_tier_attained_percent,
        best(|score| score.top_tier_attained_percent),
        own.goodput_tokens_per_s,
        best(|score| score.goodput_tokens_per_s),
        own.wasted_percent,
        own.wasted_percent - own.crashed_percent,
        min_wasted_outside_crashes,
    )
}
