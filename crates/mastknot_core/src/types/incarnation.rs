use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Number of one run of a process; each restart has a higher one.
///
/// The process takes it from the wall clock at its start, in milliseconds.
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
