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

/// Reads a document and checks it whole. A document in parts is read by [`crate::parts`].
///
/// # Errors
///
/// Every fault is returned, not only the first. Text that is no JSON has one fault. After
/// [`MAX_FAULTS`] faults the last entry tells how many more there are.
pub fn parse(bytes: &[u8]) -> Result<Checked, Vec<Fault>> {
    let reading = Reading::root(bytes)?;
    let parts = vec![None; reading.parts().len()];
    let document = reading.finish(&parts)?;
    Ok(Checked { document, digest: Digest::of(bytes) })
}

/// The path of faults that concern the whole document.
const ROOT: &str = "document";

/// A document that is being read.
pub(crate) struct Reading {
    draft: shape::Draft,
    faults: fault::List,
}

impl Reading {
    /// Reads a document without its parts.
    ///
    /// # Errors
    ///
    /// Fails if nothing can be read. Other faults are told at the end.
    pub(crate) fn root(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        let length = bytes.len();
        if length > MAX_DOCUMENT_BYTES {
            let message = format!("{length} bytes, at most {MAX_DOCUMENT_BYTES} are allowed");
            return Err(vec![Fault { path: ROOT.into(), message: message.into() }]);
        }
        Self::unbounded(bytes)
    }

    /// Reads a document of any size without its parts.
    ///
    /// # Errors
    ///
    /// Fails if nothing can be read. Other faults are told at the end.
    pub(crate) fn unbounded(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        let mut faults = fault::List::default();
        match shape::read(bytes, &mut faults) {
            Some(draft) => Ok(Self { draft, faults }),
            None => Err(faults.into()),
        }
    }

    /// The digests of the parts.
    pub(crate) fn parts(&self) -> &[Digest] {
        &self.draft.parts
    }

    /// Reads the parts, in the order of their digests, and checks everything.
    ///
    /// # Errors
    ///
    /// Every fault is returned. A part without bytes is a fault.
    pub(crate) fn finish(mut self, parts: &[Option<&[u8]>]) -> Result<Document, Vec<Fault>> {
        check::parts(&self.draft, parts, &mut self.faults);
        for (index, part) in parts.iter().enumerate() {
            match part {
                Some(bytes) => {
                    shape::read_part(&mut self.draft, index as u32, bytes, &mut self.faults);
                }
                None => self.draft.lacks_part(),
            }
        }
        check::all(&self.draft, &mut self.faults);
        let faults: Vec<_> = self.faults.into();
        if !faults.is_empty() {
            return Err(faults);
        }
        let document = self.draft.finish();
        Ok(document.expect("a document without faults is complete"))
    }
}
