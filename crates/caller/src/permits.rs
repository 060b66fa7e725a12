//! Permits, as the home asks for them.

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
    /// The class.
    pub class: name::Class,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The pool.
    pub pool: name::Pool,
    /// The time left until the whole answer is due.
    pub remaining: Duration,
    /// The estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// The longest answer that the caller asked for.
    pub max_output: Option<Tokens>,
    /// A hash of the beginning of the prompt.
    pub prefix: Option<u64>,
    /// Whether the request may run only where no other suspect runs.
    pub suspect: bool,
    /// The backend servers that must not get the request.
    pub exclude: Vec<name::Backend>,
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Granted(Permit),
    /// The request may not run.
    Refused(Refusal),
    /// No scheduler decides for the group now.
    NoScheduler {
        /// The time after which a new try makes sense.
        retry_after: Duration,
    },
}

/// A permit that must not be used any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the permit must not be used any more")]
pub struct Stale;

/// Where permits come from.
pub trait Permits: Send + Sync {
    /// Asks for a permit and waits for it. Dropping the future takes the request out of the queue.
    fn request(&self, request: Request) -> BoxFuture<'_, Decision>;

    /// Checks right before the bytes go out that a permit still holds.
    ///
    /// # Errors
    ///
    /// Fails if the permit must not be used any more.
    fn confirm(&self, permit: &Permit) -> Result<(), Stale>;

    /// Gives a permit back.
    fn release(&self, release: Release);

    /// Reports the tokens that have arrived so far.
    fn progress(&self, id: Id, tokens: Tokens);
}
