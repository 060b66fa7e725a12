//! The daemon: settings, startup, graceful stop, and adapters between the other crates.

mod adapt;
mod gauges;
pub mod histogram;
pub mod logging;
pub mod metrics;
pub mod run;
pub mod settings;

use std::{ffi::OsString, io::Write as _, process::ExitCode};

use anyhow::Context as _;
use clap::Parser as _;
use tokio::{
    runtime::{self, Runtime},
    signal::unix::{SignalKind, signal},
};
use tokio_util::sync::CancellationToken;

use crate::{
    run::Daemon,
    settings::{Error, Flags, Settings},
};

/// The exit code for invalid settings or an address that cannot be bound. `clap` uses the same code
/// for an invalid command line.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The exit code for a stop that aborted requests, and for other failures.
const EXIT_FAILURE: u8 = 1;

/// Runs the daemon with a command line, whose first argument is the program's name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let flags = match Flags::try_parse_from(args) {
        Ok(flags) => flags,
        Err(error) => {
            let _printed = error.print();
            return ExitCode::from(error.exit_code() as u8);
        }
    };
    match start(&flags) {
        Ok(code) => code,
        Err(error) => {
            print_stderr(&format!("{error:#}"));
            let invalid_settings = error.downcast_ref::<Error>().is_some();
            ExitCode::from(if invalid_settings { EXIT_INVALID_SETTINGS } else { EXIT_FAILURE })
        }
    }
}

fn start(flags: &Flags) -> anyhow::Result<ExitCode> {
    if flags.check_settings {
        Settings::read(flags)?;
        print_stderr(&format!("{}: settings are valid", flags.settings.display()));
        return Ok(ExitCode::SUCCESS);
    }
    // Before the settings are read and addresses are bound: without a handler, a signal ends the process.
    let (runtime, stop) = start_runtime()?;
    let settings = Settings::read(flags)?;
    let log_buffer = logging::start(settings.log_level);
    let result = runtime.block_on(serve(settings, flags, stop));
    // Drops all tasks, whose last log lines are flushed.
    drop(runtime);
    log_buffer.flush();
    result
}

/// A runtime, and a token that SIGTERM and SIGINT cancel.
fn start_runtime() -> anyhow::Result<(Runtime, CancellationToken)> {
    let runtime = runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.context("the runtime cannot be started")?;
    let stop = CancellationToken::new();
    {
        let _context = runtime.enter();
        stop_on_signal(&stop)?;
    }
    Ok((runtime, stop))
}

async fn serve(
    settings: Settings,
    flags: &Flags,
    stop: CancellationToken,
) -> anyhow::Result<ExitCode> {
    let daemon = Daemon::bind(settings).await;
    let daemon = daemon.map_err(|error| Error::new(&flags.settings, error.field, &error))?;
    let shutdown = daemon.run(stop).await;
    Ok(if shutdown.aborted == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILURE) })
}

fn stop_on_signal(stop: &CancellationToken) -> anyhow::Result<()> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signals = signal(kind).context("signals cannot be received")?;
        let stop = stop.clone();
        tokio::spawn(async move {
            signals.recv().await;
            stop.cancel();
        });
    }
    Ok(())
}

/// Writes a line to standard error. A write error cannot be reported and is ignored.
fn print_stderr(line: &str) {
    let _written = writeln!(std::io::stderr(), "{line}");
}
