//! Why there is no answer.

use std::{fmt, net::SocketAddr};

use compact_str::CompactString;

use crate::error;

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// No server could be reached, and nothing was carried out.
    #[display("no server answered: {_0}")]
    Unreachable(#[error(not(source))] Failures),
    /// The order was sent, but the answer did not come. It may have been carried out.
    #[display("{server} got the order but did not answer, so it may be in force: {message}")]
    Unknown {
        /// The server.
        server: SocketAddr,
        /// What happened.
        message: CompactString,
    },
    /// A server refused the request.
    #[display("{server} refused: {error}")]
    Refused {
        /// The server.
        server: SocketAddr,
        /// The reason.
        #[error(not(source))]
        error: error::Error,
    },
    /// A server answered something that is no answer of the API.
    #[display("{server} gave no proper answer: {message}")]
    Malformed {
        /// The server.
        server: SocketAddr,
        /// What was wrong.
        message: CompactString,
    },
    /// The key cannot be sent in a header.
    #[display("the key has a character that no header may have")]
    Key,
}

/// What went wrong at each server that was tried.
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
