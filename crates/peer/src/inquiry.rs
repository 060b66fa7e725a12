//! Questions that daemons ask each other about things this package knows nothing of.

use std::fmt::Debug;

use bytes::Bytes;
use futures::future::{self, BoxFuture};
use hyssop_document::name;

/// Answers the questions of peers about this daemon.
pub trait Inquiry: Debug + Send + Sync {
    /// The answer to a topic. An unknown topic has an empty answer.
    fn answer(&self, topic: &str) -> BoxFuture<'static, Bytes>;
}

/// Answers nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Silent;

impl Inquiry for Silent {
    fn answer(&self, _topic: &str) -> BoxFuture<'static, Bytes> {
        Box::pin(future::ready(Bytes::new()))
    }
}

/// The answers of all daemons that could be reached.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Replies {
    /// The answers, in the order of the hosts.
    pub answers: Vec<(name::Host, Bytes)>,
    /// The hosts that are listed or were alive, and did not answer.
    pub not_reached: Vec<name::Host>,
}
