//! Compares the product with baseline routers under load and injected faults, on two deployments.
//!
//! Each run starts its own processes on loopback and takes a few seconds of real time. The requests
//! are drawn from the seed, so that all variants receive the same ones.

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

const DAEMON_COUNT: usize = 6;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// A measured router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, derive_more::Display)]
enum Variant {
    /// Hyssopcourse.
    #[display("product")]
    Product,
    /// A random backend server for each request.
    #[display("random")]
    Random,
    /// The backend server with the fewest connections, one FIFO queue per daemon.
    #[display("least-connections")]
    LeastConnections,
}

/// Compares the product with baseline routers.
#[derive(Debug, Parser)]
struct Flags {
    /// The load and faults of the runs.
    #[arg(long, value_enum)]
    scenario: Scenario,
    /// The seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The deployments to measure; all if not given.
    #[arg(long, value_enum)]
    shape: Vec<Deployment>,
    /// The variants to measure; all if not given.
    #[arg(long, value_enum)]
    variant: Vec<Variant>,
    /// The measured time in seconds, after the warm-up.
    #[arg(long, default_value_t = 14)]
    seconds: u64,
    /// Prints a line of JSON for each run and class, and the tables to standard error.
    #[arg(long)]
    json: bool,
    /// The directory for the history of each run.
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
    let mut report_ranges = Vec::new();
    for &deployment in &flags.shape {
        let first_report = reports.len();
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
        report_ranges.push(first_report..reports.len());
    }
    let mut out: Box<dyn Write> =
        if flags.json { Box::new(io::stderr()) } else { Box::new(io::stdout()) };
    report::table(&mut out, &reports)?;
    for range in report_ranges {
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
        .daemons(DAEMON_COUNT)
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

/// Prints the number of ended attempts at intervals, until the future is dropped.
async fn progress(label: &str, planned: usize, history: &History, start: Instant) {
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let counts = report::Counts::new(&history.events());
        let seconds = start.elapsed().as_secs();
        _ = writeln!(io::stderr(), "{label}: {seconds} s, {counts} of {planned} requests");
    }
}

/// Injects the plan's faults at their times, then stays pending: only the end of the load ends a
/// run.
async fn inject(plan: &Plan, cluster: &Cluster, start: Instant) -> Result<()> {
    for (at, fault) in &plan.faults {
        tokio::time::sleep_until((start + *at).into()).await;
        fault.inject(cluster).await.with_context(|| format!("{fault:?}"))?;
    }
    std::future::pending().await
}
