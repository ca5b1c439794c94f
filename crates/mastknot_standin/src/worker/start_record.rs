use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Record of the task starts that a worker actually made.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRecord {
    /// Number of starts of each task.
    pub starts: HashMap<String, u32>,
}

impl StartRecord {
    /// Records one start of a task.
    pub fn record_start(&mut self, task: &str) {
        *self.starts.entry(task.to_owned()).or_default() += 1;
    }

    /// Adds the starts of another record.
    pub fn merge(&mut self, other: &Self) {
        for (task, count) in &other.starts {
            *self.starts.entry(task.clone()).or_default() += count;
        }
    }

    /// Returns the number of all starts.
    pub fn total(&self) -> u64 {
        self.starts.values().map(|count| u64::from(*count)).sum()
    }

    /// Returns the tasks that were started more than once, sorted by name.
    pub fn started_twice(&self) -> Vec<&str> {
        let twice = self.starts.iter().filter(|(_, count)| **count > 1);
        let mut tasks: Vec<&str> = twice.map(|(task, _)| task.as_str()).collect();
        tasks.sort_unstable();
        tasks
    }
}
