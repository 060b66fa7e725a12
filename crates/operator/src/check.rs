//! The result of checking a document.

use hyssop_document::{
    advice::{self, Note},
    catalog::Catalog,
    digest::Digest,
    load::Fault,
    name,
    number::Revision,
};
use serde::{Deserialize, Serialize};

/// Whether a document is valid, and its faults if it is not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the document has no faults.
    pub valid: bool,
    /// The environment, if the document is valid.
    pub environment: Option<name::Environment>,
    /// The revision, if the document is valid.
    pub revision: Option<Revision>,
    /// The digest, if the document is valid.
    pub digest: Option<Digest>,
    /// All faults of the document.
    pub faults: Vec<Fault>,
    /// Warnings about a valid document.
    pub notes: Vec<Note>,
}

impl Report {
    /// Makes a report out of the result of [`Catalog::parse`].
    pub fn new(result: Result<Catalog, Vec<Fault>>) -> Self {
        match result {
            Ok(catalog) => Self {
                valid: true,
                environment: Some(catalog.environment().clone()),
                revision: Some(catalog.revision()),
                digest: Some(catalog.digest()),
                faults: Vec::new(),
                notes: advice::notes(&catalog),
            },
            Err(faults) => Self {
                valid: false,
                environment: None,
                revision: None,
                digest: None,
                faults,
                notes: Vec::new(),
            },
        }
    }
}
