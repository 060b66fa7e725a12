//! The figures of a run.

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

/// The figures of one class in one run. The class `all` has the sums.
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
    /// The part of the wasted tokens that engines lost in their own crashes.
    crashed_tokens: u64,
    /// The answered tokens in that 10 s of the run in which there were fewest, in percent of what
    /// the engines can generate.
    least_percent_in_10s: f64,
}

/// The figures of a run.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) rows: Vec<Row>,
    /// Broken promises that the history shows.
    pub(crate) violations: Vec<String>,
    /// Crashes of cold engines that got more than they bear.
    pub(crate) overloads: u64,
}

/// The fate of one request over all its tries.
#[derive(Debug)]
struct Fate<'a> {
    first: &'a Sent,
    last: &'a Sent,
    end: &'a Ended,
}

impl Fate<'_> {
    fn elapsed_ms(&self) -> u64 {
        self.end.at_ms.saturating_sub(self.first.at_ms)
    }

    fn first_token_ms(&self) -> u64 {
        let waited = self.last.at_ms.saturating_sub(self.first.at_ms);
        self.end.first_token_ms.map_or_else(|| self.elapsed_ms(), |ms| waited + ms)
    }
}

fn fates(events: &[Event]) -> Vec<Fate<'_>> {
    let mut fates: Map<u64, (&Sent, &Sent, Option<&Ended>)> = Map::default();
    for event in events {
        match event {
            Event::Sent(sent) => {
                fates.entry(sent.request).or_insert((sent, sent, None)).1 = sent;
            }
            Event::Ended(ended) => {
                if let Some(fate) = fates.get_mut(&ended.request) {
                    fate.2 = Some(ended);
                }
            }
        }
    }
    let whole = fates.into_values();
    whole.filter_map(|(first, last, end)| Some(Fate { first, last, end: end? })).collect()
}

/// Builds the figures from a history and the execution records.
pub(crate) fn build(
    plan: &Plan,
    scenario: Scenario,
    variant: &str,
    seed: u64,
    events: &[Event],
    records: &[Record],
) -> Report {
    let fates = fates(events);
    let begin_ms = fates.iter().map(|fate| fate.first.at_ms).min().unwrap_or(0);
    let counted_ms = begin_ms + plan.warm_up.as_millis() as u64;
    let counted: Vec<_> = fates.iter().filter(|fate| fate.first.at_ms >= counted_ms).collect();
    let works = history::token_usage(events, records);
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
        let own: Vec<_> =
            counted.iter().copied().filter(|fate| fate.first.class == class.name).collect();
        let work = works.get(&class.name).copied().unwrap_or_default();
        let mut row = Row { class: class.name.to_string(), tier: class.tier.0, ..base.clone() };
        fill(&mut row, plan, &own, work);
        let whole_run = fates.iter().filter(|fate| fate.first.class == class.name);
        row.least_percent_in_10s = least_in_window(plan, counted_ms, whole_run);
        rows.push(row);
    }
    let mut all = base;
    let sum = works.values().fold(TokenUsage::default(), |sum, work| TokenUsage {
        generated: sum.generated + work.generated,
        wasted: sum.wasted + work.wasted,
        crashed: sum.crashed + work.crashed,
    });
    fill(&mut all, plan, &counted, sum);
    all.least_percent_in_10s = least_in_window(plan, counted_ms, fates.iter());
    rows.push(all);
    let violations = history::check(events, records);
    Report {
        rows,
        violations: violations.iter().map(ToString::to_string).collect(),
        overloads: records.iter().map(|record| record.overloads).sum(),
    }
}

