//! A document in parts, for more workspaces and backend servers than one published value holds.
//!
//! The document itself names its parts by their digests in the field `parts`. A part is a JSON
//! object with the lists `workspaces` and `backends`, whose elements are added to the document's
//! own. Since a part is named by its digest, it never changes: who has read the document can read
//! the parts later and in any order, and gets either exactly what was published or nothing.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;

use crate::{
    catalog::{Catalog, Part},
    collections::Map,
    digest::Digest,
    load::{Fault, MAX_DOCUMENT_BYTES, Reading},
    model::{Backend, Document, Workspace},
};

/// The largest sum of the sizes of all parts in bytes.
pub const MAX_PARTS_BYTES: usize = 32 << 20;

/// The size of a part that [`Published::split`] aims at, in bytes.
const DEFAULT_PART_BYTES: usize = 16 << 10;

/// Why a part was not taken.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The document does not name it, or it is at hand already.
    #[display("the document needs no part {_0}")]
    Unwanted(#[error(not(source))] Digest),
    /// It is larger than a published value may be.
    #[display("a part has {_0} bytes, at most {MAX_DOCUMENT_BYTES} are allowed")]
    TooLarge(#[error(not(source))] usize),
    /// All parts together are too large.
    #[display("the parts have more than {MAX_PARTS_BYTES} bytes")]
    TooLargeTogether,
}

/// A document whose parts are being gathered.
pub struct Assembly {
    bytes: Bytes,
    reading: Reading,
    parts: Vec<Option<Source>>,
    /// The position of each part by its digest.
    needed: Map<Digest, usize>,
    total_bytes: usize,
}

impl Assembly {
    /// Starts with the document itself. One without parts lacks nothing.
    ///
    /// # Errors
    ///
    /// Fails if the document is too large, is no JSON object or names its parts wrongly. Other
    /// faults are told by [`Self::finish`].
    pub fn new(bytes: impl Into<Bytes>) -> Result<Self, Vec<Fault>> {
        let bytes = bytes.into();
        let reading = Reading::root(&bytes)?;
        let digests = reading.parts().iter().enumerate();
        let needed = digests.map(|(position, digest)| (*digest, position)).collect();
        let parts = vec![None; reading.parts().len()];
        Ok(Self { bytes, reading, parts, needed, total_bytes: 0 })
    }

    /// The digests of the parts that are still needed.
    pub fn missing(&self) -> Vec<Digest> {
        let digests = self.reading.parts().iter().zip(&self.parts);
        digests.filter(|(_, part)| part.is_none()).map(|(digest, _)| *digest).collect()
    }

    /// Takes a part, whoever it came from: its digest tells whether it is the right one.
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
        self.place(digest, length, Source::New(bytes))
    }

    /// Takes the parts that another document has already, usually the one in force.
    pub fn reuse(&mut self, catalog: &Catalog) {
        for part in catalog.parts() {
            // A part that is not needed any more is no fault.
            self.place(part.digest, part.bytes.len(), Source::Known(part.clone())).ok();
        }
    }

    fn place(&mut self, digest: Digest, length: usize, source: Source) -> Result<(), Error> {
        let needed = self.needed.get(&digest).copied();
        let place = needed.and_then(|position| self.parts.get_mut(position));
        let place = place.filter(|place| place.is_none()).ok_or(Error::Unwanted(digest))?;
        if self.total_bytes + length > MAX_PARTS_BYTES {
            return Err(Error::TooLargeTogether);
        }
        self.total_bytes += length;
        *place = Some(source);
        Ok(())
    }

    /// Checks the whole document and indexes it.
    ///
    /// # Errors
    ///
    /// Every fault of the document and of its parts is returned. A missing part is a fault.
    pub fn finish(self) -> Result<Catalog, Vec<Fault>> {
        let mut reading = self.reading;
        let digests = reading.parts().to_vec();
        let mut parts = Vec::with_capacity(digests.len());
        for (index, (digest, source)) in (0..).zip(digests.into_iter().zip(self.parts)) {
            parts.extend(read(&mut reading, index, digest, source));
        }
        let document = reading.finish()?;
        let digest = Digest::of(&self.bytes);
        Ok(Catalog::new(document, digest, self.bytes, parts))
    }
}

/// Where a part comes from.
#[derive(Clone)]
enum Source {
    /// From outside: it has to be read.
    New(Bytes),
    /// From a checked document.
    Known(Part),
}

fn read(reading: &mut Reading, index: u32, digest: Digest, source: Option<Source>) -> Option<Part> {
    match source {
        Some(Source::New(bytes)) => {
            let lists = Arc::new(reading.part(index, &bytes)?);
            Some(Part { digest, bytes, lists })
        }
        Some(Source::Known(part)) => {
            reading.known_part(index, &part.lists);
            Some(part)
        }
        None => {
            reading.missing_part(index);
            None
        }
    }
}

/// A document and its parts, ready to be published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The document itself.
    pub bytes: Bytes,
    /// Its parts, each to be published under its digest and before the document.
    pub parts: Vec<Bytes>,
}

impl Published {
    /// Checks a document of any size and splits it into at most `count` parts.
    ///
    /// An element gets into the same part as long as `count` stays, so that a change of one
    /// workspace changes one part and the document itself. Without `count`, a power of two is
    /// chosen by the size of the document, so that growth seldom changes it.
    ///
    /// # Errors
    ///
    /// Every fault of the document is returned.
    pub fn split(bytes: &[u8], count: Option<usize>) -> Result<Self, Vec<Fault>> {
        let reading = Reading::unbounded(bytes)?;
        let document = reading.finish_without_parts()?;
        let count = count.unwrap_or_else(|| default_count(bytes.len()));
        Ok(split(document, count.max(1)))
    }
}

fn default_count(bytes: usize) -> usize {
    bytes.div_ceil(DEFAULT_PART_BYTES).next_power_of_two()
}

fn split(mut document: Document, count: usize) -> Published {
    let mut lists: Vec<Lists> = Vec::new();
    lists.resize_with(count, Lists::default);
    for workspace in document.workspaces.drain(..) {
        lists[position(workspace.name.as_str(), count)].workspaces.push(workspace);
    }
    for backend in document.backends.drain(..) {
        lists[position(backend.name.as_str(), count)].backends.push(backend);
    }
    lists.retain(|part| !part.workspaces.is_empty() || !part.backends.is_empty());
    let parts: Vec<_> = lists.iter().map(json).collect();
    let digests = parts.iter().map(|part| Digest::of(part)).collect();
    Published { bytes: json(&Root { document, parts: digests }), parts }
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

fn position(name: &str, count: usize) -> usize {
    (Digest::of(name.as_bytes()).short() % count as u64) as usize
}

fn json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).expect("the parts of a document are serializable").into()
}
