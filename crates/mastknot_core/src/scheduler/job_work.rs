//! Work and capacity that a job needs on targets.

use super::active_job::{ActiveJob, TaskState};
use crate::job::Capacity;

impl ActiveJob {
    /// Returns the work of the waiting tasks, in thousandths of a core times milliseconds.
    pub(crate) fn waiting_work(&self) -> u64 {
        let waiting = self.tasks.iter().enumerate();
        let waiting = waiting.filter(|(_, task)| task.state == TaskState::Waiting);
        waiting.map(|(index, _)| self.task_work(index)).sum()
    }

    /// Returns the processor capacity that the waiting tasks take, in thousandths of a core.
    pub(crate) fn waiting_cpu_millis(&self) -> u64 {
        let waiting = self.waiting_tasks().into_iter();
        waiting
            .map(|task| u64::from(self.step(task).required_capacity.cpu_millis))
            .sum()
    }

    /// Returns the expected work of a task, in thousandths of a core times milliseconds.
    pub(crate) fn task_work(&self, task: usize) -> u64 {
        let step = usize::from(self.tasks[task].name.step);
        let millis = self.expected[step].as_millis() as u64;
        u64::from(self.request.steps[step].required_capacity.cpu_millis) * millis
    }

    /// Returns the expected work of all tasks, in thousandths of a core times milliseconds.
    pub(crate) fn total_work(&self) -> u64 {
        (0..self.tasks.len()).map(|task| self.task_work(task)).sum()
    }

    /// Returns the capacity that the smallest of the waiting tasks takes.
    pub(crate) fn smallest_waiting(&self) -> Capacity {
        let waiting = self.waiting_tasks().into_iter();
        let capacities = waiting.map(|task| self.step(task).required_capacity);
        capacities
            .reduce(|one, other| one.smaller_of(&other))
            .unwrap_or_default()
    }
}
