//! Documents split into parts, for more workspaces and backend servers than fit into one published
//! value.
//!
//! The field `parts` of the document lists the digests of its parts. A part is a JSON object with
//! the lists `workspaces` and `backends`, whose elements are added to those of the document. A part
//! is identified by its digest and never changes. A reader of the document can therefore fetch the
//! parts later and in any order, and gets exactly the published parts or none.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;

use crate::{
    catalog::{Catalog, Part},
    collections::Map,
    digest::Digest,
    load::{Fault, Loader, MAX_DOCUMENT_BYTES},
    model::{Backend, Document, Workspace},
};

/// The maximum size of all parts together in bytes.
pub const MAX_PARTS_BYTES: usize = 32 << 20;

/// The target size of a part if [`Bundle::split`] chooses the number of parts.
const TARGET_PART_BYTES: usize = 16 << 10;

/// The reason why a part was rejected.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The document does not list the part, or the part was added before.
    #[display("the document needs no part {_0}")]
    NotNeeded(#[error(not(source))] Digest),
    /// The part is larger than a published value may be.
    #[display("a part has {_0} bytes, at most {MAX_DOCUMENT_BYTES} are allowed")]
    TooLarge(#[error(not(source))] usize),
    /// All parts together exceed [`MAX_PARTS_BYTES`].
    #[display("the parts have more than {MAX_PARTS_BYTES} bytes")]
    TotalTooLarge,
}

/// A document whose parts are being collected.
pub struct Assembly {
    bytes: Bytes,
    loader: Loader,
    parts: Vec<Option<Content>>,
    /// The position of each listed part by its digest.
    positions: Map<Digest, usize>,
    total_bytes: usize,
}

impl Assembly {
    /// Starts with the document itself. A document without parts is complete at once.
    ///
    /// # Errors
    ///
    /// Fails if the document is too large, is not a JSON object or has an invalid list of parts.
    /// [`Self::finish`] reports all other faults.
    pub fn new(bytes: impl Into<Bytes>) -> Result<Self, Vec<Fault>> {
        let bytes = bytes.into();
        let loader = Loader::new(&bytes)?;
        let digests = loader.parts().iter().enumerate();
        let positions = digests.map(|(position, digest)| (*digest, position)).collect();
        let parts = vec![None; loader.parts().len()];
        Ok(Self { bytes, loader, parts, positions, total_bytes: 0 })
    }

    /// The digests of the parts that are still needed.
    pub fn missing(&self) -> Vec<Digest> {
        let digests = self.loader.parts().iter().zip(&self.parts);
        digests.filter(|(_, part)| part.is_none()).map(|(digest, _)| *digest).collect()
    }

    /// Adds a part from any source. The part is identified by its digest.
    ///
    /// # Errors
    ///
    /// Fails if the part is not needed or too large.
    pub fn add(&mut self, part: impl Into<Bytes>) -> Result<(), Error> {
        let bytes = part.into();
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        let (digest, length) = (Digest::of(&bytes), bytes.len());
        self.insert(digest, length, Content::Raw(bytes))
    }

    /// Adds the parts shared with another checked document, usually the document in force.
    pub fn reuse(&mut self, catalog: &Catalog) {
        for part in catalog.parts() {
            // A part that the new document does not list is no error.
            self.insert(part.digest, part.bytes.len(), Content::Checked(part.clone())).ok();
        }
    }

    fn insert(&mut self, digest: Digest, length: usize, content: Content) -> Result<(), Error> {
        let position = self.positions.get(&digest).copied();
        let slot = position.and_then(|position| self.parts.get_mut(position));
        let slot = slot.filter(|slot| slot.is_none()).ok_or(Error::NotNeeded(digest))?;
        if self.total_bytes + length > MAX_PARTS_BYTES {
            return Err(Error::TotalTooLarge);
        }
        self.total_bytes += length;
        *slot = Some(content);
        Ok(())
    }

    /// Checks the document with its parts and indexes it.
    ///
    /// # Errors
    ///
    /// Returns every fault of the document and of its parts. A missing part is a fault.
    pub fn finish(self) -> Result<Catalog, Vec<Fault>> {
        let mut loader = self.loader;
        let digests = loader.parts().to_vec();
        let mut parts = Vec::with_capacity(digests.len());
        for (index, (digest, content)) in (0..).zip(digests.into_iter().zip(self.parts)) {
            parts.extend(load_part(&mut loader, index, digest, content));
        }
        let document = loader.finish()?;
        let digest = Digest::of(&self.bytes);
        Ok(Catalog::new(document, digest, self.bytes, parts))
    }
}

/// The content of a part.
#[derive(Clone)]
enum Content {
    /// Bytes that are not parsed yet.
    Raw(Bytes),
    /// A part of a checked document, which is already parsed.
    Checked(Part),
}

fn load_part(
    loader: &mut Loader,
    index: u32,
    digest: Digest,
    content: Option<Content>,
) -> Option<Part> {
    match content {
        Some(Content::Raw(bytes)) => {
            let lists = Arc::new(loader.read_part(index, &bytes)?);
            Some(Part { digest, bytes, lists })
        }
        Some(Content::Checked(part)) => {
            loader.reuse_part(index, &part.lists);
            Some(part)
        }
        None => {
            loader.report_missing_part(index);
            None
        }
    }
}

/// A document and its parts, ready for publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bundle {
    /// The document itself.
    pub bytes: Bytes,
    /// The parts, each to be published under its digest and before the document.
    pub parts: Vec<Bytes>,
}

impl Bundle {
    /// Checks a document of any size and splits it into at most `count` parts.
    ///
    /// The part of an element depends only on its name and on `count`, so a change of one workspace
    /// changes one part and the document itself. Without `count`, the number of parts is a power of
    /// two that follows from the size of the document, so that growth seldom changes it.
    ///
    /// # Errors
    ///
    /// Returns every fault of the document.
    pub fn split(bytes: &[u8], count: Option<usize>) -> Result<Self, Vec<Fault>> {
        let loader = Loader::without_size_limit(bytes)?;
        let document = loader.finish_without_parts()?;
        let count = count.unwrap_or_else(|| default_part_count(bytes.len()));
        Ok(split(document, count.max(1)))
    }
}

fn default_part_count(bytes: usize) -> usize {
    bytes.div_ceil(TARGET_PART_BYTES).next_power_of_two()
}

fn split(mut document: Document, count: usize) -> Bundle {
    let mut lists: Vec<Lists> = Vec::new();
    lists.resize_with(count, Lists::default);
    for workspace in document.workspaces.drain(..) {
        lists[part_index(workspace.name.as_str(), count)].workspaces.push(workspace);
    }
    for backend in document.backends.drain(..) {
        lists[part_index(backend.name.as_str(), count)].backends.push(backend);
    }
    lists.retain(|part| !part.workspaces.is_empty() || !part.backends.is_empty());
    let parts: Vec<_> = lists.iter().map(to_json).collect();
    let digests = parts.iter().map(|part| Digest::of(part)).collect();
    Bundle { bytes: to_json(&Root { document, parts: digests }), parts }
}

#[derive(Default, Serialize)]
struct Lists {
    workspaces: Vec<Workspace>,
    backends: Vec<Backend>,
}

#[derive(Serialize)]
struct Root {
    #[serde(flatten)]
    document: Document,
    parts: Vec<Digest>,
}

fn part_index(name: &str, count: usize) -> usize {
    (Digest::of(name.as_bytes()).short() % count as u64) as usize
}

fn to_json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).expect("the parts of a document are serializable").into()
}
