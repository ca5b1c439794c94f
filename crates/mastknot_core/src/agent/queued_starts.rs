use super::owners::OwnerKey;
use crate::job::{Capacity, RunId, StartOrder};
use crate::types::Moment;

/// A start that waits at the side for room that is expected soon.
#[derive(Clone, Debug)]
pub(super) struct QueuedStart {
    /// Whose it is.
    pub(super) owner: OwnerKey,
    /// What was ordered.
    pub(super) order: StartOrder,
    /// When it came.
    pub(super) since: Moment,
    /// Until when it may wait.
    pub(super) until: Moment,
}

/// Starts that wait at a side for room: the most urgent first, then in the order of arrival.
///
/// None of them is known to the target, so each can be taken back at once.
#[derive(Clone, Debug, Default)]
pub(super) struct QueuedStarts {
    starts: Vec<QueuedStart>,
}

impl QueuedStarts {
    /// Adds a start.
    pub(super) fn push(&mut self, start: QueuedStart) {
        let rank = start.order.rank;
        let place = self
            .starts
            .partition_point(|known| known.order.rank <= rank);
        self.starts.insert(place, start);
    }

    /// The room that all of them take together.
    pub(super) fn room(&self) -> Capacity {
        let rooms = self
            .starts
            .iter()
            .map(|start| &start.order.required_capacity);
        rooms.fold(Capacity::default(), |sum, room| sum.with(room))
    }

    /// Whether none waits.
    pub(super) fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Whether a run waits here.
    pub(super) fn contains(&self, run: &RunId) -> bool {
        self.starts.iter().any(|start| start.order.run == *run)
    }

    /// Whether the entry has starts here.
    pub(super) fn has_any_of(&self, owner: &OwnerKey) -> bool {
        self.starts.iter().any(|start| start.owner == *owner)
    }

    /// Takes the first one out if it fits into this room.
    pub(super) fn take_first(&mut self, free: &Capacity) -> Option<QueuedStart> {
        let first = self.starts.first()?;
        free.covers(&first.order.required_capacity)
            .then(|| self.starts.remove(0))
    }

    /// Takes those out for which this holds.
    pub(super) fn take_if(&mut self, is_taken: impl Fn(&QueuedStart) -> bool) -> Vec<QueuedStart> {
        let starts = std::mem::take(&mut self.starts);
        let (taken, kept) = starts.into_iter().partition(is_taken);
        self.starts = kept;
        taken
    }

    /// When the first of them has waited for as long as it may.
    pub(super) fn due(&self) -> Option<Moment> {
        self.starts.iter().map(|start| start.until).min()
    }
}
