//! Parts of an answer.

use bytes::Bytes;

/// One checked part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A token of a model's answer.
    Token {
        /// The number of the part, from 1. Absent where the engine does not number its parts.
        number: Option<u64>,
        /// The chunk as JSON.
        data: Bytes,
    },
    /// The count at the end of a model's answer.
    Usage {
        /// The number of tokens in the whole answer.
        tokens: u64,
        /// The chunk as JSON.
        data: Bytes,
    },
    /// Bytes of a plain service's answer.
    Body(Bytes),
}
