//! Reads and checks a document.
//!
//! Reading goes on after a fault, so that operators see all faults of a document at once.

mod check;
mod fault;
mod list;
mod object;
mod shape;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

pub(crate) use self::shape::Lists;
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
    let document = Reading::root(bytes)?.finish_without_parts()?;
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
    /// Fails if nothing can be read or the list of parts is wrong. Other faults are told at the end.
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
    /// Fails if nothing can be read or the list of parts is wrong. Other faults are told at the end.
    pub(crate) fn unbounded(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        let mut faults = fault::List::default();
        let draft = shape::read(bytes, &mut faults);
        match draft.filter(|draft| check::parts(&draft.parts, &mut faults)) {
            Some(draft) => Ok(Self { draft, faults }),
            None => Err(faults.into()),
        }
    }

    /// The digests of the parts.
    pub(crate) fn parts(&self) -> &[Digest] {
        &self.draft.parts
    }

    /// Reads the part at a position and returns its lists, to be kept with the part.
    pub(crate) fn part(&mut self, index: u32, bytes: &[u8]) -> Option<Lists> {
        let lists = shape::read_part(index, bytes, &mut self.faults);
        match &lists {
            Some(lists) => self.draft.append(index, lists),
            None => self.draft.lacks_part(),
        }
        lists
    }

    /// Takes the lists of a part that was read and checked with an earlier document.
    pub(crate) fn known_part(&mut self, index: u32, lists: &Lists) {
        self.draft.append(index, lists);
    }

    /// Notes that the part at a position is not there, which is a fault.
    pub(crate) fn missing_part(&mut self, index: u32) {
        let digest = self.draft.parts[index as usize];
        let message = format!("{digest} is not at hand");
        self.faults.add(format!("parts[{index}]"), message);
        self.draft.lacks_part();
    }

    /// Checks a document of which no part is at hand.
    ///
    /// # Errors
    ///
    /// Every fault is returned.
    pub(crate) fn finish_without_parts(mut self) -> Result<Document, Vec<Fault>> {
        for index in 0..self.draft.parts.len() {
            self.missing_part(index as u32);
        }
        self.finish()
    }

    /// Checks everything that was read.
    ///
    /// # Errors
    ///
    /// Every fault is returned.
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
