use serde::{Deserialize, Serialize};

/// The kind of the resources that drain halls; a hall is drained as long as one has its name.
pub const DRAINED_HALL_KIND: &str = "drained-hall";

/// A drained hall: its targets get no new work, what runs there ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainedHall {
    /// When it was drained, in milliseconds since 1970 on the clock of whoever drained it; 0 if that is not known.
    #[serde(default)]
    pub since_ms: u64,
    /// Why, for other operators.
    #[serde(default)]
    pub reason: String,
}
