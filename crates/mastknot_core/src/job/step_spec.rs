use std::sync::Arc;
use std::time::Duration;

use super::Capacity;

/// A step of a job: tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u16,
    /// What each takes.
    pub required_capacity: Capacity,
    /// A guess of a task's time.
    pub estimate: Duration,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// A label that the target must have.
    pub required_label: Option<Arc<str>>,
    /// The rack where its data lies.
    pub preferred_rack: Option<Arc<str>>,
    /// How many of its tasks one target may hold; 0 for any number.
    pub max_per_target: u16,
    /// What its tasks run, if the caller names it.
    pub image: Option<Arc<str>>,
}
