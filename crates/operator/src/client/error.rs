//! Errors of the client.

use std::{fmt, net::SocketAddr};

use compact_str::CompactString;

use crate::error;

/// The error of a call to the administration API.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// No server responded. An order did not reach any server; other requests may have.
    #[display("no server answered: {_0}")]
    Unreachable(#[error(not(source))] Failures),
    /// An order was sent, but no response arrived. The order may have been applied.
    #[display(
        "{server} received the order but sent no response, so the order may be in force: {message}"
    )]
    Unknown {
        /// The server that received the order.
        server: SocketAddr,
        /// The error of the connection or the server.
        message: CompactString,
    },
    /// A server responded with an error of the API.
    #[display("{server} refused: {error}")]
    Refused {
        /// The server that refused the request.
        server: SocketAddr,
        /// The error of the API.
        #[error(not(source))]
        error: error::Error,
    },
    /// A server sent a response that is not valid in the API.
    #[display("{server} sent an invalid response: {message}")]
    Malformed {
        /// The server that sent the response.
        server: SocketAddr,
        /// The status code, and the error of parsing the body if there was one.
        message: CompactString,
    },
    /// The key is not a valid header value.
    #[display("the key contains a character that is not allowed in a header")]
    InvalidKey,
}

/// The failed attempts: the address and the error of each server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failures(pub Vec<(SocketAddr, CompactString)>);

impl fmt::Display for Failures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (server, message)) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "; " };
            write!(f, "{separator}{server}: {message}")?;
        }
        Ok(())
    }
}
