use std::collections::{BTreeMap, HashMap};

use mastknot_core::agent::{
    FinishReason, OrderOutcome, OrderRefusal, ProbeFailure, TargetFinished, TargetRunning,
    TargetView,
};
use mastknot_core::job::{Capacity, RunId, TargetId, TaskRef};

/// Behaviour of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetBehaviour {
    /// The target behaves correctly.
    Healthy,
    /// Everything that the target starts fails.
    FailsAll,
    /// Runs make no progress and do not complete.
    Stalls,
    /// Work takes this many times as long.
    Slow(u64),
    /// One of this many calls gets no answer and is applied 2 to 12 seconds later.
    AppliesLate(u64),
    /// One of this many calls is applied and not answered.
    LosesAnswers(u64),
    /// One of this many stop orders gets no answer and is applied 2 to 12 seconds later; all other calls
    /// work.
    StopsLate(u64),
}

#[derive(Clone, Debug)]
struct TargetRun {
    capacity: Capacity,
    started: u64,
    work: u64,
    ends: Option<(u64, FinishReason)>,
}

/// Fake target that keeps the contract of a worker: holds, fencing tokens, attempts and ends of runs.
///
/// The clock of the target follows the time of the simulation, slowed by up to 2 percent.
#[derive(Clone, Debug)]
pub struct VirtualTarget {
    pub(super) id: TargetId,
    pub(super) capacity: Capacity,
    /// Time at which the capacity last changed, in microseconds.
    pub(super) resized: u64,
    /// Parts in a thousand by which the clock is slow.
    slow_permille: u64,
    started_at: u64,
    hold_until_ms: u64,
    token: u64,
    fences: HashMap<TaskRef, u64>,
    runs: BTreeMap<RunId, TargetRun>,
    finished: Vec<TargetFinished>,
    next_end: u64,
    pub(super) max_hold_ms: u64,
    pub(super) behaviour: TargetBehaviour,
    /// Time until which work takes [`COLD_FACTOR`] times as long, in microseconds.
    pub(super) cold_until: u64,
    /// Whether the target does not report that it is cold.
    pub(super) hides_cold: bool,
}

/// Factor by which work takes longer at a cold target.
const COLD_FACTOR: u64 = 3;

/// End of a run at a target since the last call of [`VirtualTarget::advance`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetEnd {
    pub(super) run: RunId,
    pub(super) is_done: bool,
}

/// Time that a stop takes, in microseconds.
const STOP_MICROS: u64 = 40_000;

impl VirtualTarget {
    /// Creates a target that starts now.
    pub(super) fn new(id: TargetId, capacity: Capacity, slow_permille: u64, now: u64) -> Self {
        Self {
            id,
            capacity,
            resized: now,
            slow_permille,
            started_at: now,
            hold_until_ms: 0,
            token: 0,
            fences: HashMap::new(),
            runs: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 0,
            max_hold_ms: 0,
            behaviour: TargetBehaviour::Healthy,
            cold_until: 0,
            hides_cold: false,
        }
    }

    /// Returns the number of a report that the target sends now.
    pub(super) fn report_number(&self, now: u64) -> u64 {
        now.saturating_sub(self.started_at)
    }

    fn clock_ms(&self, now: u64) -> u64 {
        let uptime = now.saturating_sub(self.started_at);
        1_000 + uptime * (1_000 - self.slow_permille) / 1_000_000
    }

    /// Returns the time at which the target's clock shows a value, in microseconds.
    fn at_clock(&self, clock_ms: u64) -> u64 {
        let uptime_ms = clock_ms.saturating_sub(1_000);
        self.started_at + uptime_ms * 1_000_000 / (1_000 - self.slow_permille)
    }

    /// Returns the next time at which a run ends by itself or the hold expires, in microseconds.
    pub(super) fn next_end(&self) -> Option<u64> {
        let run_ends = self
            .runs
            .values()
            .filter_map(|run| run.ends.map(|(at, _)| at));
        let hold = (!self.runs.is_empty()).then(|| self.at_clock(self.hold_until_ms));
        run_ends.chain(hold).min()
    }

    /// Ends the runs that are due, or whose hold has expired, and returns them.
    pub(super) fn advance(&mut self, now: u64) -> Vec<TargetEnd> {
        let is_hold_expired = now >= self.at_clock(self.hold_until_ms);
        let mut ends = Vec::new();
        for (run, state) in &self.runs {
            match state.ends {
                Some((at, reason)) if at <= now => ends.push((*run, reason)),
                _ if is_hold_expired => ends.push((*run, FinishReason::HoldExpired)),
                _ => {}
            }
        }
        let ended = ends.iter().map(|(run, reason)| TargetEnd {
            run: *run,
            is_done: *reason == FinishReason::Done,
        });
        let ended = ended.collect();
        for (run, reason) in ends {
            self.runs.remove(&run);
            self.fence(run);
            self.next_end += 1;
            let number = self.next_end;
            self.finished.push(TargetFinished {
                number,
                run,
                reason,
            });
        }
        ended
    }

    fn fence(&mut self, run: RunId) {
        let fence = self.fences.entry(run.task).or_default();
        *fence = run.attempt.max(*fence);
    }

