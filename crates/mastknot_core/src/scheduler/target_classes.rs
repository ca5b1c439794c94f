//! Placement on targets of different speeds: long tasks go to fast targets, and other tasks leave capacity there for
//! them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use crate::types::{Moment, NodeName};

/// Share of its remaining time that a task may be expected to take without any risk of being late.
const SAFE_SHARE: f64 = 0.6;
/// Added to the score of a target on which a task would take all of its remaining time.
const LATE_PENALTY: f64 = 2_000.0;
/// Added to the score of a target that would take no time at all. Faster targets get a larger part of it and are
/// therefore kept emptier.
const FAST_RESERVE: f64 = 400.0;

impl JobScheduler {
    /// Records a completed run, which shows the speed of targets of the same class.
    pub(super) fn record_slowdown(
        &mut self,
        queue: &Arc<str>,
        side: &NodeName,
        estimate: Duration,
        run_time: Duration,
    ) {
        let view = self.sides.get(side);
        let Some(class) = view.and_then(SideView::class).cloned() else {
            return;
        };
        if self
            .class_slowdowns
            .record(queue, &class, estimate, run_time)
        {
            self.update_slowdowns();
        }
    }

    pub(super) fn update_slowdowns(&mut self) {
        let mut targets: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for class in self.sides.values().filter_map(SideView::class) {
            *targets.entry(Arc::clone(class)).or_default() += 1;
        }
        self.class_slowdowns.update(&targets);
    }

    /// Returns the time that work takes at a side relative to the mean of all targets.
    pub(super) fn slowdown_at(&self, side: &SideView) -> f64 {
        side.class()
            .map_or(1.0, |class| self.class_slowdowns.slowdown(class))
    }

    /// Returns the penalty that is added to the score of a side for a task: a large one if the task risks being late
    /// there, and a small one if a slower target would do. It is 0 if all targets are equally fast.
    pub(super) fn slowdown_penalty(
        &self,
        now: Moment,
        job: &ActiveJob,
        task: usize,
        side: &SideView,
    ) -> u32 {
        if self.class_slowdowns.is_uniform() {
            return 0;
        }
        let slowdown = self.slowdown_at(side);
        let max_slowdown = self.class_slowdowns.max_slowdown();
        let expected = job.expected[usize::from(job.tasks[task].name.step)];
        let left = job.time_left(now, expected).as_secs_f64();
        let share = expected.as_secs_f64() * slowdown / left.max(f64::MIN_POSITIVE);
        let risk = ((share - SAFE_SHARE) / (1.0 - SAFE_SHARE)).clamp(0.0, 1.0);
        let reserve = FAST_RESERVE * (1.0 - slowdown / max_slowdown);
        (LATE_PENALTY * risk * risk + reserve) as u32
    }
}

impl ActiveJob {
    /// Returns the time that is left for work that is expected to take `expected`: until the latency objective if it
    /// can be reached, otherwise until the time from which a late answer no longer counts. It never exceeds the job's
    /// deadline.
    fn time_left(&self, now: Moment, expected: Duration) -> Duration {
        let end = match now + expected <= self.times.objective {
            true => self.times.objective,
            false => self.times.late,
        };
        end.min(self.deadline).since(now)
    }
}
