use std::collections::BTreeSet;
use std::time::Duration;

use mastknot_core::agent::SessionId;

/// A VM with a process around a core.
pub(super) struct Node<C> {
    pub(super) core: Option<C>,
    pub(super) life: u64,
    pub(super) frozen_until: u64,
    /// For how long its VM has been suspended in this life.
    pub(super) asleep: u64,
    /// Links that this process holds open.
    pub(super) open: BTreeSet<SessionId>,
    pub(super) tick_at: Option<u64>,
}

impl<C> Node<C> {
    pub(super) fn new() -> Self {
        Self {
            core: None,
            life: 0,
            frozen_until: 0,
            asleep: 0,
            open: BTreeSet::new(),
            tick_at: None,
        }
    }

    /// Its VM is suspended from now on, or for longer than it was to be.
    pub(super) fn fall_asleep(&mut self, now: u64, time: Duration) {
        let until = now + time.as_micros() as u64;
        self.asleep += until.saturating_sub(self.frozen_until.max(now));
        self.frozen_until = self.frozen_until.max(until);
    }

    /// Whether a tick that comes now is the one that the core asked for last: earlier plans are void.
    pub(super) fn takes_tick(&mut self, now: u64) -> bool {
        self.tick_at.take_if(|at| *at <= now).is_some()
    }
}
