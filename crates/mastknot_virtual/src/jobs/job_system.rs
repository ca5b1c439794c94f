use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::agent::{
    AgentEffect, AgentEvent, AgentSettings, LookFailure, OrderOutcome, SessionId, TargetAgent,
    TargetView,
};
use mastknot_core::job::{
    EntryOrder, JobAnswer, JobId, JobRequest, QueuePolicy, Room, RunId, SideReport, StepSpec,
    TargetId, TargetProfile, TaskRef,
};
use mastknot_core::scheduler::{
    CallerId, JobScheduler, SchedulerEffect, SchedulerEvent, SchedulerSettings,
};
use mastknot_core::types::{Incarnation, Moment, WallTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::virtual_target::{TargetMood, VirtualLook, VirtualStart, VirtualTarget};
use super::{Direction, JobAudit, JobFault, JobFaultPlan, JobViolation};
use crate::system::Schedule;

/// One way between an entry and a side, in microseconds.
const LINK_DELAY: u64 = 900;
/// One way between a side and its target.
const TARGET_DELAY: u64 = 100;
/// After this a side gives up an order without an answer.
const ORDER_LIMIT: u64 = 50_000;
/// The same for a look, besides its own wait.
const LOOK_LIMIT: u64 = 100_000;
/// Between two dials.
const DIAL_PAUSE: u64 = 30_000;
/// Between two heartbeats of a target.
const BEAT: u64 = 1_500_000;
/// After this a caller without a result sends its job again.
const RESEND_AFTER: u64 = 1_300_000;
/// How long a caller waits.
const CALLER_TIME: u64 = 2_000_000;
/// What an answer may be late by.
const ANSWER_SLACK: u64 = 60_000;
/// How often a caller sends a job.
const MAX_TRIES: u32 = 3;
/// A millisecond in microseconds.
const MILLI: u64 = 1_000;

/// How a [`JobSystem`] is built.
#[derive(Clone, Copy, Debug)]
pub struct JobSystemSettings {
    /// Entries.
    pub entries: usize,
    /// Sides, each with a target.
    pub sides: usize,
    /// The processor of a target, in thousandths of a core.
    pub cpu_millis: u32,
    /// For everything that is left to chance.
    pub seed: u64,
}

struct Node<C> {
    core: Option<C>,
    life: u64,
    frozen_until: u64,
    /// Links that this process holds open.
    open: HashSet<SessionId>,
    tick_at: Option<u64>,
}

impl<C> Node<C> {
    fn new() -> Self {
        Self {
            core: None,
            life: 0,
            frozen_until: 0,
            open: HashSet::new(),
            tick_at: None,
        }
    }
}

struct TargetSlot {
    target: Option<VirtualTarget>,
    lives: u64,
    is_dark: bool,
    calls: u64,
    open_look: Option<OpenLook>,
    due_at: Option<u64>,
}

/// A look whose answer waits for an end.
#[derive(Clone, Debug)]
struct OpenLook {
    number: u64,
    life: u64,
    look: VirtualLook,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cut {
    to_side_until: u64,
    to_entry_until: u64,
}

#[derive(Clone, Debug)]
struct Caller {
    job: JobId,
    entry: usize,
    entry_life: u64,
    handed_in: u64,
    was_disturbed: bool,
}

#[derive(Clone, Debug)]
struct VirtualJob {
    request: JobRequest,
    work: u64,
    tries: u32,
}

#[derive(Clone, Debug)]
enum Act {
    Dial {
        entry: usize,
        side: usize,
    },
    ToEntry {
        entry: usize,
        life: u64,
        session: SessionId,
        report: Box<SideReport>,
    },
    ToSide {
        side: usize,
        life: u64,
        session: SessionId,
        order: Box<EntryOrder>,
    },
    DownAtEntry {
        entry: usize,
        life: u64,
        session: SessionId,
    },
    DownAtSide {
        side: usize,
        life: u64,
        session: SessionId,
    },
    TickEntry {
        entry: usize,
        life: u64,
    },
    TickSide {
        side: usize,
        life: u64,
    },
    SideInput {
        side: usize,
        life: u64,
        event: Box<AgentEvent>,
    },
    TargetStart {
        side: usize,
        life: u64,
        start: Box<VirtualStart>,
        is_answered: bool,
    },
    TargetStop {
        side: usize,
        life: u64,
        run: RunId,
        token: u64,
        is_answered: bool,
    },
    TargetLook {
        side: usize,
        open: Box<OpenLook>,
        wait: u64,
    },
    LookWaited {
        side: usize,
        number: u64,
    },
    TargetDue {
        side: usize,
    },
    Beat {
        side: usize,
        lives: u64,
    },
    Submit {
        job: JobId,
        entry: usize,
    },
    CallerTimeout {
        caller: CallerId,
    },
    Fault(JobFault),
    StartEntry {
        entry: usize,
    },
    StartSide {
        side: usize,
    },
    StartTarget {
        side: usize,
    },
    MoodOver {
        side: usize,
    },
}

/// Entries, sides, fake targets and callers in virtual time.
pub struct JobSystem {
    settings: JobSystemSettings,
    now: u64,
    schedule: Schedule<Act>,
    rng: StdRng,
    entries: Vec<Node<JobScheduler>>,
    sides: Vec<Node<TargetAgent>>,
    targets: Vec<TargetSlot>,
    cuts: HashMap<(usize, usize), Cut>,
    sessions: HashMap<SessionId, (usize, usize)>,
    last_arrival: HashMap<(SessionId, bool), u64>,
    next_session: u64,
    next_caller: u64,
    callers: BTreeMap<CallerId, Caller>,
    jobs: BTreeMap<JobId, VirtualJob>,
    /// Jobs of which a caller got no answer.
    unanswered: BTreeSet<JobId>,
    audit: JobAudit,
}

impl JobSystem {
    /// A system whose processes have just started.
    pub fn new(settings: JobSystemSettings) -> Self {
        let mut system = Self {
            settings,
            now: 0,
            schedule: Schedule::new(),
            rng: StdRng::seed_from_u64(settings.seed),
            entries: (0..settings.entries).map(|_| Node::new()).collect(),
            sides: (0..settings.sides).map(|_| Node::new()).collect(),
            targets: Vec::new(),
            cuts: HashMap::new(),
            sessions: HashMap::new(),
            last_arrival: HashMap::new(),
            next_session: 1,
            next_caller: 1,
            callers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            audit: JobAudit::default(),
        };
        for _ in 0..settings.sides {
            system.targets.push(TargetSlot {
                target: None,
                lives: 0,
                is_dark: false,
                calls: 0,
                open_look: None,
                due_at: None,
            });
        }
        (0..settings.sides).for_each(|side| system.start_target(side));
        (0..settings.entries).for_each(|entry| system.start_entry(entry));
        (0..settings.sides).for_each(|side| system.start_side(side));
        system
    }

    /// Hands in a job of `tasks` tasks of `work` each at a time and an entry.
    pub fn submit(&mut self, at: Duration, entry: usize, tasks: u16, work: Duration) -> JobId {
        let id = JobId(0x1000 + self.jobs.len() as u64);
        let request = JobRequest {
            id,
            request_id: Arc::from(format!("r{}", id.0)),
            payload: Arc::from("text"),
            steps: vec![StepSpec {
                count: tasks,
                room: Room {
                    cpu_millis: 1_600,
                    memory_mb: 64,
                    accelerators: 0,
                },
                estimate: work,
                ..StepSpec::default()
            }],
        };
        let job = VirtualJob {
            request,
            work: work.as_micros() as u64,
            tries: 0,
        };
        self.jobs.insert(id, job);
        let at = at.as_micros() as u64;
        self.schedule.add(at, Act::Submit { job: id, entry });
        id
    }

    /// Plans a fault.
    pub fn plan(&mut self, plan: JobFaultPlan) {
        let at = plan.at.as_micros() as u64;
        self.schedule.add(at, Act::Fault(plan.fault));
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Duration) {
        let until = until.as_micros() as u64;
        while let Some(at) = self.schedule.next_at().filter(|at| *at <= until) {
            let Some((_, act)) = self.schedule.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.act(act);
        }
        self.now = until;
    }

    /// Broken promises so far.
    pub fn violations(&self) -> Vec<JobViolation> {
        self.audit.finish(&self.unanswered)
    }

    /// What callers and targets saw.
    pub fn audit(&self) -> &JobAudit {
        &self.audit
    }

    /// Jobs and runs that the cores still hold; none when all is quiet.
    pub fn left_over(&self) -> (usize, usize) {
        let entries = self.entries.iter().filter_map(|node| node.core.as_ref());
        let sides = self.sides.iter().filter_map(|node| node.core.as_ref());
        let runs = sides.map(|core| core.runs().len()).sum();
        (entries.map(JobScheduler::held_jobs).sum(), runs)
    }

    /// What an entry holds, for a failed test to show.
    pub fn describe_entry(&self, entry: usize) -> String {
        format!("{:?}", self.entries[entry].core)
    }

    /// The room that each side believes to be free, in thousandths of a core.
    pub fn free_cpu(&self) -> Vec<u32> {
        let sides = self.sides.iter().filter_map(|node| node.core.as_ref());
        sides.map(|core| core.free().cpu_millis).collect()
    }

    fn moment(&self) -> Moment {
        Moment::from_micros(self.now)
    }

    fn later(&mut self, delay: u64, act: Act) {
        self.schedule.add(self.now + delay, act);
    }

    fn act(&mut self, act: Act) {
        if let Some(until) = self.frozen_until(&act) {
            self.schedule.add(until, act);
            return;
        }
        match act {
            Act::Dial { entry, side } => self.dial(entry, side),
            Act::ToEntry {
                entry,
                life,
                session,
                report,
            } => {
                let node = &self.entries[entry];
                if node.life == life && node.open.contains(&session) {
                    let reports = vec![*report];
                    self.step_entry(entry, SchedulerEvent::FromSide { session, reports });
                }
            }
            Act::ToSide {
                side,
                life,
                session,
                order,
            } => {
                let node = &self.sides[side];
                if node.life == life && node.open.contains(&session) {
                    let orders = vec![*order];
                    self.step_side(side, AgentEvent::FromEntry { session, orders });
                }
            }
            Act::DownAtEntry {
                entry,
                life,
                session,
            } => {
                if self.entries[entry].life == life && self.entries[entry].open.remove(&session) {
                    self.step_entry(entry, SchedulerEvent::LinkDown { session });
                }
            }
            Act::DownAtSide {
                side,
                life,
                session,
            } => {
                if self.sides[side].life == life && self.sides[side].open.remove(&session) {
                    self.step_side(side, AgentEvent::LinkDown { session });
                    self.redial(session);
                }
            }
            Act::TickEntry { entry, life } => {
                if self.entries[entry].life == life {
                    self.entries[entry].tick_at = None;
                    self.step_entry(entry, SchedulerEvent::Tick);
                }
            }
            Act::TickSide { side, life } => {
                if self.sides[side].life == life {
                    self.sides[side].tick_at = None;
                    self.step_side(side, AgentEvent::Tick);
                }
            }
            Act::SideInput { side, life, event } => {
                if self.sides[side].life == life {
                    self.step_side(side, *event);
                }
            }
            Act::TargetStart {
                side,
                life,
                start,
                is_answered,
            } => {
                self.target_start(side, life, &start, is_answered);
            }
            Act::TargetStop {
                side,
                life,
                run,
                token,
                is_answered,
            } => {
                self.target_stop(side, life, run, token, is_answered);
            }
            Act::TargetLook { side, open, wait } => self.target_look(side, *open, wait),
            Act::LookWaited { side, number } => self.answer_look(side, Some(number)),
            Act::TargetDue { side } => self.advance_target(side),
            Act::Beat { side, lives } => self.beat(side, lives),
            Act::Submit { job, entry } => self.submit_now(job, entry),
            Act::CallerTimeout { caller } => self.caller_timeout(caller),
            Act::Fault(fault) => self.strike(fault),
            Act::StartEntry { entry } if self.entries[entry].core.is_some() => {}
            Act::StartSide { side } if self.sides[side].core.is_some() => {}
            Act::StartEntry { entry } => self.start_entry(entry),
            Act::StartSide { side } => self.start_side(side),
            // A second crash may have come while the target was down.
            Act::StartTarget { side } if self.targets[side].target.is_some() => {}
            Act::StartTarget { side } => self.start_target(side),
            Act::MoodOver { side } => {
                if let Some(target) = &mut self.targets[side].target {
                    target.mood = TargetMood::Sound;
                }
            }
        }
    }

    /// What is for a frozen process waits until it wakes.
    fn frozen_until(&self, act: &Act) -> Option<u64> {
        let until = match act {
            Act::ToEntry { entry, .. }
            | Act::DownAtEntry { entry, .. }
            | Act::TickEntry { entry, .. } => self.entries[*entry].frozen_until,
            Act::ToSide { side, .. }
            | Act::DownAtSide { side, .. }
            | Act::TickSide { side, .. }
            | Act::SideInput { side, .. } => self.sides[*side].frozen_until,
            _ => 0,
        };
        (until > self.now).then_some(until)
    }

    fn start_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        node.life += 1;
        let name = format!("entry-{entry}");
        let incarnation = Incarnation(node.life);
        let settings = SchedulerSettings::new(name.as_str().into(), incarnation);
        node.core = Some(JobScheduler::new(settings));
        node.open.clear();
        node.tick_at = None;
        node.frozen_until = 0;
    }

    fn start_side(&mut self, side: usize) {
        let node = &mut self.sides[side];
        node.life += 1;
        let name = format!("side-{side}");
        let incarnation = Incarnation(node.life);
        let settings = AgentSettings::new(name.as_str().into(), incarnation, "hall".into());
        node.core = Some(TargetAgent::new(settings));
        node.open.clear();
        node.tick_at = None;
        node.frozen_until = 0;
        for entry in 0..self.settings.entries {
            self.later(LINK_DELAY, Act::Dial { entry, side });
        }
        self.step_side(side, AgentEvent::Tick);
    }

    fn start_target(&mut self, side: usize) {
        let slow = self.rng.random_range(0..=20);
        let slot = &mut self.targets[side];
        slot.lives += 1;
        let lives = slot.lives;
        let id = TargetId(Arc::from(format!("target-{side}-{lives}")));
        let capacity = Room {
            cpu_millis: self.settings.cpu_millis,
            memory_mb: 32_768,
            accelerators: 0,
        };
        slot.target = Some(VirtualTarget::new(id, capacity, slow, self.now));
        self.later(MILLI, Act::Beat { side, lives });
    }

    fn beat(&mut self, side: usize, lives: u64) {
        let slot = &self.targets[side];
        let Some(target) = slot.target.as_ref().filter(|_| slot.lives == lives) else {
            return;
        };
        let profile = TargetProfile {
            id: target.id.clone(),
            service: Arc::from("service"),
            capacity: Room {
                cpu_millis: self.settings.cpu_millis,
                memory_mb: 32_768,
                accelerators: 0,
            },
            labels: Vec::new(),
        };
        let event = AgentEvent::TargetReported {
            profile,
            is_draining: false,
        };
        let life = self.sides[side].life;
        let event = Box::new(event);
        self.later(TARGET_DELAY, Act::SideInput { side, life, event });
        self.later(BEAT, Act::Beat { side, lives });
    }

    fn dial(&mut self, entry: usize, side: usize) {
        let is_linked = self.sides[side]
            .open
            .iter()
            .any(|session| self.sessions.get(session) == Some(&(entry, side)));
        if self.sides[side].core.is_none() || is_linked {
            return;
        }
        let cut = self.cuts.get(&(entry, side)).copied().unwrap_or_default();
        let is_cut = cut.to_side_until.max(cut.to_entry_until) > self.now;
        if is_cut || self.entries[entry].core.is_none() {
            self.later(DIAL_PAUSE, Act::Dial { entry, side });
            return;
        }
        let session = SessionId(self.next_session);
        self.next_session += 1;
        self.sessions.insert(session, (entry, side));
        self.entries[entry].open.insert(session);
        self.sides[side].open.insert(session);
        let life = self.sides[side].life;
        let event = Box::new(AgentEvent::LinkUp { session });
        self.later(0, Act::SideInput { side, life, event });
    }

    fn redial(&mut self, session: SessionId) {
        if let Some((entry, side)) = self.sessions.get(&session).copied() {
            self.later(DIAL_PAUSE, Act::Dial { entry, side });
        }
    }

    /// When something sent now arrives: in order, and not before a cut is over.
    fn arrival(&mut self, session: SessionId, is_to_side: bool) -> u64 {
        let place = self.sessions.get(&session).copied().unwrap_or_default();
        let cut = self.cuts.get(&place).copied().unwrap_or_default();
        let open_at = match is_to_side {
            true => cut.to_side_until,
            false => cut.to_entry_until,
        };
        let last = self.last_arrival.entry((session, is_to_side)).or_default();
        let at = (self.now.max(open_at) + LINK_DELAY).max(*last);
        *last = at;
        at
    }

    fn step_entry(&mut self, entry: usize, event: SchedulerEvent) {
        let now = self.moment();
        let Some(core) = &mut self.entries[entry].core else {
            return;
        };
        let effects = core.step(now, event);
        let next = core.next_tick();
        for effect in effects {
            self.entry_effect(entry, effect);
        }
        let life = self.entries[entry].life;
        if let Some(at) = self.wake(next, self.entries[entry].tick_at) {
            self.entries[entry].tick_at = Some(at);
            self.schedule.add(at, Act::TickEntry { entry, life });
        }
    }

    fn step_side(&mut self, side: usize, event: AgentEvent) {
        let now = self.moment();
        let Some(core) = &mut self.sides[side].core else {
            return;
        };
        let effects = core.step(now, event);
        let next = core.next_tick();
        for effect in effects {
            self.side_effect(side, effect);
        }
        let life = self.sides[side].life;
        if let Some(at) = self.wake(next, self.sides[side].tick_at) {
            self.sides[side].tick_at = Some(at);
            self.schedule.add(at, Act::TickSide { side, life });
        }
    }

    /// When to wake a core, unless it is woken before.
    fn wake(&self, next: Option<Moment>, planned: Option<u64>) -> Option<u64> {
        let at = next?.as_micros().max(self.now + 100);
        planned.is_none_or(|planned| at < planned).then_some(at)
    }

    fn entry_effect(&mut self, entry: usize, effect: SchedulerEffect) {
        match effect {
            SchedulerEffect::Send { session, order } => {
                if !self.entries[entry].open.contains(&session) {
                    return;
                }
                let Some((_, side)) = self.sessions.get(&session).copied() else {
                    return;
                };
                let life = self.sides[side].life;
                let order = Box::new(order);
                let at = self.arrival(session, true);
                self.schedule.add(
                    at,
                    Act::ToSide {
                        side,
                        life,
                        session,
                        order,
                    },
                );
            }
            SchedulerEffect::Close { session } => self.close_at_entry(entry, session),
            SchedulerEffect::Answer { caller, answer } => self.caller_answered(caller, answer),
            SchedulerEffect::Document(_) | SchedulerEffect::Decided(_) => {}
        }
    }

    fn close_at_entry(&mut self, entry: usize, session: SessionId) {
        if !self.entries[entry].open.remove(&session) {
            return;
        }
        let Some((_, side)) = self.sessions.get(&session).copied() else {
            return;
        };
        let life = self.sides[side].life;
        let at = self.arrival(session, true);
        self.schedule.add(
            at,
            Act::DownAtSide {
                side,
                life,
                session,
            },
        );
    }

    fn close_at_side(&mut self, side: usize, session: SessionId) {
        if !self.sides[side].open.remove(&session) {
            return;
        }
        let Some((entry, _)) = self.sessions.get(&session).copied() else {
            return;
        };
        let life = self.entries[entry].life;
        let at = self.arrival(session, false);
        self.schedule.add(
            at,
            Act::DownAtEntry {
                entry,
                life,
                session,
            },
        );
        self.redial(session);
    }

    fn side_effect(&mut self, side: usize, effect: AgentEffect) {
        let life = self.sides[side].life;
        match effect {
            AgentEffect::Send { session, report } => {
                if !self.sides[side].open.contains(&session) {
                    return;
                }
                let Some((entry, _)) = self.sessions.get(&session).copied() else {
                    return;
                };
                let life = self.entries[entry].life;
                let report = Box::new(report);
                let at = self.arrival(session, false);
                self.schedule.add(
                    at,
                    Act::ToEntry {
                        entry,
                        life,
                        session,
                        report,
                    },
                );
            }
            AgentEffect::Close { session } => self.close_at_side(side, session),
            AgentEffect::Order {
                run,
                hold_until_ms,
                token,
                target,
                ..
            } => {
                let room = Room {
                    cpu_millis: 1_600,
                    memory_mb: 64,
                    accelerators: 0,
                };
                let work = self.jobs.get(&run.task.job).map_or(MILLI, |job| job.work);
                let start = VirtualStart {
                    run,
                    room,
                    work,
                    hold_until_ms,
                    token,
                    target,
                };
                self.order_start(side, life, start);
            }
            AgentEffect::StopRun { run, token } => self.order_stop(side, life, run, token),
            AgentEffect::Look {
                number,
                hold_until_ms,
                token,
                last_seen,
                wait,
                target,
            } => {
                let look = VirtualLook {
                    hold_until_ms,
                    token,
                    last_seen,
                    target,
                };
                let open = OpenLook { number, life, look };
                self.order_look(side, open, wait.as_micros() as u64);
            }
            AgentEffect::Entries(_)
            | AgentEffect::Document(_)
            | AgentEffect::TargetKnown(_)
            | AgentEffect::Decided(_)
            | AgentEffect::Drained => {}
        }
    }

    /// What becomes of the next call to a target.
    fn call_fate(&mut self, side: usize) -> CallFate {
        let slot = &mut self.targets[side];
        slot.calls += 1;
        let Some(target) = &slot.target else {
            return match slot.is_dark {
                true => CallFate::Lost,
                false => CallFate::Refused,
            };
        };
        match target.mood {
            TargetMood::AppliesLate(every) if slot.calls.is_multiple_of(every) => {
                CallFate::Late(self.rng.random_range(2_000_000..12_000_000))
            }
            TargetMood::LosesAnswers(every) if slot.calls.is_multiple_of(every) => {
                CallFate::Unanswered
            }
            _ => CallFate::Done,
        }
    }

    fn side_input(&mut self, delay: u64, side: usize, life: u64, event: AgentEvent) {
        let event = Box::new(event);
        self.later(delay, Act::SideInput { side, life, event });
    }

    fn order_start(&mut self, side: usize, life: u64, start: VirtualStart) {
        let run = start.run;
        let start = Box::new(start);
        let outcome = |outcome| AgentEvent::OrderAnswered { run, outcome };
        let arrives = |is_answered| Act::TargetStart {
            side,
            life,
            start: start.clone(),
            is_answered,
        };
        match self.call_fate(side) {
            CallFate::Done => self.later(TARGET_DELAY, arrives(true)),
            CallFate::Unanswered => {
                self.later(TARGET_DELAY, arrives(false));
                self.side_input(ORDER_LIMIT, side, life, outcome(OrderOutcome::NoAnswer));
            }
            CallFate::Late(delay) => {
                self.later(delay, arrives(false));
                self.side_input(ORDER_LIMIT, side, life, outcome(OrderOutcome::NoAnswer));
            }
            CallFate::Lost => {
                self.side_input(ORDER_LIMIT, side, life, outcome(OrderOutcome::NoAnswer));
            }
            CallFate::Refused => {
                self.side_input(TARGET_DELAY, side, life, outcome(OrderOutcome::Unreachable));
            }
        }
    }

    fn order_stop(&mut self, side: usize, life: u64, run: RunId, token: u64) {
        let failed = AgentEvent::StopAnswered {
            run,
            is_acknowledged: false,
        };
        let arrives = |is_answered| Act::TargetStop {
            side,
            life,
            run,
            token,
            is_answered,
        };
        match self.call_fate(side) {
            CallFate::Done => self.later(TARGET_DELAY, arrives(true)),
            CallFate::Unanswered => {
                self.later(TARGET_DELAY, arrives(false));
                self.side_input(ORDER_LIMIT, side, life, failed);
            }
            CallFate::Late(delay) => {
                self.later(delay, arrives(false));
                self.side_input(ORDER_LIMIT, side, life, failed);
            }
            CallFate::Lost => self.side_input(ORDER_LIMIT, side, life, failed),
            CallFate::Refused => self.side_input(TARGET_DELAY, side, life, failed),
        }
    }

    fn order_look(&mut self, side: usize, open: OpenLook, wait: u64) {
        let (number, life) = (open.number, open.life);
        let looked = |failure| AgentEvent::Looked {
            number,
            result: Err(failure),
        };
        match self.call_fate(side) {
            CallFate::Done => {
                let open = Box::new(open);
                self.later(TARGET_DELAY, Act::TargetLook { side, open, wait });
            }
            CallFate::Refused => {
                self.side_input(TARGET_DELAY, side, life, looked(LookFailure::Refused));
            }
            CallFate::Late(_) | CallFate::Unanswered | CallFate::Lost => {
                self.side_input(wait + LOOK_LIMIT, side, life, looked(LookFailure::Silent));
            }
        }
    }

    fn target_start(&mut self, side: usize, life: u64, start: &VirtualStart, is_answered: bool) {
        self.advance_target(side);
        let now = self.now;
        let Some(target) = &mut self.targets[side].target else {
            return;
        };
        let (outcome, has_begun) = target.start(now, start);
        if has_begun {
            self.audit.run_started(now, side, start.run);
        }
        self.wake_target(side);
        if is_answered {
            let run = start.run;
            let event = AgentEvent::OrderAnswered { run, outcome };
            self.side_input(TARGET_DELAY, side, life, event);
        }
    }

    fn target_stop(&mut self, side: usize, life: u64, run: RunId, token: u64, is_answered: bool) {
        self.advance_target(side);
        let now = self.now;
        let Some(target) = &mut self.targets[side].target else {
            return;
        };
        let is_acknowledged = target.stop(now, run, token);
        self.wake_target(side);
        if is_answered {
            let event = AgentEvent::StopAnswered {
                run,
                is_acknowledged,
            };
            self.side_input(TARGET_DELAY, side, life, event);
        }
    }

    fn target_look(&mut self, side: usize, open: OpenLook, wait: u64) {
        self.advance_target(side);
        let number = open.number;
        // The hold is renewed when the look arrives, not when it is answered.
        if let Some(target) = &mut self.targets[side].target {
            let _ = target.look(self.now, &open.look);
        }
        self.targets[side].open_look = Some(open);
        self.wake_target(side);
        if wait == 0 || self.has_news(side) {
            self.answer_look(side, Some(number));
        } else {
            self.later(wait, Act::LookWaited { side, number });
        }
    }

    fn has_news(&mut self, side: usize) -> bool {
        let slot = &mut self.targets[side];
        let (Some(target), Some(open)) = (&mut slot.target, &slot.open_look) else {
            return false;
        };
        let view = target.look(self.now, &open.look);
        view.is_err() || view.is_ok_and(|view| !view.finished.is_empty())
    }

    fn answer_look(&mut self, side: usize, number: Option<u64>) {
        let slot = &mut self.targets[side];
        let is_open = slot
            .open_look
            .as_ref()
            .is_some_and(|open| number.is_none_or(|number| number == open.number));
        if !is_open {
            return;
        }
        let (Some(open), Some(target)) = (slot.open_look.take(), &mut slot.target) else {
            return;
        };
        let result: Result<TargetView, LookFailure> = target.look(self.now, &open.look);
        let event = AgentEvent::Looked {
            number: open.number,
            result,
        };
        self.side_input(TARGET_DELAY, side, open.life, event);
    }

    fn advance_target(&mut self, side: usize) {
        let now = self.now;
        let Some(target) = &mut self.targets[side].target else {
            return;
        };
        let ends = target.advance(now);
        let has_ended = !ends.is_empty();
        for end in ends {
            self.audit.run_ended(side, end.run, end.is_done);
        }
        if has_ended {
            self.answer_look(side, None);
        }
        self.wake_target(side);
    }

    fn wake_target(&mut self, side: usize) {
        let slot = &mut self.targets[side];
        let Some(next) = slot.target.as_ref().and_then(VirtualTarget::next_end) else {
            return;
        };
        let at = next.max(self.now + 1);
        if slot.due_at.is_none_or(|due| at < due || due <= self.now) {
            slot.due_at = Some(at);
            self.schedule.add(at, Act::TargetDue { side });
        }
    }

    fn submit_now(&mut self, id: JobId, entry: usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.tries += 1;
        let request = job.request.clone();
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        let node = &self.entries[entry];
        let is_down = node.core.is_none();
        let known = Caller {
            job: id,
            entry,
            entry_life: node.life,
            handed_in: self.now,
            was_disturbed: is_down || node.frozen_until > self.now,
        };
        self.callers.insert(caller, known);
        if is_down {
            self.caller_lost(caller);
            return;
        }
        let policy = QueuePolicy {
            name: Arc::from("queue"),
            service: Arc::from("service"),
            priority: 0,
            max_attempts: 4,
            stretch: 1.6,
            allowance: Duration::from_millis(60),
            version: 1,
        };
        let event = SchedulerEvent::Submit {
            caller,
            job: request,
            policy: Arc::new(policy),
            time_left: Duration::from_micros(CALLER_TIME),
            wall: WallTime::from_millis(1_700_000_000_000 + self.now / MILLI),
        };
        let slack = CALLER_TIME + ANSWER_SLACK;
        self.later(slack, Act::CallerTimeout { caller });
        if self.entries[entry].frozen_until > self.now {
            // The request waits in the socket; the caller leaves before it is read.
            return;
        }
        self.step_entry(entry, event);
    }

    fn caller_answered(&mut self, caller: CallerId, answer: JobAnswer) {
        let Some(known) = self.callers.remove(&caller) else {
            return;
        };
        let Some(job) = self.jobs.get(&known.job) else {
            return;
        };
        let steps = &job.request.steps;
        let tasks = (0..steps[0].count).map(|index| TaskRef {
            job: known.job,
            step: 0,
            index,
        });
        let tasks: Vec<TaskRef> = tasks.collect();
        self.audit.answered(known.job, answer, &tasks);
        if answer == JobAnswer::TimedOut {
            self.resend(known.job);
        }
    }

    fn caller_timeout(&mut self, caller: CallerId) {
        let Some(known) = self.callers.get(&caller).cloned() else {
            return;
        };
        let is_same_life = self.entries[known.entry].life == known.entry_life;
        if !known.was_disturbed && is_same_life {
            self.audit.unanswered(known.job, known.handed_in);
        }
        self.caller_lost(caller);
        if is_same_life && self.entries[known.entry].frozen_until <= self.now {
            self.step_entry(known.entry, SchedulerEvent::Abandon { caller });
        }
    }

    fn caller_lost(&mut self, caller: CallerId) {
        if let Some(known) = self.callers.remove(&caller) {
            self.unanswered.insert(known.job);
            self.resend(known.job);
        }
    }

    fn resend(&mut self, id: JobId) {
        let tries = self.jobs.get(&id).map_or(MAX_TRIES, |job| job.tries);
        if tries < MAX_TRIES {
            let entry = self.rng.random_range(0..self.settings.entries);
            self.later(RESEND_AFTER, Act::Submit { job: id, entry });
        }
    }

    fn strike(&mut self, fault: JobFault) {
        match fault {
            JobFault::KillEntry { entry, down } => {
                self.kill_entry(entry);
                self.later(down.as_micros() as u64, Act::StartEntry { entry });
            }
            JobFault::FreezeEntry { entry, time } => {
                let until = self.now + time.as_micros() as u64;
                self.entries[entry].frozen_until = until;
                let disturbed = self
                    .callers
                    .values_mut()
                    .filter(|caller| caller.entry == entry);
                disturbed.for_each(|caller| caller.was_disturbed = true);
            }
            JobFault::KillSide { side, down } => {
                self.kill_side(side);
                self.later(down.as_micros() as u64, Act::StartSide { side });
            }
            JobFault::FreezeSide { side, time } => {
                self.sides[side].frozen_until = self.now + time.as_micros() as u64;
            }
            JobFault::CutLink {
                entry,
                side,
                direction,
                time,
            } => {
                let until = self.now + time.as_micros() as u64;
                let cut = self.cuts.entry((entry, side)).or_default();
                if direction != Direction::ToEntry {
                    cut.to_side_until = until;
                }
                if direction != Direction::ToSide {
                    cut.to_entry_until = until;
                }
            }
            JobFault::ResetLink { entry, side } => self.reset_link(entry, side),
            JobFault::CrashTarget {
                side,
                down,
                is_dark,
            } => {
                self.crash_target(side, is_dark);
                self.later(down.as_micros() as u64, Act::StartTarget { side });
            }
            JobFault::Mood { side, mood, time } => {
                if let Some(target) = &mut self.targets[side].target {
                    target.mood = mood;
                }
                self.later(time.as_micros() as u64, Act::MoodOver { side });
            }
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        node.core = None;
        node.life += 1;
        let open: Vec<SessionId> = node.open.drain().collect();
        for session in open {
            let Some((_, side)) = self.sessions.get(&session).copied() else {
                continue;
            };
            let life = self.sides[side].life;
            let at = self.arrival(session, true);
            self.schedule.add(
                at,
                Act::DownAtSide {
                    side,
                    life,
                    session,
                },
            );
        }
        let lost = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.entry == entry);
        let lost: Vec<CallerId> = lost.map(|(caller, _)| *caller).collect();
        lost.into_iter().for_each(|caller| self.caller_lost(caller));
    }

    fn kill_side(&mut self, side: usize) {
        let node = &mut self.sides[side];
        node.core = None;
        node.life += 1;
        self.targets[side].open_look = None;
        let open: Vec<SessionId> = self.sides[side].open.drain().collect();
        for session in open {
            let Some((entry, _)) = self.sessions.get(&session).copied() else {
                continue;
            };
            let life = self.entries[entry].life;
            let at = self.arrival(session, false);
            self.schedule.add(
                at,
                Act::DownAtEntry {
                    entry,
                    life,
                    session,
                },
            );
        }
    }

    fn reset_link(&mut self, entry: usize, side: usize) {
        let open = self.sides[side].open.iter();
        let found = open
            .copied()
            .find(|session| self.sessions.get(session) == Some(&(entry, side)));
        let Some(session) = found else {
            return;
        };
        self.entries[entry].open.remove(&session);
        self.sides[side].open.remove(&session);
        self.step_entry(entry, SchedulerEvent::LinkDown { session });
        self.step_side(side, AgentEvent::LinkDown { session });
        self.redial(session);
    }

    fn crash_target(&mut self, side: usize, is_dark: bool) {
        self.advance_target(side);
        let slot = &mut self.targets[side];
        slot.is_dark = is_dark;
        let Some(target) = slot.target.take() else {
            return;
        };
        let open = slot.open_look.take();
        for run in target.running() {
            self.audit.run_ended(side, run, false);
        }
        if let Some(open) = open {
            let failure = match is_dark {
                true => LookFailure::Silent,
                false => LookFailure::Refused,
            };
            let event = AgentEvent::Looked {
                number: open.number,
                result: Err(failure),
            };
            self.side_input(LOOK_LIMIT, side, open.life, event);
        }
    }
}

/// What becomes of a call to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallFate {
    Done,
    Unanswered,
    Late(u64),
    Lost,
    Refused,
}
