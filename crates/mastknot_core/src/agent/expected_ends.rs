//! Estimates of the time at which runs end and release their capacity. The functions have no side
//! effects.

use std::time::Duration;

use super::{Run, RunPhase, RunTable};
use crate::job::Capacity;
use crate::types::Moment;

/// Longest time past its expected end for which a run is still expected to end. Beyond this time
/// the end cannot be predicted.
const MAX_OVERDUE: Duration = Duration::from_millis(10);
/// Lowest progress in percent from which the end is extrapolated. Below it, rounding to whole
/// percents has too much weight, and the caller's estimate is used.
const MIN_PERCENT: u8 = 10;

/// Returns the time at which a run is expected to end, from its progress or else from the caller's
/// estimate scaled by the target's slowdown in percent. Returns `None` if the run is overdue.
pub(super) fn expected_end(run: &Run, now: Moment, slowdown_percent: u32) -> Option<Moment> {
    if let RunPhase::Stopping { sent, .. } = run.phase {
        // An order to stop takes a round trip to the target.
        return Some(sent).filter(|sent| now.since(*sent) <= MAX_OVERDUE);
    }
    let end = match run.percent {
        0..MIN_PERCENT => run.since + run.estimate() * slowdown_percent / 100,
        percent => run.since + run.progressed_at.since(run.since) * 100 / u32::from(percent),
    };
    (end + MAX_OVERDUE >= now).then_some(end)
}

/// Returns the capacity of all runs that are expected to end by the time `until`.
pub(super) fn expected_capacity(
    runs: &RunTable,
    now: Moment,
    until: Moment,
    slowdown_percent: u32,
) -> Capacity {
    let ending = runs.iter().filter(|(_, run)| {
        let end = expected_end(run, now, slowdown_percent);
        end.is_some_and(|end| end <= until)
    });
    ending.fold(Capacity::default(), |sum, (_, run)| sum.with(&run.capacity))
}

/// Returns the first time after `after` at which a run is expected to end.
pub(super) fn next_expected_end(
    runs: &RunTable,
    now: Moment,
    after: Moment,
    slowdown_percent: u32,
) -> Option<Moment> {
    let ends = runs.iter();
    let ends = ends.filter_map(|(_, run)| expected_end(run, now, slowdown_percent));
    ends.filter(|end| *end > after).min()
}
