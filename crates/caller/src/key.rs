//! Idempotency keys.
//!
//! A key contains the incarnation of the daemon that may run the request, and the time of issue.
//! Its text form is `INCARNATION.ISSUED_MS.PART`: 16 hexadecimal digits, milliseconds since 1970,
//! and 1 to 64 bytes chosen by the caller out of `a-z`, `A-Z`, `0-9`, `_` and `-`.

use std::str::FromStr;

use compact_str::CompactString;
use hyssop_document::number::Incarnation;

/// The maximum length of the caller-chosen part.
pub const MAX_PART_BYTES: usize = 64;
/// The maximum length of the text form.
pub const MAX_KEY_BYTES: usize = 16 + 1 + 20 + 1 + MAX_PART_BYTES;

/// An idempotency key, parsed from its text form.
#[derive(Debug, Clone, PartialEq, Eq, Hash, derive_more::Display)]
#[display("{incarnation}.{issued_ms}.{part}")]
pub struct Key {
    /// The incarnation of the daemon that the key is bound to.
    pub incarnation: Incarnation,
    /// The time of issue in milliseconds since 1970.
    pub issued_ms: u64,
    /// The caller-chosen part: 1 to [`MAX_PART_BYTES`] bytes.
    pub part: CompactString,
}

/// The error of a text that is not a key.
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
        // Leading zeros and signs are rejected, so that equal times have equal texts.
        let canonical = issued.bytes().all(|b| b.is_ascii_digit()) && !issued.starts_with('0');
        let issued_ms = issued.parse().map_err(|_| Error)?;
        let allowed = part.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-'));
        let fits = (1..=MAX_PART_BYTES).contains(&part.len());
        if !(canonical && allowed && fits) {
            return Err(Error);
        }
        Ok(Self { incarnation, issued_ms, part: CompactString::new(part) })
    }
}
