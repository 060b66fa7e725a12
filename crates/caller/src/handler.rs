//! The border between the server and what answers its requests.

use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::{Response, http::request::Parts};

use crate::{body::Body, outcome::Outcome};

/// What answers the requests of a server.
pub trait Handler: Send + Sync {
    /// Decides by the head of a request whether its body is read at all.
    ///
    /// # Errors
    ///
    /// Fails with the outcome of a request that nobody would answer.
    fn admit(&self, head: &Parts) -> Result<(), Outcome>;

    /// Answers a request that was read whole.
    fn serve(&self, head: Parts, body: Bytes) -> BoxFuture<'_, Response<Body>>;

    /// Refuses a request of which only the head was read.
    ///
    /// The handler settles what may be said about its key before the refusal goes out.
    fn refuse(&self, head: &Parts, outcome: Outcome) -> Response<Body>;
}

/// The header of a response that names the outcome: `answered`, `refused`, `unknown` or `failed`.
pub const REQUEST_OUTCOME: &str = "request-outcome";
