//! One attempt to run a request at one backend server.

use std::{str::FromStr, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use hyssop_document::{model::Kind, number::Tier};

/// The maximum length of an attempt id.
pub const MAX_ID_BYTES: usize = 64;

/// The id of an attempt, which the backend server repeats in every chunk of its response.
///
/// 1 to 64 bytes from `a-z`, `A-Z`, `0-9` and `-`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, derive_more::Display)]
pub struct Id(CompactString);

impl Id {
    /// The id as it is sent in headers.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The error for a text that is not an attempt id.
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

/// The request of one attempt and the options for sending it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Sent in the header `x-request-id`.
    pub id: Id,
    /// Whether the backend server is a model engine or a plain service.
    pub kind: Kind,
    /// The path, with the query if there is one.
    pub path: CompactString,
    /// The content type of the body, `application/json` by default.
    pub content_type: Option<CompactString>,
    /// The body as the caller sent it. Engines get it with streaming options added.
    pub body: Bytes,
    /// The tier, sent to an engine as the priority of the request.
    pub tier: Tier,
    /// The number of the last chunk received, if an earlier response is resumed.
    pub resume_after: Option<u64>,
    /// The maximum wait for the response head, and for each read of the body.
    pub read_timeout: Duration,
}

impl Attempt {
    /// Starts an attempt with a JSON body, the lowest tier and a read timeout of 60 s.
    pub fn builder(id: Id, kind: Kind, path: &str, body: Bytes) -> Builder {
        Builder(Self {
            id,
            kind,
            path: CompactString::new(path),
            content_type: Some(CompactString::const_new("application/json")),
            body,
            tier: Tier::LOWEST,
            resume_after: None,
            read_timeout: Duration::from_secs(60),
        })
    }
}

/// Builds an [`Attempt`].
#[derive(Debug)]
pub struct Builder(Attempt);

impl Builder {
    /// Sets or removes the content type of the body.
    pub fn content_type(mut self, content_type: Option<CompactString>) -> Self {
        self.0.content_type = content_type;
        self
    }

    /// Sets the tier, which an engine receives as the priority.
    pub fn tier(mut self, tier: Tier) -> Self {
        self.0.tier = tier;
        self
    }

    /// Resumes an earlier response after the chunk with this number.
    pub fn resume_after(mut self, number: Option<u64>) -> Self {
        self.0.resume_after = number;
        self
    }

    /// Sets the maximum wait for the response head, and for each read of the body.
    pub fn read_timeout(mut self, read_timeout: Duration) -> Self {
        self.0.read_timeout = read_timeout;
        self
    }

    /// Returns the finished attempt.
    pub fn build(self) -> Attempt {
        self.0
    }
}
