use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::agent::{AgentEvent, DialBackoff, SessionId, TargetAgent};
use mastknot_core::job::{
    CapacityGrant, ConfigDocument, DrainedHalls, JobId, JobRequest, ShareWeights, TargetProfile,
    TaskRef,
};
use mastknot_core::profile::ProfileLedger;
use mastknot_core::scheduler::{CallerId, JobScheduler, ScarcitySettings, SchedulerEvent};
use mastknot_core::types::{Hall, Moment};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::act::Act;
use super::draining::{DrainVariant, nothing_drained};
use super::node::Node;
use super::profile_store::ProfileStore;
use super::target_slot::TargetSlot;
use super::thin_links::{LinkRecord, Pipe};
use super::variants::NamesKept;
use super::virtual_target::TargetBehaviour;
use super::{JobAudit, JobFaultPlan, StepRecord, TaskCrash};
use crate::system::Schedule;

/// One way between an entry and a side, in microseconds.
pub(super) const LINK_DELAY: u64 = 900;
/// One way between a side and its target.
pub(super) const TARGET_DELAY: u64 = 100;
/// Between two heartbeats of a target.
pub(super) const BEAT: u64 = 1_500_000;
/// After this a caller without a result sends its job again.
pub(super) const RESEND_AFTER: u64 = 1_300_000;
/// How long a caller waits.
pub(super) const CALLER_TIME: u64 = 2_000_000;
/// What an answer may be late by.
pub(super) const ANSWER_SLACK: u64 = 60_000;
/// How often a caller sends a job.
pub(super) const MAX_TRIES: u32 = 3;
/// Sides and targets stand in so many halls in turn.
pub(super) const HALLS: usize = 3;
/// How long targets hold their runs at most, as a rule.
const LONGEST_HOLD: Duration = Duration::from_secs(1);
/// A millisecond in microseconds.
pub(super) const MILLI: u64 = 1_000;

/// How a [`JobSystem`] is built.
#[derive(Clone, Copy, Debug)]
pub struct JobSystemSettings {
    /// Entries.
    pub entries: usize,
    /// Sides, each with a target.
    pub sides: usize,
    /// The processor of a target, in thousandths of a core.
    pub cpu_millis: u32,
    /// The bandwidth of an entry's link in each direction, in bytes a second; none is no limit.
    pub entry_link: Option<u64>,
    /// How many links an entry uses for starts as a rule; none is the usual setting.
    pub active_links: Option<usize>,
    /// For everything that is left to chance.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cut {
    pub(super) to_side_until: u64,
    pub(super) to_entry_until: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) job: JobId,
    pub(super) entry: usize,
    pub(super) entry_life: u64,
    pub(super) handed_in: u64,
    pub(super) was_disturbed: bool,
    /// Its request was held up on its way.
    pub(super) is_late: bool,
}

#[derive(Clone, Debug)]
pub(super) struct VirtualJob {
    pub(super) request: JobRequest,
    pub(super) work: u64,
    /// The queue that it is handed in to.
    pub(super) queue: Arc<str>,
    pub(super) tries: u32,
    /// How often its caller has come back after a refusal.
    pub(super) returns: u32,
    /// Its callers have left for good.
    pub(super) has_left: bool,
}

