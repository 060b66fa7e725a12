//! Queries between daemons on topics that are opaque to this crate.

use std::fmt::Debug;

use bytes::Bytes;
use futures::future::{self, BoxFuture};
use hyssop_document::name;

/// Responds to queries of peers.
pub trait QueryHandler: Debug + Send + Sync {
    /// The response for a topic, empty if the topic is unknown.
    fn respond(&self, topic: &str) -> BoxFuture<'static, Bytes>;
}

/// Responds to every topic with an empty response.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoTopics;

impl QueryHandler for NoTopics {
    fn respond(&self, _topic: &str) -> BoxFuture<'static, Bytes> {
        Box::pin(future::ready(Bytes::new()))
    }
}

/// The responses of all daemons that could be reached.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Responses {
    /// The responses, sorted by host.
    pub responses: Vec<(name::Host, Bytes)>,
    /// The listed or live hosts that did not respond.
    pub not_reached: Vec<name::Host>,
}
