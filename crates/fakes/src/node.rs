//! The command line of the binary `node`: a process that runs a daemon, `hyssopctl` or a fake.

use std::{ffi::OsString, io::Read, net::SocketAddr, path::PathBuf, process::ExitCode};

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use serde::{Deserialize, Serialize};

use crate::{baseline, engine, link::Link, platform::Platform, service};

/// A fake backend server, as listed in the file of `node backends`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The kind of backend server, with its settings.
    pub kind: Kind,
    /// The address of the request listener.
    pub address: SocketAddr,
    /// The address of the control listener.
    pub control: SocketAddr,
}

/// The kind of a fake backend server, with its settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine(engine::Settings),
    /// A plain service.
    Service(service::Settings),
}

#[derive(Debug, Parser)]
#[command(name = "node", about = "A daemon, the operators' command or a fake, for tests")]
struct Flags {
    /// Exits when standard input is closed, so that the process does not outlive its parent.
    #[arg(long)]
    attached: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// The daemon `hyssopcourse`.
    Daemon {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
    /// The operators' command `hyssopctl`.
    Ctl {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
    /// The fake platform.
    Platform {
        #[arg(long, value_name = "IP:PORT")]
        listen: SocketAddr,
        #[arg(long, value_name = "IP:PORT")]
        control: SocketAddr,
    },
    /// Fake backend servers.
    Backends {
        /// A JSON file with the list of backend servers.
        #[arg(long, value_name = "FILE")]
        file: PathBuf,
    },
    /// A baseline daemon.
    Baseline {
        /// A JSON file with the settings of the daemon.
        #[arg(long, value_name = "FILE")]
        file: PathBuf,
    },
    /// A network link, without cuts.
    Link {
        #[arg(long, value_name = "IP:PORT")]
        listen: SocketAddr,
        #[arg(long, value_name = "IP:PORT")]
        target: SocketAddr,
    },
}

/// Runs the command in `args`, whose first element is the program name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let flags = match Flags::try_parse_from(args) {
        Ok(flags) => flags,
        Err(error) => {
            _ = error.print();
            return ExitCode::from(2);
        }
    };
    if flags.attached {
        std::thread::spawn(exit_with_parent);
    }
    let program = |name: &str, args: Vec<OsString>| std::iter::once(name.into()).chain(args);
    match flags.command {
        Command::Daemon { args } => hyssop_daemon::main(program("hyssopcourse", args)),
        Command::Ctl { args } => hyssop_ctl::main(program("hyssopctl", args)),
        fake => match run(fake) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                log::error!("{error:#}");
                ExitCode::FAILURE
            }
        },
    }
}

/// Exits the process at the end of standard input.
fn exit_with_parent() {
    let mut buffer = [0; 16];
    while std::io::stdin().read(&mut buffer).is_ok_and(|read| read > 0) {}
    std::process::exit(0);
}

#[tokio::main]
async fn run(command: Command) -> Result<()> {
    hyssop_logging::start(tracing::level_filters::LevelFilter::WARN);
    match command {
        Command::Platform { listen, control } => {
            let _platform = Platform::start(listen, control).await?;
            std::future::pending().await
        }
        Command::Link { listen, target } => {
            let _link = Link::start(listen, target).await?;
            std::future::pending().await
        }
        Command::Backends { file } => {
            let text = std::fs::read(&file).with_context(|| file.display().to_string())?;
            let list: Vec<Backend> = serde_json::from_slice(&text)?;
            let mut started = Vec::new();
            for backend in list {
                started.push(start(backend).await?);
            }
            std::future::pending().await
        }
        Command::Baseline { file } => {
            let text = std::fs::read(&file).with_context(|| file.display().to_string())?;
            let _daemon = baseline::Daemon::start(serde_json::from_slice(&text)?).await?;
            std::future::pending().await
        }
        Command::Daemon { .. } | Command::Ctl { .. } => unreachable!("main handles them"),
    }
}

/// A running fake backend server.
#[derive(Debug)]
pub enum RunningBackend {
    /// A model engine.
    Engine(engine::Engine),
    /// A plain service.
    Service(service::Service),
}

/// Starts a fake backend server in this process.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn start(backend: Backend) -> Result<RunningBackend> {
    let Backend { kind, address, control } = backend;
    Ok(match kind {
        Kind::Engine(settings) => {
            RunningBackend::Engine(engine::Engine::start(settings, address, control).await?)
        }
        Kind::Service(settings) => {
            RunningBackend::Service(service::Service::start(settings, address, control).await?)
        }
    })
}
