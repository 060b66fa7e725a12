//! Idempotency keys.
//!
//! A key names the daemon that may run the request, by its incarnation, and the time of issue. The
//! text form is `INCARNATION.ISSUED.PART`: 16 hexadecimal digits, milliseconds since 1970, and 1 to
//! 64 bytes of the caller's choice out of `a-z`, `A-Z`, `0-9`, `_` and `-`.

use std::str::FromStr;

use compact_str::CompactString;
use hyssop_document::number::Incarnation;

/// The longest caller-chosen part in bytes.
pub const MAX_PART_BYTES: usize = 64;
/// The longest text form in bytes.
pub const MAX_KEY_BYTES: usize = 16 + 1 + 20 + 1 + MAX_PART_BYTES;

/// An idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, derive_more::Display)]
#[display("{incarnation}.{issued_ms}.{part}")]
pub struct Key {
    /// The incarnation of the daemon that the request was first meant for.
    pub incarnation: Incarnation,
    /// The time of issue in milliseconds since 1970.
    pub issued_ms: u64,
    /// The part that the caller chose.
    pub part: CompactString,
}

/// A text that is no key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an idempotency key has the form INCARNATION.ISSUED_MS.PART")]
pub struct Error;

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_KEY_BYTES {
            return Err(Error);
        }
        let (incarnation, rest) = text.split_once('.').ok_or(Error)?;
        let (issued, part) = rest.split_once('.').ok_or(Error)?;
        let incarnation = incarnation.parse().map_err(|_| Error)?;
        // Only one text form of a number is taken, so that equal keys have equal texts.
        let plain = issued.bytes().all(|b| b.is_ascii_digit()) && !issued.starts_with('0');
        let issued_ms = issued.parse().map_err(|_| Error)?;
        let allowed = part.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-'));
        let fits = (1..=MAX_PART_BYTES).contains(&part.len());
        if !(plain && allowed && fits) {
            return Err(Error);
        }
        Ok(Self { incarnation, issued_ms, part: CompactString::new(part) })
    }
}
