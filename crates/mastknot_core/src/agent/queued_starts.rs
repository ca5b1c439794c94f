use super::owners::OwnerKey;
use crate::job::{Capacity, RunId, StartOrder};
use crate::types::Moment;

/// Start that waits at the side for capacity that is expected soon.
#[derive(Clone, Debug)]
pub(super) struct QueuedStart {
    /// Entry that ordered the start.
    pub(super) owner: OwnerKey,
    /// Order as the entry sent it.
    pub(super) order: StartOrder,
    /// Time at which the order arrived.
    pub(super) since: Moment,
    /// Time until which the start may wait.
    pub(super) until: Moment,
}

/// Starts that wait at a side for capacity, by urgency and then by arrival.
///
/// The target knows none of them, so each can be withdrawn immediately.
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

    /// Returns the capacity that all queued starts take together.
    pub(super) fn capacity(&self) -> Capacity {
        let capacities = self
            .starts
            .iter()
            .map(|start| &start.order.required_capacity);
        capacities.fold(Capacity::default(), |sum, capacity| sum.with(capacity))
    }

    /// Returns whether no start is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Returns whether the start of a run is queued.
    pub(super) fn contains(&self, run: &RunId) -> bool {
        self.starts.iter().any(|start| start.order.run == *run)
    }

    /// Returns whether the entry has queued starts.
    pub(super) fn has_any_of(&self, owner: &OwnerKey) -> bool {
        self.starts.iter().any(|start| start.owner == *owner)
    }

    /// Removes and returns the first start if it fits into the given capacity.
    pub(super) fn take_first(&mut self, free: &Capacity) -> Option<QueuedStart> {
        let first = self.starts.first()?;
        free.covers(&first.order.required_capacity)
            .then(|| self.starts.remove(0))
    }

    /// Removes and returns all starts for which the predicate holds.
    pub(super) fn take_if(&mut self, is_taken: impl Fn(&QueuedStart) -> bool) -> Vec<QueuedStart> {
        let starts = std::mem::take(&mut self.starts);
        let (taken, kept) = starts.into_iter().partition(is_taken);
        self.starts = kept;
        taken
    }

    /// Returns the earliest time until which a queued start may wait.
    pub(super) fn due(&self) -> Option<Moment> {
        self.starts.iter().map(|start| start.until).min()
    }
}
