//! Reads and checks a document.
//!
//! Reading goes on after a fault, so that operators see all faults of a document at once.

mod check;
mod fault;
mod object;
mod shape;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{digest::Digest, model::Document};

/// The largest document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// The number of faults that are reported one by one.
pub const MAX_FAULTS: usize = 1000;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{path}: {message}")]
pub struct Fault {
    /// The path in the document, such as `classes[2].tier`.
    pub path: CompactString,
    /// What is wrong, with the value.
    pub message: CompactString,
}

/// A document that was checked, with the digest of the bytes it came from.
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
/// Every fault is returned, not only the first. Text that is no JSON has one fault. After
/// [`MAX_FAULTS`] faults the last entry tells how many more there are.
pub fn parse(bytes: &[u8]) -> Result<Checked, Vec<Fault>> {
    if bytes.len() > MAX_DOCUMENT_BYTES {
        let message = format!("{} bytes, at most {MAX_DOCUMENT_BYTES} are allowed", bytes.len());
        return Err(vec![Fault { path: ROOT.into(), message: message.into() }]);
    }
    let document = read(bytes)?;
    Ok(Checked { document, digest: Digest::of(bytes) })
}

/// The path of faults that concern the whole document.
const ROOT: &str = "document";

/// Reads and checks a document of any size.
fn read(bytes: &[u8]) -> Result<Document, Vec<Fault>> {
    let mut faults = fault::List::default();
    let draft = shape::read(bytes, &mut faults);
    if let Some(draft) = &draft {
        check::all(draft, &mut faults);
    }
    faults.into_result()?;
    let document = draft.and_then(shape::Draft::finish);
    Ok(document.expect("a document without faults is complete"))
}
