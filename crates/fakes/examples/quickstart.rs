//! Starts a small deployment on loopback, sends requests of each class and compares the responses
//! with the expected ones.
//!
//! The exit code is not 0 if any response is missing or wrong. Each daemon and stand-in is a
//! process of its own: this program starts copies of itself.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use anyhow::{Result, ensure};
use hyssop_fakes::{node, quickstart};

fn main() -> ExitCode {
    let started_as_node = std::env::args().nth(1).is_some_and(|arg| arg == "--attached");
    if started_as_node {
        return node::main(std::env::args_os());
    }
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            _ = writeln!(io::stderr(), "{error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run() -> Result<()> {
    let summary = quickstart::run(std::env::current_exe()?, &mut io::stdout()).await?;
    let quickstart::Summary { sent, correct: right, daemons, violations } = summary;
    writeln!(io::stdout(), "{right} of {sent} requests answered right, through {daemons} daemons")?;
    ensure!(violations.is_empty(), "{}", violations.join("\n"));
    ensure!(right == sent, "{} responses are missing or wrong", sent - right);
    Ok(())
}
