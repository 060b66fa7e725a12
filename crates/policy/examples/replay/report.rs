//! Prints the results of simulated runs as a table and a plot.

use std::{path::Path, time::Duration};

use plotters::prelude::*;

use crate::{
    fleet::{Outcome, Record, Run},
    pattern::{Kind, Pattern},
    policy::Policy,
};

/// The time in which daemons learn the speeds of engines.
const FIRST_SECONDS: Duration = Duration::from_secs(5);

/// The figures of one run.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    /// The worth of all responses, as a fraction of what responses in time would be worth.
    pub(crate) worth: f64,
    /// The fraction of the requests of each kind that were in time.
    prefill_heavy_in_time: f64,
    decode_heavy_in_time: f64,
    /// Fractions of all requests.
    late: f64,
    /// Late because of a pause alone.
    paused: f64,
    refused: f64,
    failed: f64,
    /// Prefilled prompt tokens per token of a distinct segment.
    prefill_factor: f64,
    rejections: u64,
    /// The time to the first event: 50th and 99th percentile.
    first_ms: [u128; 2],
    /// The error of the predicted first event: 50th, 95th and 99th percentile.
    error_ms: [u128; 3],
    /// The served fraction of the tenth with the longest prompts, divided by that of all requests.
    long_prompts: f64,
    /// What the busiest engine gets, as a multiple of its part of the capacity.
    busiest_load: f64,
    predictions: Predictions,
}

/// The actual time to the first event divided by the predicted one, at model engines.
#[derive(Debug, Default)]
struct Predictions {
    /// The median for requests sent in the first five seconds to the slowest engines.
    first_slow: f64,
    /// The least and the greatest median of one engine for requests sent later.
    later_engines: [f64; 2],
    /// The median and the ninth decile for requests sent later.
    later: [f64; 2],
}

impl Predictions {
    fn of(records: &[Record], slowest: impl Fn(usize) -> bool) -> Self {
        let ratios = |holds: &dyn Fn(&Record, usize) -> bool| {
            let ratios = records.iter().filter_map(|record| {
                let (predicted, actual) = record.predicted?;
                holds(record, record.engine?).then(|| actual.div_duration_f64(predicted))
            });
            let mut ratios: Vec<f64> = ratios.collect();
            ratios.sort_unstable_by(f64::total_cmp);
            ratios
        };
        let quantile = |ratios: &[f64], q: f64| {
            let index = (ratios.len() as f64 * q) as usize;
            ratios.get(index).copied().unwrap_or(f64::NAN)
        };
        let is_first = |record: &Record| record.sent < FIRST_SECONDS;
        let engines = records.iter().filter_map(|record| record.engine).max().unwrap_or(0);
        let medians = (0..=engines).map(|engine| {
            quantile(&ratios(&|record, other| other == engine && !is_first(record)), 0.5)
        });
        let medians: Vec<f64> = medians.filter(|median| median.is_finite()).collect();
        let later = ratios(&|record, _| !is_first(record));
        Self {
            first_slow: quantile(
                &ratios(&|record, engine| slowest(engine) && is_first(record)),
                0.5,
            ),
            later_engines: [
                medians.iter().copied().fold(f64::INFINITY, f64::min),
                medians.iter().copied().fold(0.0, f64::max),
            ],
            later: [0.5, 0.9].map(|q| quantile(&later, q)),
        }
    }
}

impl Summary {
    pub(crate) fn of(run: &Run, pattern: &Pattern) -> Self {
        let records = &run.records;
        let slowness = |engine: usize| pattern.slowness[engine % pattern.slowness.len()];
        let greatest = pattern.slowness.iter().copied().fold(0.0, f64::max);
        let with_outcome = |outcome| fraction(records, |record| record.outcome == outcome);
        let in_time = |kind| {
            let of_kind = records.iter().filter(|record| record.request.class.kind == kind);
            let of_kind: Vec<Record> = of_kind.cloned().collect();
            fraction(&of_kind, |record| record.outcome == Outcome::InTime)
        };
        let mut first: Vec<Duration> = records.iter().filter_map(|record| record.first).collect();
        let errors = records.iter().filter_map(|record| record.predicted);
        let mut errors: Vec<Duration> =
            errors.map(|(predicted, seen)| predicted.abs_diff(seen)).collect();
        Self {
            worth: worth(records),
            prefill_heavy_in_time: in_time(Kind::PrefillHeavy),
            decode_heavy_in_time: in_time(Kind::DecodeHeavy),
            late: with_outcome(Outcome::Late),
            paused: fraction(records, |record| {
                let first_in_time =
                    record.first.is_some_and(|first| first <= record.request.class.target);
                record.outcome == Outcome::Late && first_in_time
            }),
            refused: with_outcome(Outcome::Refused),
            failed: with_outcome(Outcome::Failed),
            prefill_factor: run.prefilled_tokens as f64 / distinct_tokens(records),
            rejections: run.rejections,
            first_ms: [0.5, 0.99].map(|q| quantile(&mut first, q).as_millis()),
            error_ms: [0.5, 0.95, 0.99].map(|q| quantile(&mut errors, q).as_millis()),
            long_prompts: long_prompts(records),
            busiest_load: run.busiest_load,
            predictions: Predictions::of(records, |engine| slowness(engine) >= greatest),
        }
    }
}

