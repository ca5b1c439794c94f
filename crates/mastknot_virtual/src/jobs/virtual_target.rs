use std::collections::{BTreeMap, HashMap};

use mastknot_core::agent::{
    FinishReason, OrderOutcome, OrderRefusal, ProbeFailure, TargetFinished, TargetRunning,
    TargetView,
};
use mastknot_core::job::{Capacity, RunId, TargetId, TaskRef};

/// How a target behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetBehaviour {
    /// As it should.
    Healthy,
    /// All that it starts fails.
    FailsAll,
    /// What it starts stands still.
    Stalls,
    /// Work takes this many times as long.
    Slow(u64),
    /// One call in so many gets no answer and is done up to seconds later.
    AppliesLate(u64),
    /// One call in so many is done and not answered.
    LosesAnswers(u64),
    /// One order to stop in so many gets no answer and is done up to seconds later; all else is sound.
    StopsLate(u64),
}

#[derive(Clone, Debug)]
struct TargetRun {
    room: Capacity,
    started: u64,
    work: u64,
    ends: Option<(u64, FinishReason)>,
}

/// A fake target that keeps the contract of a worker: holds, fencing tokens, attempts, ends.
///
/// Its clock counts microseconds of the whole system, slowed by up to 2 percent.
#[derive(Clone, Debug)]
pub struct VirtualTarget {
    pub(super) id: TargetId,
    pub(super) capacity: Capacity,
    /// When its room last changed.
    pub(super) resized: u64,
    /// Parts in a thousand by which its clock is slow.
    slow_permille: u64,
    born: u64,
    hold_until_ms: u64,
    token: u64,
    fences: HashMap<TaskRef, u64>,
    runs: BTreeMap<RunId, TargetRun>,
    finished: Vec<TargetFinished>,
    next_end: u64,
    pub(super) longest_hold_ms: u64,
    pub(super) mood: TargetBehaviour,
    /// Until when its work takes [`COLD_FACTOR`] times as long.
    pub(super) cold_until: u64,
    /// Whether it does not say that it is cold.
    pub(super) hides_cold: bool,
}

/// How much longer work takes at a cold target.
const COLD_FACTOR: u64 = 3;

/// What happened at a target since it was last asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetEnd {
    pub(super) run: RunId,
    pub(super) is_done: bool,
}

/// How long a stop takes, in microseconds.
const STOP_MICROS: u64 = 40_000;

impl VirtualTarget {
    /// A target born now.
    pub(super) fn new(id: TargetId, capacity: Capacity, slow_permille: u64, now: u64) -> Self {
        Self {
            id,
            capacity,
            resized: now,
            slow_permille,
            born: now,
            hold_until_ms: 0,
            token: 0,
            fences: HashMap::new(),
            runs: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 0,
            longest_hold_ms: 0,
            mood: TargetBehaviour::Healthy,
            cold_until: 0,
            hides_cold: false,
        }
    }

    /// The number of the report that it sends now.
    pub(super) fn report_number(&self, now: u64) -> u64 {
        now.saturating_sub(self.born)
    }

    fn clock_ms(&self, now: u64) -> u64 {
        let lived = now.saturating_sub(self.born);
        1_000 + lived * (1_000 - self.slow_permille) / 1_000_000
    }

    /// The time at which its clock shows a value.
    fn at_clock(&self, clock_ms: u64) -> u64 {
        let lived_ms = clock_ms.saturating_sub(1_000);
        self.born + lived_ms * 1_000_000 / (1_000 - self.slow_permille)
    }

    /// The next time at which something ends by itself.
    pub(super) fn next_end(&self) -> Option<u64> {
        let own = self
            .runs
            .values()
            .filter_map(|run| run.ends.map(|(at, _)| at));
        let hold = (!self.runs.is_empty()).then(|| self.at_clock(self.hold_until_ms));
        own.chain(hold).min()
    }

