//! Exit codes.

use std::process::ExitCode;

/// The result of the command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded. Code 0.
    Success,
    /// A document has faults, a daemon refused the request, or nothing was found. Code 1.
    Refused,
    /// The command line is invalid, reading or writing failed, no daemon gave a valid response, or
    /// the outcome of an order is unknown. Code 2.
    Failure,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::from(0),
            Exit::Refused => Self::from(1),
            Exit::Failure => Self::from(2),
        }
    }
}
