//! What a test may read of the system.

use mastknot_core::job::JobId;
use mastknot_core::scheduler::{JobScheduler, SchedulerCounters};

use super::job_system::JobSystem;
use super::{JobAudit, JobViolation, StepRecord};

impl JobSystem {
    /// Broken promises so far.
    pub fn violations(&self) -> Vec<JobViolation> {
        self.audit.finish(&self.unanswered)
    }

    /// What callers and targets saw.
    pub fn audit(&self) -> &JobAudit {
        &self.audit
    }

    /// How often the callers of a job have handed it in.
    pub fn tries_of(&self, job: JobId) -> u32 {
        self.jobs.get(&job).map_or(0, |job| job.tries)
    }

    /// How often a target listed a run that its side had called over.
    pub fn runs_unclaimed(&self) -> u64 {
        self.runs_unclaimed
    }

    /// Jobs and runs that the cores still hold; none when all is quiet.
    pub fn held_jobs_and_runs(&self) -> (usize, usize) {
        let entries = self.entries.iter().filter_map(|node| node.core.as_ref());
        let sides = self.sides.iter().filter_map(|node| node.core.as_ref());
        let runs = sides.map(|core| core.runs().len()).sum();
        (entries.map(JobScheduler::held_jobs).sum(), runs)
    }

    /// Calls of the entries' cores.
    pub fn entry_steps(&self) -> StepRecord {
        self.entry_steps
    }

    /// Calls of the sides' cores.
    pub fn side_steps(&self) -> StepRecord {
        self.side_steps
    }

    /// How many links each entry that runs uses for starts.
    pub fn active_links(&self) -> Vec<usize> {
        let cores = self.entries.iter().filter_map(|node| node.core.as_ref());
        cores.map(JobScheduler::active_links).collect()
    }

    /// What each entry that runs has done since its start.
    pub fn counters(&self) -> Vec<SchedulerCounters> {
        let cores = self.entries.iter().filter_map(|node| node.core.as_ref());
        cores.map(|core| *core.counters()).collect()
    }

    /// What an entry holds, for a failed test to show.
    pub fn describe_entry(&self, entry: usize) -> String {
        format!("{:#?}", self.entries[entry].core)
    }

    /// What a side holds, for a failed test to show.
    pub fn describe_side(&self, side: usize) -> String {
        format!("{:#?}", self.sides[side].core)
    }

    /// The room that each side believes to be free, in thousandths of a core.
    pub fn free_cpu(&self) -> Vec<u32> {
        let sides = self.sides.iter().filter_map(|node| node.core.as_ref());
        sides.map(|core| core.free_capacity().cpu_millis).collect()
    }

    /// How often entries have kept a kind of tasks to a part of the targets.
    pub fn kinds_contained(&self) -> u64 {
        let entries = self.entries.iter().filter_map(|node| node.core.as_ref());
        entries.map(|core| core.counters().kinds_contained).sum()
    }
}
