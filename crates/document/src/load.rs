//! Parses and checks a document.
//!
//! Parsing continues after a fault, so that operators get all faults of a document at once.

mod check;
mod fault;
mod list;
mod object;
mod schema;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

pub(crate) use self::schema::Lists;
use crate::{digest::Digest, model::Document};

/// The maximum size of a document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// The maximum number of faults that are listed individually.
pub const MAX_FAULTS: usize = 1000;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{path}: {message}")]
pub struct Fault {
    /// The path in the document, such as `classes[2].tier`.
    pub path: CompactString,
    /// The requirement that the value violates, with the value.
    pub message: CompactString,
}

/// A checked document, with the digest of its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checked {
    /// The document.
    pub document: Document,
    /// The digest of the bytes.
    pub digest: Digest,
}

/// Parses and checks a document without parts. See [`crate::parts`] for a document in parts.
///
/// # Errors
///
/// Returns every fault, not only the first. Text that is not JSON has one fault. After
/// [`MAX_FAULTS`] faults, the last entry gives the number of further faults.
pub fn parse(bytes: &[u8]) -> Result<Checked, Vec<Fault>> {
    let document = Loader::new(bytes)?.finish_without_parts()?;
    Ok(Checked { document, digest: Digest::of(bytes) })
}

/// The path of faults that concern the document as a whole.
const ROOT: &str = "document";

/// Loads a document and its parts.
pub(crate) struct Loader {
    draft: schema::Draft,
    faults: fault::List,
}

impl Loader {
    /// Parses a document without its parts.
    ///
    /// # Errors
    ///
    /// Fails if the document is too large, is not a JSON object or has an invalid list of parts.
    /// [`Self::finish`] reports all other faults.
    pub(crate) fn new(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        let length = bytes.len();
        if length > MAX_DOCUMENT_BYTES {
            let message = format!("{length} bytes, at most {MAX_DOCUMENT_BYTES} are allowed");
            return Err(vec![Fault { path: ROOT.into(), message: message.into() }]);
        }
        Self::without_size_limit(bytes)
    }

    /// Parses a document of any size without its parts.
    ///
    /// # Errors
    ///
    /// Fails if the document is not a JSON object or has an invalid list of parts.
    /// [`Self::finish`] reports all other faults.
    pub(crate) fn without_size_limit(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        let mut faults = fault::List::default();
        let draft = schema::read(bytes, &mut faults);
        match draft.filter(|draft| check::parts(&draft.parts, &mut faults)) {
            Some(draft) => Ok(Self { draft, faults }),
            None => Err(faults.into()),
        }
    }

    /// The digests of the parts that the document lists.
    pub(crate) fn parts(&self) -> &[Digest] {
        &self.draft.parts
    }

    /// Parses the part at `index` and returns its lists, to be cached with the part.
    pub(crate) fn read_part(&mut self, index: u32, bytes: &[u8]) -> Option<Lists> {
        let lists = schema::read_part(index, bytes, &mut self.faults);
        match &lists {
            Some(lists) => self.draft.append(index, lists),
            None => self.draft.mark_incomplete(),
        }
        lists
    }

    /// Adds the lists of a part that was parsed with an earlier document.
    pub(crate) fn reuse_part(&mut self, index: u32, lists: &Lists) {
        self.draft.append(index, lists);
    }

    /// Reports the part at `index` as missing.
    pub(crate) fn report_missing_part(&mut self, index: u32) {
        let digest = self.draft.parts[index as usize];
        let message = format!("{digest} is not at hand");
        self.faults.add(format!("parts[{index}]"), message);
        self.draft.mark_incomplete();
    }

    /// Checks a document without any parts added. Each part that the document lists is a fault.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    pub(crate) fn finish_without_parts(mut self) -> Result<Document, Vec<Fault>> {
        for index in 0..self.draft.parts.len() {
            self.report_missing_part(index as u32);
        }
        self.finish()
    }

    /// Checks the document and the parts that were added.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    pub(crate) fn finish(mut self) -> Result<Document, Vec<Fault>> {
        check::all(&self.draft, &mut self.faults);
        let faults: Vec<_> = self.faults.into();
        if !faults.is_empty() {
            return Err(faults);
        }
        let document = self.draft.finish();
        Ok(document.expect("a document without faults is complete"))
    }
}
