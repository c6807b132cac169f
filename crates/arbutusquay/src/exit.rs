//! Exit codes, which all commands share.

use std::process::ExitCode;

/// Result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Refused by the system: a conflict, or not accepted.
    Refused,
    /// Wrong usage, or an invalid document or settings file.
    Usage,
    /// The platform wasn't reached, or the outcome isn't known.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
        })
    }
}
