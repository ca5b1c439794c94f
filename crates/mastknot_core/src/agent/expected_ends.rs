//! When the room of runs is expected to come free: pure.

use std::time::Duration;

use super::{Run, RunPhase, RunTable};
use crate::job::Capacity;
use crate::types::Moment;

/// A run that is this much over its expected end is not counted on: nobody knows when it ends.
const MOST_OVERDUE: Duration = Duration::from_millis(10);
/// Below this progress a percent more or less makes too much of a difference: the guess is used.
const LEAST_PERCENT: u8 = 10;

/// When a run is expected to end: by its progress, or by its guess at this pace in percent; none if it is overdue.
pub(super) fn expected_end(run: &Run, now: Moment, pace_percent: u32) -> Option<Moment> {
    if let RunPhase::Stopping { sent, .. } = run.phase {
        // An order to stop takes a round trip to the target.
        return Some(sent).filter(|sent| now.since(*sent) <= MOST_OVERDUE);
    }
    let end = match run.percent {
        0..LEAST_PERCENT => run.since + run.estimate() * pace_percent / 100,
        percent => run.since + run.progressed.since(run.since) * 100 / u32::from(percent),
    };
    (end + MOST_OVERDUE >= now).then_some(end)
}

/// The room of the runs that are expected to end until a moment.
pub(super) fn expected_room(
    runs: &RunTable,
    now: Moment,
    until: Moment,
    pace_percent: u32,
) -> Capacity {
    let ending = runs.iter().filter(|(_, run)| {
        let end = expected_end(run, now, pace_percent);
        end.is_some_and(|end| end <= until)
    });
    ending.fold(Capacity::default(), |sum, (_, run)| sum.with(&run.room))
}

/// The first moment after `after` at which a run is expected to end.
pub(super) fn next_expected_end(
    runs: &RunTable,
    now: Moment,
    after: Moment,
    pace_percent: u32,
) -> Option<Moment> {
    let ends = runs.iter();
    let ends = ends.filter_map(|(_, run)| expected_end(run, now, pace_percent));
    ends.filter(|end| *end > after).min()
}
