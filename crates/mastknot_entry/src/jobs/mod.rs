//! Input and output of an entry that places the tasks of jobs on sides: links, timers, callers.

mod job_actor;
mod job_links;
mod job_logs;
mod job_metrics;
mod job_node;

pub use job_actor::JobReport;
pub use job_node::{JobNode, JobParts, Submission};
