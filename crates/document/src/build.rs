//! The version of a backend server's software.

use std::convert::Infallible;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The version of a backend server's software, in the notation of whoever built it. Empty if the
/// backend server does not declare one.
///
/// A stream is continued only by backend servers of the build that began it.
#[derive(
    Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display,
)]
pub struct Build(CompactString);

impl Build {
    /// The build with this notation.
    pub fn new(text: &str) -> Self {
        Self(CompactString::new(text))
    }
}

impl std::str::FromStr for Build {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self::new(text))
    }
}
