//! Simulates load patterns on several daemons that place requests by delayed views of each other's
//! load, and compares local placement with baseline policies.
//!
//! Does no I/O while it simulates. The same seed gives the same figures. Run it with
//! `cargo run --release -p hyssop-policy --example replay -- --pattern burst --plot burst.svg`.

#![allow(clippy::print_stdout)]

mod engine;
mod fleet;
mod pattern;
mod policy;
mod report;

use std::path::PathBuf;

use clap::Parser;

use crate::{pattern::Pattern, policy::Policy, report::Summary};

/// Simulates a load pattern under one or more placement policies.
#[derive(Debug, Parser)]
struct Arguments {
    /// The load pattern: steady, burst, lost, hot, slow, large, uneven or
    /// contended.
    #[arg(long, default_value = "burst")]
    pattern: Pattern,
    /// The policies: local, fair, speeds, least, finish or hashing. Default: all but fair and
    /// speeds.
    #[arg(long)]
    policy: Vec<Policy>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The number of daemons, instead of the pattern's own.
    #[arg(long)]
    daemons: Option<usize>,
    /// Plots the time to the first event over time, for the first seed, into this SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let daemons = arguments.daemons.unwrap_or(arguments.pattern.daemons).max(1);
    let pattern = &Pattern { daemons, ..arguments.pattern };
    let policies =
        if arguments.policy.is_empty() { Policy::ALL.to_vec() } else { arguments.policy };
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let runs: Vec<_> =
            policies.iter().map(|&policy| (policy, fleet::run(pattern, policy, seed))).collect();
        let summaries: Vec<_> =
            runs.iter().map(|(policy, run)| (*policy, Summary::of(run, pattern))).collect();
        report::print(pattern, seed, &summaries);
        if let Some(path) = arguments.plot.as_ref().filter(|_| seed == arguments.seed) {
            report::plot(path, pattern, &runs)?;
        }
    }
    Ok(())
}
