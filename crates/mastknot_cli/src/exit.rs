use std::process::ExitCode;

/// Exit codes, as `--help` and docs/operators/command-line.md list them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// An entry could not be reached or did not answer, or a step of the demo failed.
    Unreachable = 1,
    /// The settings, the resource or a file is invalid or unreadable.
    NotAllowed = 2,
    /// Another write changed the resource first.
    Conflict = 3,
    /// The resource does not exist, or no decision or log line about the key or id was found.
    NotFound = 4,
    /// The timeout of `wait` passed before the configuration was in force.
    NotYet = 5,
    /// The outcome of the write is unknown, because the store did not answer.
    Undecided = 6,
    /// The version is too old to resume from; the client must list the resources again.
    TooOld = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
