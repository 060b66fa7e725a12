//! Questions that daemons ask each other about things this package knows nothing of.

use std::fmt::Debug;

use bytes::Bytes;
use futures::future::{self, BoxFuture};
use hyssop_document::name;

/// Answers the questions of peers about this daemon.
pub trait QueryHandler: Debug + Send + Sync {
    /// The answer to a topic. An unknown topic has an empty answer.
    fn respond(&self, topic: &str) -> BoxFuture<'static, Bytes>;
}

/// Answers nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoTopics;

impl QueryHandler for NoTopics {
    fn respond(&self, _topic: &str) -> BoxFuture<'static, Bytes> {
        Box::pin(future::ready(Bytes::new()))
    }
}

/// The answers of all daemons that could be reached.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Responses {
    /// The answers, in the order of the hosts.
    pub responses: Vec<(name::Host, Bytes)>,
    /// The hosts that are listed or were alive, and did not answer.
    pub not_reached: Vec<name::Host>,
}
