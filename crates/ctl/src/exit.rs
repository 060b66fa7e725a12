//! Exit codes.

use std::process::ExitCode;

/// How the command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// All went well.
    Success,
    /// A document has faults, or an order was refused.
    Refused,
    /// The command line is wrong, or no daemon gave a proper answer.
    Usage,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::from(0),
            Exit::Refused => Self::from(1),
            Exit::Usage => Self::from(2),
        }
    }
}
