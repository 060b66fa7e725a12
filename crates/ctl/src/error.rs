//! Errors of the command.

use std::{io, path::PathBuf};

use hyssop_document::load::Fault;
use hyssop_operator::client;

use crate::exit::Exit;

/// Why the command failed.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(crate) enum Error {
    /// A file or directory cannot be read or written.
    #[display("{}: {error}", path.display())]
    #[from(skip)]
    File {
        /// The file.
        path: PathBuf,
        /// The reason.
        #[error(source)]
        error: io::Error,
    },
    /// A document has faults, so it cannot be compared or split.
    #[display("{}: {} faults, the first is {}", path.display(), faults.len(), faults[0])]
    #[from(skip)]
    Document {
        /// The file.
        path: PathBuf,
        /// Every fault.
        faults: Vec<Fault>,
    },
    /// No key was given.
    #[display("no key: give --key-file or set {}", crate::connection::KEY_VARIABLE)]
    #[from(skip)]
    NoKey,
    /// No address of a daemon was given.
    #[display("no daemon to ask: give --server or set {}", crate::connection::SERVERS_VARIABLE)]
    #[from(skip)]
    NoServer,
    /// An item in the environment variable is not an address.
    #[display("{}: {_0:?} is not an address", crate::connection::SERVERS_VARIABLE)]
    #[from(skip)]
    Server(#[error(not(source))] String),
    /// No daemon gave a valid response, or one refused the request.
    Client(client::Error),
    /// The output cannot be written.
    #[display("output: {_0}")]
    Output(io::Error),
}

impl Error {
    /// Whether the reader of the output has closed it, as `head` does in a pipe.
    pub(crate) fn is_closed_output(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// The exit code for the error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Document { .. } | Self::Client(client::Error::Refused { .. }) => Exit::Refused,
            _ => Exit::Failure,
        }
    }
}
