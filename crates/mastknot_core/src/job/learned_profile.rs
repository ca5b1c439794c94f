use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};

use super::TaskKind;
use crate::types::{NodeName, WallTime};

/// The most runs that a belief of another process counts as: so many fresh ones outweigh it.
const MOST_RUNS: u32 = 32;
/// After each such time a belief counts half: what runs in a queue changes with its programs, from day to day.
const HALF_LIFE: Duration = Duration::from_secs(24 * 60 * 60);
/// For so long after it was written a profile's suspects are believed: processes that were lost are back by then, and a
/// kind that is sound must not lose targets for what it once did.
const SUSPECTS_BELIEVED: Duration = Duration::from_secs(10 * 60);

/// What entries have learned from runs: kept on the platform, so that it outlasts them.
///
/// A belief only: whoever reads it goes on learning from there, and ages it by the time since it was written.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct LearnedProfile {
    /// When it was written, in Unix milliseconds.
    pub written_ms: u64,
    /// How the runs of each queue on each class of targets have gone.
    pub slowdowns: Vec<LearnedSlowdown>,
    /// How long the steps of each queue have taken.
    pub run_times: Vec<LearnedRunTimes>,
    /// Kinds of tasks that crash the targets on which they start.
    pub suspects: Vec<LearnedSuspect>,
}

/// How the runs of one queue on one class of targets have gone.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LearnedSlowdown {
    /// The queue.
    pub queue: Arc<str>,
    /// The class.
    pub class: Arc<str>,
    /// How many runs that tells of.
    pub runs: u32,
    /// The mean logarithm of their times against their callers' guesses.
    pub log_ratio: f64,
}

/// How long the steps of one queue have taken, against their callers' guesses.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LearnedRunTimes {
    /// The queue.
    pub queue: Arc<str>,
    /// How many steps that tells of.
    pub steps: u32,
    /// The mean logarithm of the guesses, in seconds.
    pub log_estimate: f64,
    /// The mean logarithm of the times, in seconds.
    pub log_run_time: f64,
    /// The variance of the logarithms of the guesses.
    pub estimate_variance: f64,
    /// The covariance of the logarithms of guesses and times.
    pub covariance: f64,
}

/// A kind of tasks that crashes the targets on which it starts.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LearnedSuspect {
    /// The kind.
    pub kind: TaskKind,
    /// After what time targets have crashed under its tasks, in milliseconds.
    pub crashed_after_ms: u32,
    /// The part of the targets that it has, in thousandths.
    pub share_per_mille: u16,
    /// The first sides whose targets it has crashed, in the order of the crashes.
    pub crashed_sides: Vec<NodeName>,
}

impl LearnedProfile {
    /// How many beliefs it has.
    pub fn prior_count(&self) -> usize {
        self.slowdowns.len() + self.run_times.len() + self.suspects.len()
    }

    /// How long ago it was written; zero if the writer's clock is ahead.
    pub fn age(&self, wall: WallTime) -> Duration {
        Duration::from_millis(wall.as_millis().saturating_sub(self.written_ms))
    }

    /// What another process makes of it: a belief counts as few runs, and less the older it is.
    pub fn aged(&self, wall: WallTime) -> Self {
        let age = self.age(wall);
        let halvings = (age.as_secs() / HALF_LIFE.as_secs()) as u32;
        let counted = |runs: u32| runs.min(MOST_RUNS).checked_shr(halvings).unwrap_or(0);
        let mut aged = self.clone();
        for pace in &mut aged.slowdowns {
            pace.runs = counted(pace.runs);
        }
        for times in &mut aged.run_times {
            times.steps = counted(times.steps);
        }
        aged.slowdowns.retain(|pace| pace.runs > 0);
        aged.run_times.retain(|times| times.steps > 0);
        if age > SUSPECTS_BELIEVED {
            aged.suspects.clear();
        }
        aged
    }
}