    /// Ends what is due.
    pub(super) fn advance(&mut self, now: u64) -> Vec<TargetEnd> {
        let lapses = now >= self.at_clock(self.hold_until_ms);
        let mut ends = Vec::new();
        for (run, state) in &self.runs {
            match state.ends {
                Some((at, how)) if at <= now => ends.push((*run, how)),
                _ if lapses => ends.push((*run, FinishReason::HoldExpired)),
                _ => {}
            }
        }
        let ended = ends.iter().map(|(run, how)| TargetEnd {
            run: *run,
            is_done: *how == FinishReason::Done,
        });
        let ended = ended.collect();
        for (run, how) in ends {
            self.runs.remove(&run);
            self.fence(run);
            self.next_end += 1;
            let number = self.next_end;
            self.finished.push(TargetFinished {
                number,
                run,
                reason: how,
            });
        }
        ended
    }

    fn fence(&mut self, run: RunId) {
        let fence = self.fences.entry(run.task).or_default();
        *fence = run.attempt.max(*fence);
    }

    fn extend_hold(&mut self, now: u64, until_ms: u64) {
        let longest = self.clock_ms(now) + self.longest_hold_ms;
        self.hold_until_ms = self.hold_until_ms.max(until_ms.min(longest));
    }

    /// What runs takes, what is being stopped included.
    pub(super) fn used(&self) -> Capacity {
        let runs = self.runs.values();
        runs.fold(Capacity::default(), |used, run| used.with(&run.room))
    }

    /// Starts a run; says whether it began now. A target that does not guard its room starts what does not fit.
    pub(super) fn start(
        &mut self,
        now: u64,
        order: &VirtualStart,
        guards_room: bool,
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
        if guards_room && !self.capacity.without(&self.used()).covers(&order.room) {
            return refused(OrderRefusal::NoRoom);
        }
        let factor = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1
        };
        let ends = match order.task_mood.unwrap_or(self.mood) {
            TargetBehaviour::FailsAll => Some((now + 5_000, FinishReason::Failed)),
            TargetBehaviour::Stalls => None,
            TargetBehaviour::Slow(factor) => Some((now + order.work * factor, FinishReason::Done)),
            _ => Some((now + order.work * factor, FinishReason::Done)),
        };
        let run = TargetRun {
            room: order.room,
            started: now,
            work: order.work,
            ends,
        };
        self.runs.insert(order.run, run);
        (OrderOutcome::Started { clock_ms }, true)
    }

    /// Stops a run; whether that was acknowledged.
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

    /// What a look shows.
    pub(super) fn look(
        &mut self,
        now: u64,
        look: &VirtualLook,
    ) -> Result<TargetView, ProbeFailure> {
        let clock_ms = self.clock_ms(now);
        if look
            .target
            .as_ref()
            .is_some_and(|target| target.name != self.id.name)
        {
            return Err(ProbeFailure::OtherIncarnation);
        }
        if look.token < self.token {
            return Err(ProbeFailure::Fenced { clock_ms });
        }
        self.token = look.token;
        if let Some(until) = look.hold_until_ms {
            self.extend_hold(now, until);
        }
        self.finished.retain(|end| end.number > look.last_seen);
        let percent = |run: &TargetRun| match run.ends {
            Some((ends, _)) => {
                let whole = ends.saturating_sub(run.started).max(1);
                ((now - run.started) * 100 / whole).min(99) as u8
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

    /// What runs now.
    pub(super) fn running(&self) -> Vec<RunId> {
        self.runs.keys().copied().collect()
    }
}

/// An order to start as the fake target takes it.
#[derive(Clone, Debug)]
pub(super) struct VirtualStart {
    pub(super) run: RunId,
    pub(super) room: Capacity,
    /// How long the work takes, in microseconds.
    pub(super) work: u64,
    /// How a target behaves that starts this task, whatever its mood.
    pub(super) task_mood: Option<TargetBehaviour>,
    pub(super) hold_until_ms: u64,
    pub(super) token: u64,
    pub(super) target: Option<TargetId>,
}

/// A look as the fake target takes it.
#[derive(Clone, Debug)]
pub(super) struct VirtualLook {
    pub(super) hold_until_ms: Option<u64>,
    pub(super) token: u64,
    pub(super) last_seen: u64,
    pub(super) target: Option<TargetId>,
}
