//! Published records as daemons send them to each other.

use bytes::Bytes;
use compact_str::CompactString;
pub use hyssop_document::number::Revision;
use serde::{Deserialize, Serialize};

/// One published item. Its value stays encoded between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The item's key in the source.
    pub key: CompactString,
    /// The revision of the last change.
    pub revision: Revision,
    /// The value, or `None` if the item was deleted.
    pub value: Option<Bytes>,
}