/// Entries, sides, fake targets and callers in virtual time.
pub struct JobSystem {
    pub(super) settings: JobSystemSettings,
    pub(super) now: u64,
    pub(super) schedule: Schedule<Act>,
    pub(super) rng: StdRng,
    pub(super) entries: Vec<Node<JobScheduler>>,
    pub(super) sides: Vec<Node<TargetAgent>>,
    pub(super) targets: Vec<TargetSlot>,
    pub(super) cuts: HashMap<(usize, usize), Cut>,
    pub(super) sessions: HashMap<SessionId, (usize, usize)>,
    /// Links that carry nothing any more.
    pub(super) silenced: HashSet<SessionId>,
    /// When each link was made.
    pub(super) opened: HashMap<SessionId, u64>,
    pub(super) backoffs: HashMap<(usize, usize), DialBackoff>,
    pub(super) last_arrival: HashMap<(SessionId, bool), u64>,
    pub(super) next_session: u64,
    pub(super) next_caller: u64,
    pub(super) callers: BTreeMap<CallerId, Caller>,
    pub(super) jobs: BTreeMap<JobId, VirtualJob>,
    /// Jobs of which a caller got no answer.
    pub(super) unanswered: BTreeSet<JobId>,
    /// Whether the processes read a clock that stands still while their VM is suspended.
    pub(super) has_steady_clocks: bool,
    /// Whether the sides hear only of the room that targets have at first.
    pub(super) hides_resizes: bool,
    /// Whether targets start again under the names that they had.
    pub(super) names_kept: NamesKept,
    /// The speeds of targets in percent, in turn; none if they are alike.
    pub(super) speeds: Vec<u64>,
    /// The longest time for which targets hold their runs.
    pub(super) longest_hold: Duration,
    /// Whether targets start what does not fit.
    pub(super) has_unguarded_targets: bool,
    /// Tasks that every target runs as if it were in this mood.
    pub(super) task_moods: HashMap<TaskRef, TargetBehaviour>,
    /// Tasks that crash the targets on which they start.
    pub(super) crashing: HashMap<TaskRef, TaskCrash>,
    pub(super) audit: JobAudit,
    /// How often a target listed a run that its side had called over.
    pub(super) runs_unclaimed: u64,
    /// Each entry's ways out and in.
    pub(super) pipes: Vec<(Pipe, Pipe)>,
    /// Until when each entry's link carries a tenth of what it usually does.
    pub(super) throttled_until: Vec<u64>,
    pub(super) link_record: LinkRecord,
    pub(super) entry_steps: StepRecord,
    pub(super) side_steps: StepRecord,
    /// What the store has.
    pub(super) published: Option<ConfigDocument>,
    pub(super) is_store_reachable: bool,
    /// The halls that are drained in the store, and when they were.
    pub(super) drained: Arc<DrainedHalls>,
    pub(super) drained_at: BTreeMap<Hall, u64>,
    /// Until when each entry is out of touch with the store.
    pub(super) store_away_until: Vec<u64>,
    /// What a wrong way does with the news of drained halls.
    pub(super) drain_variant: DrainVariant,
    /// How often a wrong way has taken news of drained halls for the newest.
    pub(super) words_heard: u64,
    /// What targets have said of themselves, as the store has it.
    pub(super) remembered_targets: HashMap<usize, TargetProfile>,
    /// What entries have learned, as the store has it.
    pub(super) profile_store: ProfileStore,
    /// What each entry knows of it.
    pub(super) ledgers: Vec<ProfileLedger>,
    /// The last grant of each side, where each is told to two entries.
    pub(super) repeated_grants: Option<HashMap<usize, CapacityGrant>>,
    /// The weights of halls that the store has.
    pub(super) share_weights: Arc<ShareWeights>,
    /// What decides on room that is short.
    pub(super) scarcity: ScarcitySettings,
    /// The priorities of queues; others have the highest.
    pub(super) priorities: HashMap<Arc<str>, u32>,
    /// How often a caller that was refused comes back when it is told to.
    pub(super) most_returns: u32,
    /// Until when what callers send to each entry is held up.
    pub(super) requests_held_until: Vec<u64>,
}

impl JobSystem {
    /// A system whose processes have just started.
    pub fn new(settings: JobSystemSettings) -> Self {
        Self::with_scarcity(settings, ScarcitySettings::default())
    }

    /// The same with other settings of what decides on room that is short.
    pub fn with_scarcity(settings: JobSystemSettings, scarcity: ScarcitySettings) -> Self {
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
            silenced: HashSet::new(),
            opened: HashMap::new(),
            backoffs: HashMap::new(),
            last_arrival: HashMap::new(),
            next_session: 1,
            next_caller: 1,
            callers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            has_steady_clocks: false,
            hides_resizes: false,
            names_kept: NamesKept::None,
            speeds: Vec::new(),
            longest_hold: LONGEST_HOLD,
            has_unguarded_targets: false,
            task_moods: HashMap::new(),
            crashing: HashMap::new(),
            audit: JobAudit::default(),
            runs_unclaimed: 0,
            pipes: vec![Default::default(); settings.entries],
            throttled_until: vec![0; settings.entries],
            link_record: LinkRecord::default(),
            entry_steps: StepRecord::default(),
            side_steps: StepRecord::default(),
            published: None,
            is_store_reachable: true,
            drained: nothing_drained(),
            drained_at: BTreeMap::new(),
            store_away_until: vec![0; settings.entries],
            drain_variant: DrainVariant::Correct,
            words_heard: 0,
            remembered_targets: HashMap::new(),
            profile_store: ProfileStore::default(),
            ledgers: vec![ProfileLedger::default(); settings.entries],
            repeated_grants: None,
            share_weights: Arc::default(),
            scarcity,
            priorities: HashMap::new(),
            most_returns: 0,
            requests_held_until: vec![0; settings.entries],
        };
        for _ in 0..settings.sides {
            system.targets.push(TargetSlot {
                target: None,
                lives: 0,
                is_dark: false,
                calls: 0,
                stops: 0,
                open_look: None,
                due_at: None,
                reports_held_until: 0,
                newest_number: 0,
                births: 0,
            });
        }
        (0..settings.sides).for_each(|side| system.start_target(side));
        (0..settings.entries).for_each(|entry| system.start_entry(entry));
        (0..settings.sides).for_each(|side| system.start_side(side));
        system
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

    /// What the clock of a process shows that was asleep for this long.
    pub(super) fn moment(&self, asleep: u64) -> Moment {
        Moment::from_micros(self.now - self.clock_lag(asleep))
    }

