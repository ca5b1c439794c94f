//! Targets that differ in speed: long work goes to fast ones, the rest leaves them room for it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use crate::types::{Moment, NodeName};

/// A task that is expected to take this part of the time that is left for it is in time for certain.
const SAFE_PART: f64 = 0.6;
/// Added to the score of a target on which a task would take all the time that is left for it.
const LATE_PENALTY: f64 = 2_000.0;
/// Added to the score of a target that takes no time at all against the slowest: so much emptier it is kept.
const FAST_RESERVE: f64 = 400.0;

impl JobScheduler {
    /// A run has done its work: it tells how fast targets like its own are.
    pub(super) fn record_slowdown(
        &mut self,
        queue: &Arc<str>,
        side: &NodeName,
        guess: Duration,
        ran: Duration,
    ) {
        let view = self.sides.get(side);
        let Some(class) = view.and_then(SideView::class).cloned() else {
            return;
        };
        if self.class_slowdowns.note(queue, &class, guess, ran) {
            self.work_out_paces();
        }
    }

    pub(super) fn work_out_paces(&mut self) {
        let mut targets: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for class in self.sides.values().filter_map(SideView::class) {
            *targets.entry(Arc::clone(class)).or_default() += 1;
        }
        self.class_slowdowns.work_out(&targets);
    }

    /// How long work takes at a side against the middle of all targets.
    pub(super) fn slowdown_at(&self, side: &SideView) -> f64 {
        side.class()
            .map_or(1.0, |class| self.class_slowdowns.pace(class))
    }

    /// Added to the score of a side for a task: much where it would be late, a little where a faster target than it needs
    /// would be taken. Targets of equal speed are rated alike.
    pub(super) fn speed_penalty(
        &self,
        now: Moment,
        job: &ActiveJob,
        task: usize,
        side: &SideView,
    ) -> u32 {
        if self.class_slowdowns.are_alike() {
            return 0;
        }
        let pace = self.slowdown_at(side);
        let slowest = self.class_slowdowns.slowest();
        let expected = job.expected[usize::from(job.tasks[task].name.step)];
        let left = job.time_left(now, expected).as_secs_f64();
        let part = expected.as_secs_f64() * pace / left.max(f64::MIN_POSITIVE);
        let risk = ((part - SAFE_PART) / (1.0 - SAFE_PART)).clamp(0.0, 1.0);
        let reserve = FAST_RESERVE * (1.0 - pace / slowest);
        (LATE_PENALTY * risk * risk + reserve) as u32
    }
}

impl ActiveJob {
    /// The time that is left for work that is expected to take `expected`: until the objective, or until the job is late for
    /// good if the objective can't be reached; never longer than its callers wait.
    fn time_left(&self, now: Moment, expected: Duration) -> Duration {
        let end = match now + expected <= self.times.objective {
            true => self.times.objective,
            false => self.times.late,
        };
        end.min(self.deadline).since(now)
    }
}
