//! Quarantined requests: requests that are refused because they crashed backend servers.

use std::{fmt, str::FromStr};

use hyssop_document::{name, number};
use serde::{Deserialize, Serialize};

/// The fingerprint of a request. Its text form has 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The error of a text that is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a fingerprint has 16 hexadecimal digits")]
pub struct FingerprintError;

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        number::from_hex(text).map(Self).ok_or(FingerprintError)
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = FingerprintError;

    fn try_from(text: String) -> Result<Self, FingerprintError> {
        text.parse()
    }
}

/// The quarantined requests that a daemon has recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// One entry for each fingerprint.
    pub entries: Vec<Entry>,
}

/// A quarantined request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The workspace that sent the request, if this daemon received the request itself.
    pub workspace: Option<name::Workspace>,
    /// The pool that the request named, if this daemon received the request itself.
    pub pool: Option<name::Pool>,
    /// The number of crashes attributed to the request.
    pub crashes: u32,
    /// The time until the quarantine expires, in milliseconds.
    pub expires_in_ms: u64,
}

/// The result of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The fingerprint that was released.
    pub fingerprint: Fingerprint,
    /// Whether the daemon that received the request had a record of the fingerprint.
    pub released: bool,
    /// The hosts that have confirmed the release.
    pub in_force: Vec<name::Host>,
    /// The hosts that could not be reached.
    pub not_reached: Vec<name::Host>,
}
