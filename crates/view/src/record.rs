//! Published records as they travel between daemons.

use bytes::Bytes;
use compact_str::CompactString;
pub use hyssop_document::number::Revision;
use serde::{Deserialize, Serialize};

/// One published item, opaque to daemons on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: CompactString,
    /// The revision of the last change.
    pub revision: Revision,
    /// The value, or `None` if the item was deleted.
    pub value: Option<Bytes>,
}