fn fraction(records: &[Record], holds: impl Fn(&Record) -> bool) -> f64 {
    records.iter().filter(|record| holds(record)).count() as f64 / records.len().max(1) as f64
}

fn worth(records: &[Record]) -> f64 {
    let total: f64 = records.iter().map(|record| record.request.class.worth).sum();
    let earned = records.iter().map(|record| match record.outcome {
        Outcome::InTime => record.request.class.worth,
        Outcome::Late => record.request.class.worth_late,
        Outcome::Refused | Outcome::Failed => 0.0,
    });
    earned.sum::<f64>() / total
}

/// The prompt tokens to prefill if each segment were prefilled once.
fn distinct_tokens(records: &[Record]) -> f64 {
    let segments = records.iter().flat_map(|record| &record.request.segments);
    let mut segments: Vec<(u64, u32)> =
        segments.map(|segment| (segment.id, segment.tokens)).collect();
    segments.sort_unstable();
    segments.dedup();
    segments.iter().map(|&(_, tokens)| f64::from(tokens)).sum()
}

fn long_prompts(records: &[Record]) -> f64 {
    let mut records: Vec<&Record> = records.iter().collect();
    records.sort_by_key(|record| record.request.prompt_tokens());
    let served = |records: &[&Record]| {
        let served = records
            .iter()
            .filter(|record| matches!(record.outcome, Outcome::InTime | Outcome::Late));
        served.count() as f64 / records.len().max(1) as f64
    };
    served(&records[records.len() * 9 / 10..]) / served(&records).max(f64::EPSILON)
}

fn quantile(times: &mut [Duration], q: f64) -> Duration {
    times.sort_unstable();
    let index = (times.len() as f64 * q) as usize;
    times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
}

/// Prints one line for each policy.
pub(crate) fn print(pattern: &Pattern, seed: u64, summaries: &[(Policy, Summary)]) {
    println!(
        "{}, seed {seed}: {} daemons, {} engines",
        pattern.name, pattern.daemons, pattern.engines
    );
    println!(
        "{:<16} {:>6} {:>6} {:>9} {:>6} {:>6} {:>7} {:>6} {:>5} {:>6} {:>11} {:>15} {:>5} {:>7}",
        "policy",
        "worth",
        "reads",
        "generates",
        "late",
        "paused",
        "refused",
        "failed",
        "read",
        "reject",
        "first ms",
        "error ms",
        "large",
        "busiest"
    );
    for (policy, summary) in summaries {
        let first = summary.first_ms.map(|ms| ms.to_string()).join("/");
        let error = summary.error_ms.map(|ms| ms.to_string()).join("/");
        println!(
            "{:<16} {:>6.3} {:>6.3} {:>9.3} {:>6.3} {:>6.3} {:>7.3} {:>6.3} {:>5.2} {:>6} {:>11} {:>15} {:>5.2} {:>7.2}",
            policy.to_string(),
            summary.worth,
            summary.prefill_heavy_in_time,
            summary.decode_heavy_in_time,
            summary.late,
            summary.paused,
            summary.refused,
            summary.failed,
            summary.prefill_factor,
            summary.rejections,
            first,
            error,
            summary.long_prompts,
            summary.busiest_load
        );
        let Predictions { first_slow, later_engines, later } = &summary.predictions;
        println!(
            "  actual / predicted: slowest engines, first 5 s {first_slow:.2}; later {:.2} (9 in 10 \
             {:.2}), engines {:.2} to {:.2}",
            later[0], later[1], later_engines[0], later_engines[1]
        );
    }
}

/// Plots the 95th percentile of the time to the first event over time, one line for each policy.
pub(crate) fn plot(path: &Path, pattern: &Pattern, runs: &[(Policy, Run)]) -> anyhow::Result<()> {
    let series: Vec<(Policy, Vec<(f64, f64)>)> =
        runs.iter().map(|(policy, run)| (*policy, p95_by_second(run))).collect();
    let max_ms =
        series.iter().flat_map(|(_, points)| points).map(|&(_, ms)| ms).fold(100.0, f64::max);
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!("first event, 95 in 100, {}", pattern.name);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..pattern.duration_s, 0.0..max_ms)?;
    chart.configure_mesh().x_desc("seconds").y_desc("ms").draw()?;
    for (index, (policy, points)) in series.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn p95_by_second(run: &Run) -> Vec<(f64, f64)> {
    let mut seconds: Vec<Vec<Duration>> = Vec::new();
    for record in &run.records {
        let second = record.request.at.as_secs() as usize;
        if seconds.len() <= second {
            seconds.resize_with(second + 1, Vec::new);
        }
        seconds[second].extend(record.first);
    }
    let points = seconds.into_iter().enumerate();
    points
        .map(|(second, mut times)| {
            (second as f64 + 0.5, quantile(&mut times, 0.95).as_secs_f64() * 1_000.0)
        })
        .collect()
}
