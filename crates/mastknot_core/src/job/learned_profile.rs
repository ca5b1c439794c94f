use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};

use super::TaskKind;
use crate::types::{NodeName, WallTime};

/// Maximum number of runs that a prior from another process counts as, so that the same number of
/// local runs outweighs it.
const MAX_PRIOR_RUNS: u32 = 32;
/// Time after which a prior counts half. The work in a queue changes with its programs, from day to
/// day.
const HALF_LIFE: Duration = Duration::from_secs(24 * 60 * 60);
/// Age of a profile up to which its suspects are used. Processes that were lost have restarted by
/// then, and a kind that is healthy again must not lose targets because of earlier crashes.
const SUSPECT_MAX_AGE: Duration = Duration::from_secs(10 * 60);

/// Values that entries have learned from runs. They are stored on the platform, so that they
/// outlast the processes.
///
/// The values are priors only: a process that reads them continues to learn from its own runs, and
/// ages them by the time since they were written.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct LearnedProfile {
    /// Time at which the profile was written, in Unix milliseconds.
    pub written_ms: u64,
    /// Observed slowdown of each queue on each class of targets.
    pub slowdowns: Vec<LearnedSlowdown>,
    /// Observed run times of the steps of each queue.
    pub run_times: Vec<LearnedRunTimes>,
    /// Kinds of tasks that crash the targets on which they start.
    pub suspects: Vec<LearnedSuspect>,
}

/// Observed slowdown of the runs of one queue on one class of targets.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LearnedSlowdown {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Name of the class of targets.
    pub class: Arc<str>,
    /// Number of runs that the mean is based on.
    pub runs: u32,
    /// Mean logarithm of the ratio of run times to the callers' estimates.
    pub log_ratio: f64,
}

/// Observed run times of the steps of one queue, relative to the callers' estimates.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LearnedRunTimes {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Number of steps that the values are based on.
    pub steps: u32,
    /// Mean logarithm of the estimates, in seconds.
    pub log_estimate: f64,
    /// Mean logarithm of the run times, in seconds.
    pub log_run_time: f64,
    /// Variance of the logarithms of the estimates.
    pub estimate_variance: f64,
    /// Covariance of the logarithms of estimates and run times.
    pub covariance: f64,
}

/// A kind of tasks that crashes the targets on which it starts.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LearnedSuspect {
    /// The kind.
    pub kind: TaskKind,
    /// Run time after which targets have crashed under tasks of the kind, in milliseconds.
    pub crashed_after_ms: u32,
    /// Share of the targets on which the kind may run, in thousandths.
    pub share_per_mille: u16,
    /// First sides whose targets the kind has crashed, in the order of the crashes.
    pub crashed_sides: Vec<NodeName>,
}

impl LearnedProfile {
    /// Returns the number of priors in the profile.
    pub fn prior_count(&self) -> usize {
        self.slowdowns.len() + self.run_times.len() + self.suspects.len()
    }

    /// Returns the time since the profile was written; zero if the writer's clock is ahead.
    pub fn age(&self, wall: WallTime) -> Duration {
        Duration::from_millis(wall.as_millis().saturating_sub(self.written_ms))
    }

    /// Returns the profile as another process uses it: a prior counts as at most `MAX_PRIOR_RUNS`
    /// runs, and less the older it is.
    pub fn aged(&self, wall: WallTime) -> Self {
        let age = self.age(wall);
        let halvings = (age.as_secs() / HALF_LIFE.as_secs()) as u32;
        let counted = |runs: u32| runs.min(MAX_PRIOR_RUNS).checked_shr(halvings).unwrap_or(0);
        let mut aged = self.clone();
        for slowdown in &mut aged.slowdowns {
            slowdown.runs = counted(slowdown.runs);
        }
        for times in &mut aged.run_times {
            times.steps = counted(times.steps);
        }
        aged.slowdowns.retain(|slowdown| slowdown.runs > 0);
        aged.run_times.retain(|times| times.steps > 0);
        if age > SUSPECT_MAX_AGE {
            aged.suspects.clear();
        }
        aged
    }
}
