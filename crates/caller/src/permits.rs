//! Permits, as the home requests them.

use std::time::Duration;

use futures::future::BoxFuture;
use hyssop_document::{name, number::Tokens};
use hyssop_policy::{
    decision::Refusal,
    permit::{Id, Permit, Release},
};

/// A request for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The request class.
    pub class: name::Class,
    /// The workspace of the caller.
    pub workspace: name::Workspace,
    /// The pool of backend servers.
    pub pool: name::Pool,
    /// The time left until the complete response is due.
    pub remaining: Duration,
    /// The estimated length of the prompt. 0 for a plain service.
    pub prompt_tokens: Tokens,
    /// The maximum length of the output, if the caller set one.
    pub max_output: Option<Tokens>,
    /// A hash of the first bytes of the prompt.
    pub prefix: Option<u64>,
    /// Whether the request is a suspect and must not share a backend server with another one.
    pub suspect: bool,
    /// The backend servers that must not be chosen.
    pub exclude: Vec<name::Backend>,
}

/// The decision on a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may run at the permit's backend server.
    Granted(Permit),
    /// A scheduler refused the request.
    Refused(Refusal),
    /// No scheduler is available for the pool.
    NoScheduler {
        /// The time after which to try again.
        retry_after: Duration,
    },
}

/// The error for a permit that is no longer valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the permit must not be used any more")]
pub struct Stale;

/// Requests permits from the schedulers.
pub trait Permits: Send + Sync {
    /// Requests a permit and waits for the decision. Dropping the future removes the request from
    /// the queue.
    fn request(&self, request: Request) -> BoxFuture<'_, Decision>;

    /// Checks immediately before dispatch that a permit is still valid.
    ///
    /// # Errors
    ///
    /// Fails if the permit is no longer valid.
    fn check(&self, permit: &Permit) -> Result<(), Stale>;

    /// Returns a permit to its scheduler.
    fn release(&self, release: Release);

    /// Reports the number of tokens received so far.
    fn record_progress(&self, id: Id, tokens: Tokens);
}
