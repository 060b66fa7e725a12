//! Published records as they travel between daemons.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The position of a change in the history of the published state.
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
pub struct Revision(pub u64);

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
