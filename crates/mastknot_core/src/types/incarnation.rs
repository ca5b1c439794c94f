use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// One run of a process: a restart has a higher incarnation than the run before.
///
/// The shell takes it from the wall clock at the start (milliseconds).
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Encode,
    Decode,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
