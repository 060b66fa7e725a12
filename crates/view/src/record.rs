//! Published records as daemons send them to each other.

use bytes::Bytes;
use compact_str::CompactString;
pub use hyssop_document::number::Revision;
use serde::{Deserialize, Serialize};

/// Counts how often the source was restored from an older copy. Revisions go back with each restore,
/// so they order changes of one era only. 0 if the source does not count its eras.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// A position in the history of the source. All positions of an era are after those of the eras
/// before it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision within the era.
    pub revision: Revision,
}

impl std::fmt::Display for Position {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.era {
            Era(0) => write!(out, "{}", self.revision),
            era => write!(out, "{era}/{}", self.revision),
        }
    }
}

/// One published item. Its value stays encoded between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The item's key in the source.
    pub key: CompactString,
    /// The position of the last change.
    pub position: Position,
    /// The value, or `None` if the item was deleted.
    pub value: Option<Bytes>,
}

/// A record whose value is not sent along, as it is large. It is fetched separately, so that other
/// records do not wait for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reference {
    /// The item's key in the source.
    pub key: CompactString,
    /// The position of the last change.
    pub position: Position,
}

/// What a daemon sends to a peer that lacks some of its records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The records after the peer's position, deletions included and large ones left out.
    pub records: Vec<Record>,
    /// The large records after the peer's position. The daemon itself may lack their values.
    pub references: Vec<Reference>,
    /// All keys, if the daemon has read the source in full or dropped a deletion after the peer's
    /// position: it lacks records of deletions.
    pub listing: Option<Listing>,
}

/// The keys that exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The position of the read, or of the deletion. Keys that are missing were deleted by then.
    pub position: Position,
    /// The keys, in any order.
    pub keys: Vec<CompactString>,
}
