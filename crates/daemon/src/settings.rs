//! Settings of a daemon: a JSON file whose fields can be overridden by flags.

use std::{
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use clap::Parser;
use compact_str::CompactString;
use hyssop_document::{digest::Digest, name};
use log::LevelFilter;

use self::fields::Fields;

mod fields;

/// The command line of the daemon.
#[derive(Debug, Parser)]
#[command(
    name = "hyssopcourse",
    version,
    about = "Routes language-model traffic with service levels and priorities"
)]
pub struct Flags {
    /// The settings file (JSON).
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Checks the settings, prints every fault, and exits.
    #[arg(long)]
    pub check_settings: bool,
    /// Overrides the host's name.
    #[arg(long)]
    host: Option<name::Host>,
    /// Overrides the availability zone of the host.
    #[arg(long)]
    zone: Option<name::Zone>,
    /// Overrides the address that serves callers.
    #[arg(long, value_name = "IP:PORT")]
    caller_address: Option<SocketAddr>,
    /// Overrides the address that serves the other daemons, over UDP and TCP.
    #[arg(long, value_name = "IP:PORT")]
    peer_address: Option<SocketAddr>,
    /// Overrides the address that serves operators.
    #[arg(long, value_name = "IP:PORT")]
    operator_address: Option<SocketAddr>,
    /// Overrides the address of the platform's configuration service.
    #[arg(long, value_name = "IP:PORT")]
    platform_address: Option<SocketAddr>,
    /// Overrides the prefix of the platform's keys.
    #[arg(long)]
    platform_prefix: Option<CompactString>,
    /// Overrides the peers to contact at startup, as a comma-separated list.
    #[arg(long, value_name = "IP:PORT,..", value_delimiter = ',')]
    peers: Option<Vec<SocketAddr>>,
    /// Overrides the digests of the operators' keys, as a comma-separated list.
    #[arg(long, value_name = "SHA256,..", value_delimiter = ',')]
    operator_keys_sha256: Option<Vec<Digest>>,
    /// Overrides the address that metrics are sent to in the statsd format.
    #[arg(long, value_name = "IP:PORT")]
    metrics_address: Option<SocketAddr>,
    /// Overrides the log level: off, error, warn, info, debug or trace.
    #[arg(long)]
    log_level: Option<LevelFilter>,
    /// Overrides how long callers may cache the response of /v1/addresses, in milliseconds.
    #[arg(long)]
    addresses_lifetime_ms: Option<u64>,
    /// Overrides how long a graceful stop waits for running requests, in milliseconds.
    #[arg(long)]
    stop_limit_ms: Option<u64>,
}

/// The settings of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The name of the host.
    pub host: name::Host,
    /// The availability zone of the host.
    pub zone: name::Zone,
    /// The address that serves callers.
    pub caller_address: SocketAddr,
    /// The address that serves the other daemons, over UDP and TCP.
    pub peer_address: SocketAddr,
    /// The address that serves operators.
    pub operator_address: SocketAddr,
    /// The address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// The prefix of the platform's keys.
    pub platform_prefix: CompactString,
    /// The peers to contact at startup, in addition to those that the platform lists.
    pub peers: Vec<SocketAddr>,
    /// The digests of the operators' keys.
    pub operator_keys_sha256: Vec<Digest>,
    /// The address that metrics are sent to in the statsd format.
    pub metrics_address: Option<SocketAddr>,
    /// The log level.
    pub log_level: LevelFilter,
    /// How long callers may cache the response of `/v1/addresses`.
    pub addresses_lifetime: Duration,
    /// How long a graceful stop waits for running requests.
    pub stop_limit: Duration,
}

/// One fault of the settings.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{field}: {message}")]
pub struct Fault {
    /// The name of the field.
    pub field: CompactString,
    /// The requirement that the value violates, with the value.
    pub message: CompactString,
}

/// All faults of the settings.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Error)]
pub struct Error {
    /// The settings file.
    pub file: PathBuf,
    /// The faults, in the order of the checks.
    pub faults: Vec<Fault>,
}

impl Error {
    /// An error with a single fault.
    pub fn new(file: &Path, field: &str, message: impl fmt::Display) -> Self {
        let message = compact_str::format_compact!("{message}");
        let fault = Fault { field: field.into(), message };
        Self { file: file.to_owned(), faults: vec![fault] }
    }
}

