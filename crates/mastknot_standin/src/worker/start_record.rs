use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// The starts that a worker really made, by task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRecord {
    /// How often each task was started.
    pub starts: HashMap<String, u32>,
}

impl StartRecord {
    /// Notes one start.
    pub fn note(&mut self, task: &str) {
        *self.starts.entry(task.to_owned()).or_default() += 1;
    }

    /// Adds another worker's record.
    pub fn merge(&mut self, other: &Self) {
        for (task, count) in &other.starts {
            *self.starts.entry(task.clone()).or_default() += count;
        }
    }

    /// All starts.
    pub fn total(&self) -> u64 {
        self.starts.values().map(|count| u64::from(*count)).sum()
    }

    /// The tasks that were started more than once.
    pub fn started_twice(&self) -> Vec<&str> {
        let twice = self.starts.iter().filter(|(_, count)| **count > 1);
        let mut tasks: Vec<&str> = twice.map(|(task, _)| task.as_str()).collect();
        tasks.sort_unstable();
        tasks
    }
}