    /// By how much the clock of a process is behind that was asleep for this long.
    pub(super) fn clock_lag(&self, asleep: u64) -> u64 {
        match self.has_steady_clocks {
            true => asleep,
            false => 0,
        }
    }

    pub(super) fn later(&mut self, delay: u64, act: Act) {
        self.schedule.add(self.now + delay, act);
    }

    pub(super) fn act(&mut self, act: Act) {
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
                    let mut reports = vec![*report];
                    self.bend_report(&mut reports[0]);
                    self.repeat_grant(session, &mut reports[0]);
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
                    let mut orders = vec![*order];
                    self.bend_order(&mut orders[0]);
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
                let node = &mut self.entries[entry];
                if node.life == life && node.takes_tick(self.now) {
                    self.step_entry(entry, SchedulerEvent::Tick);
                }
            }
            Act::TickSide { side, life } => {
                let node = &mut self.sides[side];
                if node.life == life && node.takes_tick(self.now) {
                    self.step_side(side, AgentEvent::Tick);
                }
            }
            Act::SideInput { side, life, event } => {
                if self.sides[side].life == life {
                    let mut event = event;
                    self.bend_target_event(side, &mut event);
                    self.step_side(side, *event);
                }
            }
            Act::TargetStart {
                side,
                life,
                lives,
                start,
                is_answered,
            } => {
                self.target_start(side, life, lives, &start, is_answered);
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
            Act::LookAnswered {
                side,
                lives,
                open,
                result,
            } => self.look_answered(side, lives, &open, result),
            Act::TargetDue { side } => self.advance_target(side),
            Act::CrashUnder { side, lives, run } => self.crash_under(side, lives, run),
            Act::Beat { side, lives } => self.beat(side, lives),
            Act::TargetRecalled { side, life } => self.target_recalled(side, life),
            Act::Submit { job, entry } => self.submit_now(job, entry),
            Act::Leave { job } => self.callers_leave(job),
            Act::Abandon {
                entry,
                life,
                caller,
            } => {
                if self.entries[entry].life == life {
                    self.step_entry(entry, SchedulerEvent::Abandon { caller });
                }
            }
            Act::CallerTimeout { caller } => self.caller_timeout(caller),
            Act::FromCaller { entry, life, event } => self.take_late(entry, life, *event),
            Act::Fault(fault) => self.strike(fault),
            Act::StartEntry { entry } if self.entries[entry].core.is_some() => {}
            Act::StartSide { side } if self.sides[side].core.is_some() => {}
            Act::StartEntry { entry } => self.start_entry(entry),
            Act::StartSide { side } => self.start_side(side),
            // A second crash may have come while the target was down.
            Act::StartTarget { side } if self.targets[side].target.is_some() => {}
            Act::StartTarget { side } => self.start_target(side),
            Act::SegmentSent {
                entry,
                is_to_side,
                session,
                bytes,
            } => self.segment_sent(entry, is_to_side, session, bytes),
            Act::Publish(document) => self.published = Some(document),
            Act::Published { entry, document } => self.take_document(entry, document),
            Act::Drain { hall } => self.drain_hall(hall),
            Act::Return { hall } => self.return_hall(hall),
            Act::ReadDrained { entry, life } => self.read_drained(entry, life),
            Act::LookAtProfile { entry, life } => self.look_at_profile(entry, life),
            Act::ProfileAnswered {
                entry,
                life,
                answer,
            } => self.profile_answered(entry, life, *answer),
            Act::SetShareWeights { halls } => self.write_share_weights(halls),
            Act::ReadShareWeights { entry, life } => self.read_share_weights(entry, life),
            Act::ResizeOver { side } => self.resize_target(side, self.settings.cpu_millis),
            Act::MoodOver { side } => {
                if let Some(target) = &mut self.targets[side].target {
                    target.mood = TargetBehaviour::Healthy;
                }
            }
        }
    }

    /// What is for a frozen process waits until it wakes.
    pub(super) fn frozen_until(&self, act: &Act) -> Option<u64> {
        let until = match act {
            Act::ToEntry { entry, .. }
            | Act::DownAtEntry { entry, .. }
            | Act::TickEntry { entry, .. }
            | Act::FromCaller { entry, .. }
            | Act::LookAtProfile { entry, .. }
            | Act::ProfileAnswered { entry, .. } => self.entries[*entry].frozen_until,
            Act::ToSide { side, .. }
            | Act::DownAtSide { side, .. }
            | Act::TickSide { side, .. }
            | Act::TargetRecalled { side, .. }
            | Act::SideInput { side, .. } => self.sides[*side].frozen_until,
            _ => 0,
        };
        (until > self.now).then_some(until)
    }
}

/// What becomes of a call to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallFate {
    Done,
    Unanswered,
    Late(u64),
    Lost,
    Refused,
}
