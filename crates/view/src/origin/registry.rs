//! The streams that a daemon knows, with the builds that began them.

use std::{
    hash::{BuildHasher as _, Hasher as _},
    num::ParseIntError,
    str::FromStr,
    time::Instant,
};

use hyssop_document::{build::Build, collections::Map};
use serde::{Deserialize, Serialize};

/// The maximum number of streams that a daemon knows.
const MAX_STREAMS: usize = 16_384;
/// Identical on all daemons, since they exchange the ids.
const STREAM_ID_SEED: u64 = 0x6f72_6967_696e;

/// Identifies a stream among daemons: a hash of the id of the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display("{_0:016x}")]
pub struct StreamId(pub(super) u64);

impl StreamId {
    /// The id of the stream whose first event the request `request_id` brought.
    pub fn of_request(request_id: &str) -> Self {
        let mut hasher = foldhash::quality::FixedState::with_seed(STREAM_ID_SEED).build_hasher();
        hasher.write(request_id.as_bytes());
        Self(hasher.finish())
    }
}

impl FromStr for StreamId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

#[derive(Debug)]
struct Origin {
    build: Build,
    expires_at: Instant,
}

/// The builds of a bounded number of streams.
#[derive(Debug, Default)]
pub struct Registry {
    origins: Map<StreamId, Origin>,
}

impl Registry {
    /// Records that `build` began a stream. The first build that is recorded for a stream stays, and
    /// the latest expiry.
    pub fn record(&mut self, stream: StreamId, build: Build, expires_at: Instant, now: Instant) {
        if let Some(origin) = self.origins.get_mut(&stream).filter(|o| o.expires_at > now) {
            origin.expires_at = origin.expires_at.max(expires_at);
            return;
        }
        if self.origins.len() >= MAX_STREAMS {
            self.make_room(now);
        }
        self.origins.insert(stream, Origin { build, expires_at });
    }

    /// The build that began a stream, and until when the stream may be taken up.
    pub fn find(&self, stream: StreamId, now: Instant) -> Option<(Build, Instant)> {
        let origin = self.origins.get(&stream).filter(|origin| origin.expires_at > now)?;
        Some((origin.build.clone(), origin.expires_at))
    }

    /// The number of streams, expired ones included.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Removes the streams that have expired, or else the half that expires first.
    fn make_room(&mut self, now: Instant) {
        self.origins.retain(|_, origin| origin.expires_at > now);
        if self.origins.len() >= MAX_STREAMS {
            let mut expiries: Vec<Instant> =
                self.origins.values().map(|origin| origin.expires_at).collect();
            let (_, &mut median, _) = expiries.select_nth_unstable(MAX_STREAMS / 2);
            self.origins.retain(|_, origin| origin.expires_at > median);
            tracing::warn!(event = "streams_forgotten", kept = self.origins.len());
        }
    }
}
