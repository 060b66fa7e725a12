//! Measures the product against baselines under load and faults, on shapes of real deployments.
//!
//! Each run starts its own processes on loopback, draws the same requests from the seed for each
//! variant, and takes a few seconds of real time.

mod report;
mod scenario;
mod shapes;

use std::{
    io::{self, Write},
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use clap::{Parser, ValueEnum};
use hyssop_fakes::{
    baseline::Strategy,
    cluster::{Builder, Cluster},
    history::History,
    load::{self, RetryPolicy, Schedule},
};

use self::{
    report::{Report, Row},
    scenario::{Plan, Scenario},
    shapes::Deployment,
};

const DAEMONS: usize = 6;
const PROGRESS: Duration = Duration::from_secs(2);

/// A router under measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, derive_more::Display)]
enum Variant {
    /// Hyssopcourse.
    #[display("product")]
    Product,
    /// Any backend server.
    #[display("random")]
    Random,
    /// Fewest connections, one first-in, first-out queue a daemon.
    #[display("least-connections")]
    LeastConnections,
}

/// Measures the product against baselines.
#[derive(Debug, Parser)]
struct Flags {
    /// The scenario.
    #[arg(long, value_enum)]
    scenario: Scenario,
    /// The seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The shape of the deployment; all if not given.
    #[arg(long, value_enum)]
    shape: Vec<Deployment>,
    /// The variant; all if not given.
    #[arg(long, value_enum)]
    variant: Vec<Variant>,
    /// The time over which requests are sent.
    #[arg(long, default_value_t = 14)]
    seconds: u64,
    /// Prints one line of JSON for each variant and class.
    #[arg(long)]
    json: bool,
    /// Writes each run's history into this directory.
    #[arg(long)]
    histories: Option<std::path::PathBuf>,
}

fn main() -> ExitCode {
    let started_as_node = std::env::args().nth(1).is_some_and(|arg| arg == "--attached");
    if started_as_node {
        return hyssop_fakes::node::main(std::env::args_os());
    }
    match measure(Flags::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            _ = writeln!(io::stderr(), "{error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn measure(mut flags: Flags) -> Result<()> {
    if flags.shape.is_empty() {
        flags.shape = Deployment::value_variants().to_vec();
    }
    if flags.variant.is_empty() {
        flags.variant = Variant::value_variants().to_vec();
    }
    let mut reports = Vec::new();
    let mut comparisons = Vec::new();
    for &deployment in &flags.shape {
        let first = reports.len();
        for &variant in &flags.variant {
            let plan =
                scenario::plan(deployment, flags.scenario, Duration::from_secs(flags.seconds));
            let report = run(&flags, plan, variant).await;
            let report =
                report.with_context(|| format!("{deployment} {} {variant}", flags.scenario))?;
            if flags.json {
                report.rows.iter().try_for_each(print_json)?;
            }
            reports.push(report);
        }
        comparisons.push(first..reports.len());
    }
    let mut out: Box<dyn Write> =
        if flags.json { Box::new(io::stderr()) } else { Box::new(io::stdout()) };
    report::table(&mut out, &reports)?;
    for range in comparisons {
        let variants = || flags.variant.iter().zip(&reports[range.clone()]);
        let product = variants().find(|(variant, _)| **variant == Variant::Product);
        let baselines = variants().filter(|(variant, _)| **variant != Variant::Product);
        let baselines: Vec<_> = baselines.map(|(_, report)| report).collect();
        if let Some((_, product)) = product
            && !baselines.is_empty()
        {
            report::compare(&mut out, product, &baselines)?;
        }
    }
    Ok(())
}

fn print_json(row: &Row) -> Result<()> {
    writeln!(io::stdout(), "{}", serde_json::to_string(row)?)?;
    Ok(())
}

async fn run(flags: &Flags, plan: Plan, variant: Variant) -> Result<Report> {
    let program = std::env::current_exe()?;
    let mut builder = Builder::new(program, plan.shape.clone())
        .daemons(DAEMONS)
        .engine(plan.engine.clone())
        .log_level("warn");
    builder = match variant {
        Variant::Product => builder,
        Variant::Random => builder.baseline(Strategy::Random),
        Variant::LeastConnections => builder.baseline(Strategy::LeastConnections),
    };
    let cluster = builder.start().await?;
    let source = Schedule::generate(flags.seed, plan.time, &plan.mixes, &plan.workspaces);
    let history = Arc::new(History::default());
    let retry = RetryPolicy { max_attempts: 3, ..RetryPolicy::NONE };
    let label = format!("{} {} {variant}", plan.deployment, flags.scenario);
    let seeds = cluster.caller_addresses();
    let start = Instant::now();
    tokio::select! {
        () = load::run(&source, &seeds, &history, retry) => {}
        () = progress(&label, source.requests.len(), &history, start) => {}
        failed = inject(&plan, &cluster, start) => failed?,
    }
    let records = cluster.records().await?;
    if let Some(directory) = &flags.histories {
        history.write(&directory.join(format!("{}.jsonl", label.replace(' ', "-"))))?;
    }
    let name = variant.to_string();
    Ok(report::build(&plan, flags.scenario, &name, flags.seed, &history.events(), &records))
}

/// Shows how far the run is, until it is dropped.
async fn progress(label: &str, all: usize, history: &History, start: Instant) {
    loop {
        tokio::time::sleep(PROGRESS).await;
        let counts = report::Counts::new(&history.events());
        let seconds = start.elapsed().as_secs();
        _ = writeln!(io::stderr(), "{label}: {seconds} s, {counts} of {all} requests");
    }
}

/// Injects the plan's faults at their times, then waits for ever.
async fn inject(plan: &Plan, cluster: &Cluster, start: Instant) -> Result<()> {
    for (at, fault) in &plan.faults {
        tokio::time::sleep_until((start + *at).into()).await;
        fault.inject(cluster).await.with_context(|| format!("{fault:?}"))?;
    }
    std::future::pending().await
}