fn fill(row: &mut Row, plan: &Plan, fates: &[&Fate<'_>], work: TokenUsage) {
    let count = |outcome| fates.iter().filter(|fate| fate.end.outcome == outcome).count();
    let answered = || fates.iter().filter(|fate| fate.end.outcome == Outcome::Answered);
    let attained: Vec<_> = answered().filter(|fate| attains(plan, fate)).collect();
    let mut times: Vec<_> = answered().map(|fate| fate.elapsed_ms()).collect();
    times.sort_unstable();
    let seconds = (plan.time - plan.warm_up).as_secs_f64();
    let tokens: u64 = attained.iter().map(|fate| fate.end.tokens.0).sum();
    row.sent = fates.len();
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

fn attains(plan: &Plan, fate: &Fate<'_>) -> bool {
    let classes = &plan.shape.document.classes;
    let class = classes.iter().find(|class| class.name == fate.first.class);
    let Some(class) = class else { return false };
    fate.end.correct
        && fate.elapsed_ms() <= class.complete_ms
        && fate.first_token_ms() <= class.first_token_ms
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let position = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(position).copied().unwrap_or(0)
}

/// The tokens answered in the window of 10 s that has the fewest, in percent of the capacity.
fn least_in_window<'a>(
    plan: &Plan,
    begin_ms: u64,
    fates: impl Iterator<Item = &'a Fate<'a>>,
) -> f64 {
    const WINDOW_S: u64 = 10;
    let seconds = (plan.time - plan.warm_up).as_secs();
    let ends = fates.map(|fate| fate.end).filter(|end| end.outcome == Outcome::Answered);
    let ends: Vec<_> = ends.collect();
    let answered = |start: u64| {
        let from = begin_ms + start * 1_000;
        let to = from + WINDOW_S * 1_000;
        let inside = ends.iter().filter(|end| end.at_ms >= from && end.at_ms < to);
        inside.map(|end| end.tokens.0).sum::<u64>()
    };
    let least = (0..=seconds.saturating_sub(WINDOW_S)).map(answered).min().unwrap_or(0);
    100.0 * least as f64 / (shapes::capacity_tokens_per_s() * WINDOW_S as f64)
}

/// Counts of requests by how they ended so far.
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

/// Writes a table for people.
pub(crate) fn table(out: &mut dyn Write, reports: &[Report]) -> io::Result<()> {
    let capacity = shapes::capacity_tokens_per_s();
    writeln!(out, "The engines generate {capacity:.0} tokens/s when all their slots are taken.")?;
    writeln!(out, "least: tokens answered in the worst 10 s, in percent of that.")?;
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
        share(row.attained as f64, row.sent as f64),
        row.refused,
        row.unknown + row.failed,
        row.p50_ms,
        row.p99_ms,
        row.goodput_tokens_per_s,
        share(row.wasted_tokens as f64, row.generated_tokens as f64),
        row.least_percent_in_10s,
    )
}

fn share(part: f64, all: f64) -> f64 {
    if all > 0.0 { 100.0 * part / all } else { 0.0 }
}

/// What the targets are about, of one variant.
struct Score {
    top_tier: f64,
    goodput: f64,
    wasted: f64,
    crashed: f64,
}

impl Score {
    fn new(report: &Report) -> Self {
        let top = report.rows.iter().filter(|row| row.tier == 1);
        let (sent, attained) =
            top.fold((0, 0), |(sent, attained), row| (sent + row.sent, attained + row.attained));
        let all = report.rows.iter().find(|row| row.class == "all");
        let all = all.expect("each report has a row of sums");
        Self {
            top_tier: share(attained as f64, sent as f64),
            goodput: all.goodput_tokens_per_s,
            wasted: share(all.wasted_tokens as f64, all.generated_tokens as f64),
            crashed: share(all.crashed_tokens as f64, all.generated_tokens as f64),
        }
    }
}

/// Writes the product's figures beside the best of the baselines'.
pub(crate) fn compare(
    out: &mut dyn Write,
    product: &Report,
    baselines: &[&Report],
) -> io::Result<()> {
    let scores: Vec<_> = baselines.iter().map(|report| Score::new(report)).collect();
    let best = |value: fn(&Score) -> f64| scores.iter().map(value).fold(0.0, f64::max);
    let least_wasted = scores.iter().map(|score| score.wasted).fold(f64::INFINITY, f64::min);
    let besides = scores.iter().map(|score| score.wasted - score.crashed);
    let least_besides = besides.fold(f64::INFINITY, f64::min);
    let own = Score::new(product);
    let row = &product.rows[0];
    writeln!(
        out,
        "{} {}: top tier attained {:.1}% (best baseline {:.1}%), goodput {:.0} tokens/s ({:.0}), \
         wasted {:.2}% ({least_wasted:.2}%), {:.2}% besides what engines lost in crashes ({:.2}%)",
        row.shape,
        row.scenario,
        own.top_tier,
        best(|score| score.top_tier),
        own.goodput,
        best(|score| score.goodput),
        own.wasted,
        own.wasted - own.crashed,
        least_besides,
    )
}
