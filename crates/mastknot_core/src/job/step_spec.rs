use std::sync::Arc;
use std::time::Duration;

use super::Capacity;

/// A step of a job: a number of tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Capacity that each task requires.
    pub required_capacity: Capacity,
    /// Estimated run time of one task.
    pub estimate: Duration,
    /// Indices of earlier steps that must complete before this one starts.
    pub after: Vec<u16>,
    /// Label that the target must have.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the data of the step.
    pub preferred_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one target; 0 for no limit.
    pub max_per_target: u16,
    /// Name of the program that the tasks run, if the caller gives one.
    pub image: Option<Arc<str>>,
}
