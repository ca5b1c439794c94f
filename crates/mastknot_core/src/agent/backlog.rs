//! Starts that wait a moment at the side for the next end.
//!
//! When all targets are full, entries would send their starts to and fro: each end is seen by all of
//! them, and all but one come too late. A short queue at the side lets the next task begin at the
//! moment at which one ends, and keeps the others from trying.

use std::collections::VecDeque;
use std::time::Duration;

use super::owners::OwnerKey;
use super::target_agent::TargetAgent;
use crate::job::{NotRunCause, Room, RunId, StartOrder, TargetCondition};
use crate::types::Moment;

/// What the waiting starts may take together, in percent of the target.
const MAX_SHARE_PERCENT: u32 = 15;
/// How long a start waits at most.
const MAX_WAIT: Duration = Duration::from_millis(40);

/// A start that waits for room.
#[derive(Clone, Debug)]
struct QueuedStart {
    owner: OwnerKey,
    order: StartOrder,
    since: Moment,
}

/// The starts that wait for room, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    queue: VecDeque<QueuedStart>,
    room: Room,
}

impl Backlog {
    /// What the waiting starts take together.
    pub(super) fn room(&self) -> Room {
        self.room
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// When the first one has waited long enough.
    pub(super) fn expires(&self) -> Option<Moment> {
        self.queue.front().map(|first| first.since + MAX_WAIT)
    }

    pub(super) fn holds(&self, run: &RunId) -> bool {
        self.queue.iter().any(|queued| queued.order.run == *run)
    }

    /// The runs of one entry.
    pub(super) fn of_owner(&self, owner: &OwnerKey) -> Vec<RunId> {
        let own = self.queue.iter().filter(|queued| queued.owner == *owner);
        own.map(|queued| queued.order.run).collect()
    }

    pub(super) fn forget_owner(&mut self, owner: &OwnerKey) {
        self.queue.retain(|queued| queued.owner != *owner);
        self.count_room();
    }

    fn push(&mut self, queued: QueuedStart) {
        self.queue.push_back(queued);
        self.count_room();
    }

    fn pop_if(&mut self, is_wanted: impl Fn(&QueuedStart) -> bool) -> Option<QueuedStart> {
        let place = self.queue.iter().position(is_wanted)?;
        let queued = self.queue.remove(place);
        self.count_room();
        queued
    }

    fn pop_first_if(&mut self, is_wanted: impl Fn(&QueuedStart) -> bool) -> Option<QueuedStart> {
        if !self.queue.front().is_some_and(is_wanted) {
            return None;
        }
        let first = self.queue.pop_front();
        self.count_room();
        first
    }

    fn count_room(&mut self) {
        let rooms = self.queue.iter().map(|queued| queued.order.room);
        self.room = rooms.fold(Room::default(), |sum, room| sum.with(&room));
    }
}

impl TargetAgent {
    /// Lets a start that found no room wait; gives it back if it can't.
    pub(super) fn queue_start(
        &mut self,
        now: Moment,
        owner: &OwnerKey,
        order: StartOrder,
    ) -> Option<StartOrder> {
        let capacity = self.capacity();
        let waiting = self.backlog.room().with(&order.room);
        let is_short = waiting.permille_of(&capacity) <= MAX_SHARE_PERCENT * 10;
        let may_wait = self.backlog.is_empty() || is_short;
        let is_known = self.runs.get(&order.run).is_some() || self.backlog.holds(&order.run);
        let is_ready = self.condition == TargetCondition::Ready && capacity.holds(&order.room);
        if !may_wait || is_known || !is_ready {
            return Some(order);
        }
        self.backlog.push(QueuedStart {
            owner: owner.clone(),
            order,
            since: now,
        });
        None
    }

    /// Starts what fits now, and turns away what has waited for too long.
    pub(super) fn serve_backlog(&mut self, now: Moment) {
        let cause = match self.condition {
            TargetCondition::Ready => None,
            TargetCondition::Draining => Some(NotRunCause::Draining),
            TargetCondition::Absent => Some(NotRunCause::TargetUnavailable),
            TargetCondition::Probation => Some(NotRunCause::NoRoom),
        };
        if let Some(cause) = cause {
            while let Some(queued) = self.backlog.pop_first_if(|_| true) {
                self.turn_away(&queued.owner, queued.order.run, cause);
            }
            return;
        }
        while let Some(queued) = self
            .backlog
            .pop_first_if(|first| now.since(first.since) >= MAX_WAIT)
        {
            self.turn_away(&queued.owner, queued.order.run, NotRunCause::NoRoom);
        }
        loop {
            let room = self.capacity().without(&self.runs.used());
            let fits = |first: &QueuedStart| room.holds(&first.order.room);
            let Some(queued) = self.backlog.pop_first_if(fits) else {
                return;
            };
            self.begin_run(now, &queued.owner, queued.order);
        }
    }

    /// Takes back a start that waits.
    pub(super) fn cancel_queued(&mut self, owner: &OwnerKey, run: RunId) -> bool {
        let is_it = |queued: &QueuedStart| queued.order.run == run && queued.owner == *owner;
        let Some(queued) = self.backlog.pop_if(is_it) else {
            return false;
        };
        self.turn_away(&queued.owner, run, NotRunCause::NoRoom);
        true
    }
}
