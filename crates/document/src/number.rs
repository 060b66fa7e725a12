//! Number types: revisions, incarnations, tiers, token counts, percentages.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::encoding::text_or_binary;

/// The revision of a published value. A higher revision replaces a lower one.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A service tier. Tier 1 is the highest, [`Tier::LOWEST`] the lowest.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Tier(pub u8);

impl Tier {
    /// The highest tier.
    pub const HIGHEST: Self = Self(1);
    /// The lowest tier.
    pub const LOWEST: Self = Self(8);
}

/// A count of tokens.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
    derive_more::Add,
    derive_more::Sum,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

/// A percentage as an integer from 0 to 100.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
#[display("{_0}%")]
#[serde(transparent)]
pub struct Percent(pub u8);

/// Identifies one run of a process. A restarted process gets a higher incarnation.
///
/// The upper 44 bits are the start time in milliseconds since 1970, the lower 20 bits are random.
/// The text form has 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

text_or_binary!(Incarnation);

impl Incarnation {
    /// The number of low bits that are random.
    pub const RANDOM_BITS: u32 = 20;

    /// The incarnation of a process that started `started_ms` milliseconds after 1970.
    ///
    /// Only the low [`Self::RANDOM_BITS`] bits of `random` are used.
    pub fn new(started_ms: u64, random: u64) -> Self {
        let mask = (1 << Self::RANDOM_BITS) - 1;
        Self(started_ms << Self::RANDOM_BITS | random & mask)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Parses exactly 16 hexadecimal digits.
pub fn from_hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// The error for a text that is not an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an incarnation has 16 hexadecimal digits")]
pub struct IncarnationError;

impl FromStr for Incarnation {
    type Err = IncarnationError;

    fn from_str(text: &str) -> Result<Self, IncarnationError> {
        from_hex(text).map(Self).ok_or(IncarnationError)
    }
}
