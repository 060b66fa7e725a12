//! One attempt to have a request answered by one backend server.

use std::{str::FromStr, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use hyssop_document::{model::Kind, number::Tier};

/// The longest attempt id in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// The id of an attempt, echoed by the backend server on every part of its answer.
///
/// It has 1 to 64 bytes out of `a-z`, `A-Z`, `0-9` and `-`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, derive_more::Display)]
pub struct Id(CompactString);

impl Id {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A text that is no attempt id.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an attempt id has 1 to {MAX_ID_BYTES} letters, digits or hyphens")]
pub struct IdError;

impl FromStr for Id {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let allowed = text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        let fits = (1..=MAX_ID_BYTES).contains(&text.len());
        (allowed && fits).then(|| Self(CompactString::new(text))).ok_or(IdError)
    }
}

/// One attempt: what is sent to a backend server.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The id.
    pub id: Id,
    /// What the backend server serves.
    pub kind: Kind,
    /// The path with its query.
    pub path: CompactString,
    /// The content type of the body.
    pub content_type: Option<CompactString>,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// The tier, which becomes the priority at an engine.
    pub tier: Tier,
    /// The number of the last part received, where an earlier answer is resumed.
    pub resume_after: Option<u64>,
    /// The longest silence of the backend server.
    pub silence: Duration,
}

impl Attempt {
    /// Starts an attempt at a model engine or a plain service.
    pub fn builder(id: Id, kind: Kind, path: &str, body: Bytes) -> Builder {
        Builder(Self {
            id,
            kind,
            path: CompactString::new(path),
            content_type: Some(CompactString::const_new("application/json")),
            body,
            tier: Tier::LOWEST,
            resume_after: None,
            silence: Duration::from_secs(60),
        })
    }
}

/// Builds an [`Attempt`].
#[derive(Debug)]
pub struct Builder(Attempt);

impl Builder {
    /// Sets the content type of the body.
    pub fn content_type(mut self, content_type: Option<CompactString>) -> Self {
        self.0.content_type = content_type;
        self
    }

    /// Sets the tier.
    pub fn tier(mut self, tier: Tier) -> Self {
        self.0.tier = tier;
        self
    }

    /// Resumes an earlier answer after the part with this number.
    pub fn resume_after(mut self, number: Option<u64>) -> Self {
        self.0.resume_after = number;
        self
    }

    /// Sets the longest silence of the backend server.
    pub fn silence(mut self, silence: Duration) -> Self {
        self.0.silence = silence;
        self
    }

    /// The attempt.
    pub fn build(self) -> Attempt {
        self.0
    }
}
