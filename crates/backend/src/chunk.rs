//! Chunks of a response.

use bytes::Bytes;

/// One validated chunk of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// An event of a model's response that carries output tokens.
    Token {
        /// The number of the chunk, from 1. Absent if the engine does not number its chunks.
        number: Option<u64>,
        /// The event's data as JSON.
        data: Bytes,
    },
    /// The token count at the end of a model's response.
    Usage {
        /// The number of tokens in the complete response.
        tokens: u64,
        /// The event's data as JSON.
        data: Bytes,
    },
    /// Bytes of a plain service's response body.
    Body(Bytes),
}
