use bincode::{Decode, Encode};

use super::{RunId, TargetId};

/// A run that was under way when its target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashedRun {
    /// The run.
    pub run: RunId,
    /// How long it had run, in milliseconds, as far as its side knows.
    pub ran_ms: u32,
}

/// A life of a target has ended by a crash: all that ran there shares it, though one run may have brought it about.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TargetCrash {
    /// The life that has ended.
    pub target: TargetId,
    /// What ran there, the youngest first.
    pub runs: Vec<CrashedRun>,
}
