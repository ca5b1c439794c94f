//! State of the system that tests may read.

use mastknot_core::job::JobId;
use mastknot_core::scheduler::{JobScheduler, SchedulerCounters};

use super::job_system::JobSystem;
use super::{JobAudit, JobViolation, StepRecord};

impl JobSystem {
    /// Returns the violations so far.
    pub fn violations(&self) -> Vec<JobViolation> {
        self.audit.finish(&self.unanswered)
    }

    /// Returns the record of what callers and targets observed.
    pub fn audit(&self) -> &JobAudit {
        &self.audit
    }

    /// Returns the number of submissions of a job.
    pub fn tries_of(&self, job: JobId) -> u32 {
        self.jobs.get(&job).map_or(0, |job| job.tries)
    }

    /// Returns the number of runs listed by targets that no entry claimed when their side reconciled them.
    pub fn runs_unclaimed(&self) -> u64 {
        self.runs_unclaimed
    }

    /// Returns the number of jobs and of runs that the cores still hold; both are zero when the system is
    /// idle.
    pub fn held_jobs_and_runs(&self) -> (usize, usize) {
        let entries = self.entries.iter().filter_map(|node| node.core.as_ref());
        let sides = self.sides.iter().filter_map(|node| node.core.as_ref());
        let runs = sides.map(|core| core.runs().len()).sum();
        (entries.map(JobScheduler::held_jobs).sum(), runs)
    }

    /// Returns the calls of the entries' cores.
    pub fn entry_steps(&self) -> StepRecord {
        self.entry_steps
    }

    /// Returns the calls of the sides' cores.
    pub fn side_steps(&self) -> StepRecord {
        self.side_steps
    }

    /// Returns the number of links that each running entry uses for starts.
    pub fn active_links(&self) -> Vec<usize> {
        let cores = self.entries.iter().filter_map(|node| node.core.as_ref());
        cores.map(JobScheduler::active_links).collect()
    }

    /// Returns the counters of each running entry since its start.
    pub fn counters(&self) -> Vec<SchedulerCounters> {
        let cores = self.entries.iter().filter_map(|node| node.core.as_ref());
        cores.map(|core| *core.counters()).collect()
    }

    /// Returns the state of an entry as text for the message of a failed test.
    pub fn describe_entry(&self, entry: usize) -> String {
        format!("{:#?}", self.entries[entry].core)
    }

    /// Returns the state of a side as text for the message of a failed test.
    pub fn describe_side(&self, side: usize) -> String {
        format!("{:#?}", self.sides[side].core)
    }

    /// Returns the processor capacity that each side considers free, in thousandths of a core.
    pub fn free_cpu(&self) -> Vec<u32> {
        let sides = self.sides.iter().filter_map(|node| node.core.as_ref());
        sides.map(|core| core.free_capacity().cpu_millis).collect()
    }

    /// Returns the number of times that entries have contained a kind of tasks, that is, restricted it to a
    /// part of the targets.
    pub fn kinds_contained(&self) -> u64 {
        let entries = self.entries.iter().filter_map(|node| node.core.as_ref());
        entries.map(|core| core.counters().kinds_contained).sum()
    }
}
