use std::collections::BTreeSet;
use std::time::Duration;

use mastknot_core::agent::SessionId;

/// VM that runs a process around a decision core.
pub(super) struct Node<C> {
    /// Decision core; `None` while the process is down.
    pub(super) core: Option<C>,
    /// Number of the current incarnation of the process. A start and a kill each increase it.
    pub(super) incarnation: u64,
    /// Time at which the current incarnation started, in microseconds.
    pub(super) started_at: u64,
    /// Time until which the process is paused or its VM suspended, in microseconds.
    pub(super) paused_until: u64,
    /// Time for which the VM has been suspended in this incarnation, in microseconds.
    pub(super) suspended_for: u64,
    /// Links that the process holds open.
    pub(super) open: BTreeSet<SessionId>,
    /// Time of the tick that the core last asked for, in microseconds.
    pub(super) tick_at: Option<u64>,
}

impl<C> Node<C> {
    pub(super) fn new() -> Self {
        Self {
            core: None,
            incarnation: 0,
            started_at: 0,
            paused_until: 0,
            suspended_for: 0,
            open: BTreeSet::new(),
            tick_at: None,
        }
    }

    /// Suspends the VM for the given time, or extends a suspension.
    pub(super) fn suspend(&mut self, now: u64, time: Duration) {
        let until = now + time.as_micros() as u64;
        self.suspended_for += until.saturating_sub(self.paused_until.max(now));
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns whether a tick at this time is the one that the core last asked for. Earlier plans are void.
    pub(super) fn takes_tick(&mut self, now: u64) -> bool {
        self.tick_at.take_if(|at| *at <= now).is_some()
    }
}
