//! Numbers with a meaning: revisions, incarnations, tiers, token counts, percentages.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::form::text_or_binary;

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

/// A whole number of percent, 0 to 100.
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

/// One run of a process. A process that starts again gets a higher incarnation.
///
/// The upper 44 bits are the start time in milliseconds since 1970, the lower 20 bits are random.
/// The text form has 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

text_or_binary!(Incarnation);

impl Incarnation {
    /// The number of low bits that are random.
    pub const RANDOM_BITS: u32 = 20;

    /// Makes the incarnation of a process that started at `started_ms` since 1970.
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

/// Reads a number of exactly 16 hexadecimal digits.
pub fn from_hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A text that is no incarnation.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an incarnation has 16 hexadecimal digits")]
pub struct IncarnationError;

impl FromStr for Incarnation {
    type Err = IncarnationError;

    fn from_str(text: &str) -> Result<Self, IncarnationError> {
        from_hex(text).map(Self).ok_or(IncarnationError)
    }
}
