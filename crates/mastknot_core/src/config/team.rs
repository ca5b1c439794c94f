use serde::{Deserialize, Serialize};

/// A team as the operators define it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Number of tasks that the team may run at the same time while others wait.
    pub quota: u32,
    /// Weight of the team's share against other teams that wait.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Hall whose entries and targets the team prefers.
    #[serde(default)]
    pub home_hall: Option<String>,
}

fn default_weight() -> u32 {
    1
}

impl Default for Team {
    fn default() -> Self {
        Self {
            quota: u32::MAX,
            weight: default_weight(),
            home_hall: None,
        }
    }
}
