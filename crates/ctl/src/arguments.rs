//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use hyssop_document::{name, number::Revision};
use hyssop_operator::quarantine::Fingerprint;

/// Checks documents and operates a fleet of hyssopcourse daemons.
#[derive(Debug, Parser)]
#[command(name = "hyssopctl", version, max_term_width = 100)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
    #[command(flatten)]
    pub(crate) connection: Connection,
    /// Print JSON for programs instead of text for people.
    #[arg(long, global = true)]
    pub(crate) json: bool,
}

/// How to reach the daemons.
#[derive(Debug, Args)]
#[command(next_help_heading = "Connection")]
pub(crate) struct Connection {
    /// Operators' address of a daemon; may be repeated. If one fails, the next one is tried.
    /// [env: HYSSOP_SERVERS]
    #[arg(long, global = true, value_name = "ADDRESS", value_delimiter = ',')]
    pub(crate) server: Vec<SocketAddr>,
    /// File with the operator's key. [env: HYSSOP_OPERATOR_KEY holds the key itself]
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    /// Seconds after which the next daemon is tried.
    #[arg(long, global = true, value_name = "SECONDS", default_value_t = 10,
          value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub(crate) timeout: u64,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check documents as the daemons do; print every fault.
    Check {
        /// The documents.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Directory with the parts that a document names, each in a file named by its digest.
        #[arg(long, value_name = "DIRECTORY")]
        parts: Option<PathBuf>,
    },
    /// Split a document of any size into parts that can be published.
    Split {
        /// The document.
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Directory to write the file `document` and the directory `parts` to.
        #[arg(long, value_name = "DIRECTORY")]
        into: PathBuf,
        /// Number of parts. By default, it depends on the size of the document.
        #[arg(long, value_name = "COUNT",
              value_parser = clap::value_parser!(u16).range(1..=4096))]
        count: Option<u16>,
    },
    /// Show what changes from one document to another.
    Diff {
        /// The old document.
        #[arg(value_name = "OLD")]
        old: PathBuf,
        /// The new document.
        #[arg(value_name = "NEW")]
        new: PathBuf,
        /// Directory with the parts that the documents name, each in a file named by its digest.
        #[arg(long, value_name = "DIRECTORY")]
        parts: Option<PathBuf>,
    },
    /// Show the status of the fleet.
    Status {
        /// List every backend server, not only those that are not warm.
        #[arg(long)]
        all: bool,
    },
    /// Take an availability zone out of service or bring it back.
    Zone {
        #[command(subcommand)]
        order: Order<name::Zone>,
    },
    /// Take a host out of service or bring it back.
    Host {
        #[command(subcommand)]
        order: Order<name::Host>,
    },
    /// Show histograms by class and workspace.
    Histograms(Histograms),
    /// List or release the requests that crashed backend servers.
    Quarantine {
        /// The action; `list` by default.
        #[command(subcommand)]
        action: Option<Quarantine>,
    },
    /// Print the document in force.
    Document,
    /// Print the events of a request from the logs of daemons.
    Explain {
        /// The request's id.
        #[arg(value_name = "REQUEST-ID")]
        id: String,
        /// The logs that daemons wrote to standard output.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// An order about an availability zone or a host.
#[derive(Debug, Subcommand)]
pub(crate) enum Order<N: TargetName> {
    /// Take the target out of service.
    Out(Target<N>),
    /// Bring the target back into service.
    In(Target<N>),
}

/// The target of an order.
#[derive(Debug, Args)]
pub(crate) struct Target<N: TargetName> {
    /// The name.
    #[arg(value_name = "NAME")]
    pub(crate) name: N,
    /// Apply the order only if this revision of the orders is in force. By default, the revision in
    /// force is read first.
    #[arg(long, value_name = "REVISION")]
    pub(crate) if_revision: Option<Revision>,
}

/// A name of something that an order can target.
pub(crate) trait TargetName:
    Clone + Send + Sync + 'static + std::str::FromStr<Err = name::Error>
{
}

impl TargetName for name::Zone {}
impl TargetName for name::Host {}

/// Selects and formats histograms.
#[derive(Debug, Args)]
pub(crate) struct Histograms {
    /// Only this class.
    #[arg(long, value_name = "CLASS")]
    pub(crate) class: Option<name::Class>,
    /// Only this workspace.
    #[arg(long, value_name = "WORKSPACE")]
    pub(crate) workspace: Option<name::Workspace>,
    /// Draw the buckets as bars.
    #[arg(long)]
    pub(crate) buckets: bool,
}

/// The actions on quarantined requests.
#[derive(Debug, Subcommand)]
pub(crate) enum Quarantine {
    /// List the quarantined requests.
    List,
    /// Let a request run again.
    Release {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
    },
}
