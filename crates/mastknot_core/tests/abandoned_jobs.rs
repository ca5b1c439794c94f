//! Decision that an entry records when the caller of a job leaves.

mod common;

use common::entry::*;
use mastknot_core::scheduler::{CallerId, SchedulerDecision, SchedulerEffect, SchedulerEvent};

/// Returns the age of the abandoned job in milliseconds and whether any of its tasks had started.
fn abandoned(effects: &[SchedulerEffect]) -> Option<(u64, bool)> {
    effects.iter().find_map(|effect| match effect {
        SchedulerEffect::Decided(SchedulerDecision::Abandoned {
            after_ms,
            has_begun,
            ..
        }) => Some((*after_ms, *has_begun)),
        _ => None,
    })
}

#[test]
fn an_abandoned_job_is_reported_with_its_age_and_whether_it_had_begun() {
    for (free, has_begun) in [(16_000, true), (0, false)] {
        let mut entry = Entry::with_sides(&[free]);
        entry.submit(10, 1, job(1, 1, 900), 9_000);
        let caller = CallerId(1);
        let abandon = SchedulerEvent::Abandon { caller };
        let effects = entry.scheduler.step(at(47), abandon);
        assert_eq!(abandoned(&effects), Some((37, has_begun)));
    }
}
