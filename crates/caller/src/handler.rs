//! The interface between the HTTP server and the handler of its requests.

use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::{Response, http::request::Parts};

use crate::{body::Body, outcome::Outcome};

/// Handles the requests that a server has read.
pub trait Handler: Send + Sync {
    /// Decides by the head of a request whether the server reads its body.
    ///
    /// # Errors
    ///
    /// Fails with the outcome to refuse the request with.
    fn admit(&self, head: &Parts) -> Result<(), Outcome>;

    /// Responds to a request that was read completely.
    fn serve(&self, head: Parts, body: Bytes) -> BoxFuture<'_, Response<Body>>;

    /// Refuses a request whose body was not read completely.
    ///
    /// The handler decides first whether the response may claim that no request with the same
    /// idempotency key has run or will run.
    fn refuse(&self, head: &Parts, outcome: Outcome) -> Response<Body>;
}

/// The response header with the outcome: `answered`, `refused`, `unknown` or `failed`.
pub const REQUEST_OUTCOME: &str = "request-outcome";