impl fmt::Display for Error {
    /// Writes one line per fault with the file, the field and the value.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        let mut lines = self.faults.iter().map(|fault| format!("{file}: {fault}"));
        f.write_str(&lines.by_ref().collect::<Vec<_>>().join("\n"))
    }
}

const DEFAULT_ADDRESSES_LIFETIME_MS: u64 = 5_000;
const DEFAULT_STOP_LIMIT_MS: u64 = 120_000;

impl Settings {
    /// Reads the settings file that `flags` names and applies the overrides.
    ///
    /// # Errors
    ///
    /// Returns every fault: unknown, duplicate, missing and malformed fields, and addresses that
    /// occur twice. Returns a single fault if the file cannot be read or is not a JSON object.
    pub fn read(flags: &Flags) -> Result<Self, Error> {
        let text = std::fs::read(&flags.settings)
            .map_err(|error| Error::new(&flags.settings, "file", error))?;
        Self::parse(&text, flags)
    }

    /// Parses the bytes of a settings file and applies the overrides of `flags`.
    ///
    /// # Errors
    ///
    /// See [`Settings::read`].
    pub fn parse(text: &[u8], flags: &Flags) -> Result<Self, Error> {
        let mut fields = Fields::parse(text).map_err(|error| {
            Error::new(&flags.settings, "file", format!("not a JSON object: {error}"))
        })?;
        let settings = Self::collect(&mut fields, flags);
        let mut faults = fields.finish();
        if let Some(settings) = &settings {
            faults.extend(settings.duplicate_addresses());
        }
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Error { file: flags.settings.clone(), faults }),
        }
    }

    /// Reads every field before returning `None` for a missing one, so that all faults are found.
    fn collect(fields: &mut Fields, flags: &Flags) -> Option<Self> {
        let host = fields.required("host", flags.host.clone());
        let zone = fields.required("zone", flags.zone.clone());
        let caller_address = fields.required("caller_address", flags.caller_address);
        let peer_address = fields.required("peer_address", flags.peer_address);
        let operator_address = fields.required("operator_address", flags.operator_address);
        let platform_address = fields.required("platform_address", flags.platform_address);
        let platform_prefix = fields.required("platform_prefix", flags.platform_prefix.clone());
        let peers = fields.optional("peers", flags.peers.clone());
        let operator_keys = flags.operator_keys_sha256.clone();
        let operator_keys_sha256 = fields.required("operator_keys_sha256", operator_keys);
        let metrics_address = fields.optional("metrics_address", flags.metrics_address);
        let log_level = fields.string("log_level", flags.log_level);
        let lifetime_ms = fields.optional("addresses_lifetime_ms", flags.addresses_lifetime_ms);
        let stop_limit_ms = fields.optional("stop_limit_ms", flags.stop_limit_ms);
        Some(Self {
            host: host?,
            zone: zone?,
            caller_address: caller_address?,
            peer_address: peer_address?,
            operator_address: operator_address?,
            platform_address: platform_address?,
            platform_prefix: platform_prefix?,
            peers: peers.unwrap_or_default(),
            operator_keys_sha256: operator_keys_sha256?,
            metrics_address,
            log_level: log_level.unwrap_or(LevelFilter::Info),
            addresses_lifetime: Duration::from_millis(
                lifetime_ms.unwrap_or(DEFAULT_ADDRESSES_LIFETIME_MS),
            ),
            stop_limit: Duration::from_millis(stop_limit_ms.unwrap_or(DEFAULT_STOP_LIMIT_MS)),
        })
    }

    fn duplicate_addresses(&self) -> Vec<Fault> {
        let addresses = [
            ("caller_address", self.caller_address),
            ("peer_address", self.peer_address),
            ("operator_address", self.operator_address),
        ];
        let mut faults = Vec::new();
        for (position, (field, address)) in addresses.iter().enumerate() {
            let earlier = addresses[..position].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = earlier {
                let message = compact_str::format_compact!("{address} is also the {other}");
                faults.push(Fault { field: (*field).into(), message });
            }
        }
        faults
    }
}
