use std::process::ExitCode;

/// The exit codes, as `--help` and docs/operators/command-line.md list them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done.
    Done = 0,
    /// An entry could not be reached or did not answer.
    Unreachable = 1,
    /// Bad settings or a resource that is not allowed.
    NotAllowed = 2,
    /// Another write came first.
    Conflict = 3,
    /// No such resource, or nothing is known of the key.
    NotFound = 4,
    /// The wait ended before the condition held.
    NotYet = 5,
    /// The store has not said whether the write took effect.
    Undecided = 6,
    /// The version can't be resumed from: list again.
    TooOld = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
