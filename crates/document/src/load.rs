//! Reads and checks a document.

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};

use crate::{digest::Digest, model::Document};

/// The largest document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{path}: {message}")]
pub struct Fault {
    /// The path in the document, such as `classes[2].tier`.
    pub path: CompactString,
    /// What is wrong, with the value.
    pub message: CompactString,
}

/// A document that was checked, with the bytes it came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checked {
    /// The document.
    pub document: Document,
    /// The digest of the bytes.
    pub digest: Digest,
}

/// Reads a document and checks it whole.
///
/// # Errors
///
/// Every fault is returned, not only the first. Text that is no JSON, or JSON of another shape, has
/// one fault.
pub fn parse(bytes: &[u8]) -> Result<Checked, Vec<Fault>> {
    if bytes.len() > MAX_DOCUMENT_BYTES {
        let message = format!("{} bytes, at most {MAX_DOCUMENT_BYTES} are allowed", bytes.len());
        return Err(vec![Fault { path: "document".into(), message: message.into() }]);
    }
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let document: Document = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_compact_string();
        vec![Fault { path, message: error.inner().to_compact_string() }]
    })?;
    Ok(Checked { document, digest: Digest::of(bytes) })
}
