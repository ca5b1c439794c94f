use serde::{Deserialize, Serialize};

/// Kind of the resources that drain halls. A hall is drained while a resource of this kind with its
/// name exists.
pub const DRAINED_HALL_KIND: &str = "drained-hall";

/// A drained hall: its targets get no new work, and running work continues to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainedHall {
    /// Time at which the hall was drained, in milliseconds since 1970 on the clock of the process
    /// that drained it; 0 if unknown.
    #[serde(default)]
    pub since_ms: u64,
    /// Reason for the drain, shown to other operators.
    #[serde(default)]
    pub reason: String,
}