    fn extend_hold(&mut self, now: u64, until_ms: u64) {
        let max_until_ms = self.clock_ms(now) + self.max_hold_ms;
        self.hold_until_ms = self.hold_until_ms.max(until_ms.min(max_until_ms));
    }

    /// Returns the capacity that all runs use, including those that are being stopped.
    pub(super) fn used(&self) -> Capacity {
        let runs = self.runs.values();
        runs.fold(Capacity::default(), |used, run| used.with(&run.capacity))
    }

    /// Starts a run and returns the outcome and whether the run began now. Without `checks_capacity` the
    /// target also starts runs that exceed its capacity.
    pub(super) fn start(
        &mut self,
        now: u64,
        order: &VirtualStart,
        checks_capacity: bool,
    ) -> (OrderOutcome, bool) {
        let clock_ms = self.clock_ms(now);
        let refused = |refusal| (OrderOutcome::Refused(refusal), false);
        if order
            .target
            .as_ref()
            .is_some_and(|target| target.name != self.id.name)
        {
            return refused(OrderRefusal::OtherIncarnation);
        }
        if order.token < self.token {
            return refused(OrderRefusal::Fenced { clock_ms });
        }
        self.token = order.token;
        if order.hold_until_ms <= clock_ms {
            return refused(OrderRefusal::Late);
        }
        self.extend_hold(now, order.hold_until_ms);
        if self.runs.contains_key(&order.run) {
            return (OrderOutcome::Started { clock_ms }, false);
        }
        let fence = self
            .fences
            .get(&order.run.task)
            .copied()
            .unwrap_or_default();
        if order.run.attempt <= fence {
            return refused(OrderRefusal::OldAttempt);
        }
        if checks_capacity && !self.capacity.without(&self.used()).covers(&order.capacity) {
            return refused(OrderRefusal::NoRoom);
        }
        let factor = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1
        };
        let ends = match order.task_behaviour.unwrap_or(self.behaviour) {
            TargetBehaviour::FailsAll => Some((now + 5_000, FinishReason::Failed)),
            TargetBehaviour::Stalls => None,
            TargetBehaviour::Slow(factor) => Some((now + order.work * factor, FinishReason::Done)),
            _ => Some((now + order.work * factor, FinishReason::Done)),
        };
        let run = TargetRun {
            capacity: order.capacity,
            started: now,
            work: order.work,
            ends,
        };
        self.runs.insert(order.run, run);
        (OrderOutcome::Started { clock_ms }, true)
    }

    /// Stops a run and returns whether the order was acknowledged.
    pub(super) fn stop(&mut self, now: u64, run: RunId, token: u64) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        match self.runs.get_mut(&run) {
            Some(state) => {
                let at = now + STOP_MICROS;
                let is_sooner = state.ends.is_none_or(|(ends, _)| ends > at);
                if is_sooner {
                    state.ends = Some((at, FinishReason::Stopped));
                }
            }
            None => self.fence(run),
        }
        true
    }

    /// Returns the view of the target that a probe receives.
    pub(super) fn probe(
        &mut self,
        now: u64,
        probe: &VirtualProbe,
    ) -> Result<TargetView, ProbeFailure> {
        let clock_ms = self.clock_ms(now);
        if probe
            .target
            .as_ref()
            .is_some_and(|target| target.name != self.id.name)
        {
            return Err(ProbeFailure::OtherIncarnation);
        }
        if probe.token < self.token {
            return Err(ProbeFailure::Fenced { clock_ms });
        }
        self.token = probe.token;
        if let Some(until) = probe.hold_until_ms {
            self.extend_hold(now, until);
        }
        self.finished.retain(|end| end.number > probe.last_seen);
        let percent = |run: &TargetRun| match run.ends {
            Some((ends, _)) => {
                let total = ends.saturating_sub(run.started).max(1);
                ((now - run.started) * 100 / total).min(99) as u8
            }
            None => (run.work % 2) as u8,
        };
        let running = self.runs.iter().map(|(run, state)| TargetRunning {
            run: *run,
            percent: percent(state),
        });
        Ok(TargetView {
            clock_ms,
            started_at_ms: self.id.started_at_ms,
            running: running.collect(),
            finished: self.finished.clone(),
        })
    }

    /// Returns the current runs.
    pub(super) fn running(&self) -> Vec<RunId> {
        self.runs.keys().copied().collect()
    }
}

/// Start order as the fake target receives it.
#[derive(Clone, Debug)]
pub(super) struct VirtualStart {
    pub(super) run: RunId,
    pub(super) capacity: Capacity,
    /// Run time of the work, in microseconds.
    pub(super) work: u64,
    /// Behaviour of the target for this task, in place of its own.
    pub(super) task_behaviour: Option<TargetBehaviour>,
    pub(super) hold_until_ms: u64,
    pub(super) token: u64,
    pub(super) target: Option<TargetId>,
}

/// Probe as the fake target receives it.
#[derive(Clone, Debug)]
pub(super) struct VirtualProbe {
    pub(super) hold_until_ms: Option<u64>,
    pub(super) token: u64,
    pub(super) last_seen: u64,
    pub(super) target: Option<TargetId>,
}
