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

use super::action::Action;
use super::draining::{DrainVariant, nothing_drained};
use super::limited_links::{LinkRecord, Pipe};
use super::node::Node;
use super::profile_store::ProfileStore;
use super::target_slot::TargetSlot;
use super::variants::TargetNaming;
use super::virtual_target::TargetBehaviour;
use super::{JobAudit, JobFaultPlan, StepRecord, TaskCrash};
use crate::system::Schedule;

/// Delay in one direction between an entry and a side, in microseconds.
pub(super) const LINK_DELAY: u64 = 900;
/// Delay in one direction between a side and its target, in microseconds.
pub(super) const TARGET_DELAY: u64 = 100;
/// Interval between two heartbeats of a target, in microseconds.
pub(super) const HEARTBEAT_INTERVAL: u64 = 1_500_000;
/// Time after which a caller without a result submits its job again, in microseconds.
pub(super) const RESEND_AFTER: u64 = 1_300_000;
/// Time for which a caller waits for an answer, in microseconds.
pub(super) const CALLER_TIME: u64 = 2_000_000;
/// Time by which an answer may be late, in microseconds.
pub(super) const ANSWER_SLACK: u64 = 60_000;
/// Maximum number of submissions of a job.
pub(super) const MAX_TRIES: u32 = 3;
/// Number of halls. Entries, sides and targets are assigned to them in turn.
pub(super) const HALLS: usize = 3;
/// Default maximum time for which targets hold their runs without a renewal.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// Number of microseconds in a millisecond.
pub(super) const MILLI: u64 = 1_000;

/// Settings of a [`JobSystem`].
#[derive(Clone, Copy, Debug)]
pub struct JobSystemSettings {
    /// Number of entries.
    pub entries: usize,
    /// Number of sides, each of which has a target.
    pub sides: usize,
    /// Processor capacity of a target, in thousandths of a core.
    pub cpu_millis: u32,
    /// Bandwidth of an entry's link in each direction, in bytes per second; `None` means unlimited.
    pub entry_link: Option<u64>,
    /// Number of links that an entry uses for starts; `None` keeps the scheduler's defaults.
    pub active_links: Option<usize>,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Times until which a link delivers nothing in each direction, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Disconnection {
    pub(super) to_side_until: u64,
    pub(super) to_entry_until: u64,
}

/// Caller that waits for the answer to one submission of a job.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) job: JobId,
    pub(super) entry: usize,
    pub(super) entry_incarnation: u64,
    pub(super) submitted_at: u64,
    /// Whether a fault of the entry may prevent the answer, so that a missing answer is no violation.
    pub(super) may_miss_answer: bool,
    /// Whether the caller's request was delayed on its way.
    pub(super) is_delayed: bool,
}

/// Job that callers submit, with the state of its submissions.
#[derive(Clone, Debug)]
pub(super) struct VirtualJob {
    pub(super) request: JobRequest,
    /// Run time of each task, in microseconds.
    pub(super) work: u64,
    /// Queue to which the job is submitted.
    pub(super) queue: Arc<str>,
    /// Number of submissions so far.
    pub(super) tries: u32,
    /// Number of retries after a refusal.
    pub(super) returns: u32,
    /// Whether the callers have left and submit the job no more.
    pub(super) has_left: bool,
    /// Whether a caller has cancelled the job. No caller submits it again after that; requests that are in transit
    /// arrive.
    pub(super) is_cancelled: bool,
}

/// Simulation of entries, sides, fake targets and callers in virtual time.
pub struct JobSystem {
    pub(super) settings: JobSystemSettings,
    pub(super) now: u64,
    pub(super) schedule: Schedule<Action>,
    pub(super) rng: StdRng,
    pub(super) entries: Vec<Node<JobScheduler>>,
    pub(super) sides: Vec<Node<TargetAgent>>,
    pub(super) targets: Vec<TargetSlot>,
    /// Current and past disconnections of links, by entry and side.
    pub(super) disconnections: HashMap<(usize, usize), Disconnection>,
    /// Entry and side of each session.
    pub(super) sessions: HashMap<SessionId, (usize, usize)>,
    /// Links that deliver nothing any more, without a reset.
    pub(super) silenced: HashSet<SessionId>,
    /// Time at which each link was opened, in microseconds.
    pub(super) opened: HashMap<SessionId, u64>,
    pub(super) backoffs: HashMap<(usize, usize), DialBackoff>,
    /// Latest arrival time in each direction of a session, in microseconds; `true` is the direction to the side.
    pub(super) last_arrival: HashMap<(SessionId, bool), u64>,
    pub(super) next_session: u64,
    pub(super) next_caller: u64,
    pub(super) callers: BTreeMap<CallerId, Caller>,
    /// Number of messages about cancelled jobs that entries and sides have sent to each other.
    pub(super) cancel_messages: u64,
    /// Whether sides ignore cancels and answer that no entry has the job, which is wrong.
    pub(super) ignores_cancels: bool,
    /// Jobs of the cancels that have not been answered.
    pub(super) cancels: BTreeMap<CallerId, JobId>,
    pub(super) jobs: BTreeMap<JobId, VirtualJob>,
    /// Jobs of which a caller received no answer.
    pub(super) unanswered: BTreeSet<JobId>,
    /// Whether the processes read a clock that stops while their VM is suspended.
    pub(super) clocks_stop_during_suspension: bool,
    /// Whether the reports of targets always state their initial capacity.
    pub(super) hides_resizes: bool,
    /// Whether targets keep their names over a restart, and how incarnations are distinguished.
    pub(super) target_naming: TargetNaming,
    /// Speeds in percent, assigned to the targets in turn; empty if all targets are alike.
    pub(super) speeds: Vec<u64>,
    /// Maximum time for which targets hold their runs without a renewal.
    pub(super) max_hold: Duration,
    /// Whether targets start runs that exceed their capacity.
    pub(super) disables_capacity_checks: bool,
    /// Tasks that every target runs as if the target had this behaviour.
    pub(super) task_behaviours: HashMap<TaskRef, TargetBehaviour>,
    /// Tasks that crash the targets on which they start.
    pub(super) crashing: HashMap<TaskRef, TaskCrash>,
    pub(super) audit: JobAudit,
    /// Number of runs listed by targets that no entry claimed when their side reconciled them.
    pub(super) runs_unclaimed: u64,
    /// Outgoing and incoming queue of each entry's link.
    pub(super) pipes: Vec<(Pipe, Pipe)>,
    /// Time until which each entry's link has a tenth of its bandwidth, in microseconds.
    pub(super) throttled_until: Vec<u64>,
    pub(super) link_record: LinkRecord,
    pub(super) entry_steps: StepRecord,
    pub(super) side_steps: StepRecord,
    /// Configuration in the store.
    pub(super) published: Option<ConfigDocument>,
    pub(super) is_store_reachable: bool,
    /// Drained halls in the store.
    pub(super) drained: Arc<DrainedHalls>,
    /// Time at which each drained hall was drained, in microseconds.
    pub(super) drained_at: BTreeMap<Hall, u64>,
    /// Time until which each entry is disconnected from the store, in microseconds.
    pub(super) store_unreachable_until: Vec<u64>,
    /// Variant of how the processes handle updates of drained halls.
    pub(super) drain_variant: DrainVariant,
    /// Number of updates of drained halls that the variant `LastMessageWins` has marked as the newest.
    pub(super) renumbered_updates: u64,
    /// Profiles of targets in the store, by side.
    pub(super) stored_target_profiles: HashMap<usize, TargetProfile>,
    /// Learned profile in the store.
    pub(super) profile_store: ProfileStore,
    /// State of the learned profile at each entry.
    pub(super) ledgers: Vec<ProfileLedger>,
    /// Last grant of each side if each grant is sent to two entries; `None` otherwise.
    pub(super) repeated_grants: Option<HashMap<usize, CapacityGrant>>,
    /// Weights of halls in the store.
    pub(super) share_weights: Arc<ShareWeights>,
    /// Settings of the decisions on scarce capacity.
    pub(super) scarcity: ScarcitySettings,
    /// Priorities of queues. Queues without a priority have the highest.
    pub(super) priorities: HashMap<Arc<str>, u32>,
    /// Maximum number of retries of a refused caller, each at the time that the refusal named.
    pub(super) max_returns: u32,
    /// Time until which messages of callers to each entry are delayed, in microseconds.
    pub(super) requests_delayed_until: Vec<u64>,
}

impl JobSystem {
    /// Creates a system whose processes have just started.
    pub fn new(settings: JobSystemSettings) -> Self {
        Self::with_scarcity(settings, ScarcitySettings::default())
    }

    /// Creates a system like [`JobSystem::new`], with other settings of the decisions on scarce capacity.
    pub fn with_scarcity(settings: JobSystemSettings, scarcity: ScarcitySettings) -> Self {
        let mut system = Self {
            settings,
            now: 0,
            schedule: Schedule::new(),
            rng: StdRng::seed_from_u64(settings.seed),
            entries: (0..settings.entries).map(|_| Node::new()).collect(),
            sides: (0..settings.sides).map(|_| Node::new()).collect(),
            targets: Vec::new(),
            disconnections: HashMap::new(),
            sessions: HashMap::new(),
            silenced: HashSet::new(),
            opened: HashMap::new(),
            backoffs: HashMap::new(),
            last_arrival: HashMap::new(),
            next_session: 1,
            next_caller: 1,
            callers: BTreeMap::new(),
            cancel_messages: 0,
            ignores_cancels: false,
            cancels: BTreeMap::new(),
            jobs: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            clocks_stop_during_suspension: false,
            hides_resizes: false,
            target_naming: TargetNaming::PerIncarnation,
            speeds: Vec::new(),
            max_hold: MAX_HOLD,
            disables_capacity_checks: false,
            task_behaviours: HashMap::new(),
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
            store_unreachable_until: vec![0; settings.entries],
            drain_variant: DrainVariant::Correct,
            renumbered_updates: 0,
            stored_target_profiles: HashMap::new(),
            profile_store: ProfileStore::default(),
            ledgers: vec![ProfileLedger::default(); settings.entries],
            repeated_grants: None,
            share_weights: Arc::default(),
            scarcity,
            priorities: HashMap::new(),
            max_returns: 0,
            requests_delayed_until: vec![0; settings.entries],
        };
        for _ in 0..settings.sides {
            system.targets.push(TargetSlot {
                target: None,
                target_incarnation: 0,
                is_silent: false,
                calls: 0,
                stops: 0,
                open_probe: None,
                due_at: None,
                reports_delayed_until: 0,
                last_report_number: 0,
                inferred_restarts: 0,
            });
        }
        (0..settings.sides).for_each(|side| system.start_target(side));
        (0..settings.entries).for_each(|entry| system.start_entry(entry));
        (0..settings.sides).for_each(|side| system.start_side(side));
        system
    }

    /// Schedules a fault.
    pub fn plan(&mut self, plan: JobFaultPlan) {
        let at = plan.at.as_micros() as u64;
        self.schedule.add(at, Action::Fault(plan.fault));
    }

    /// Runs the simulation until a time since the start.
    pub fn run_until(&mut self, until: Duration) {
        let until = until.as_micros() as u64;
        while let Some(at) = self.schedule.next_at().filter(|at| *at <= until) {
            let Some((_, action)) = self.schedule.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.perform(action);
        }
        self.now = until;
    }

    /// Returns the time shown by the clock of a process whose VM was suspended for the given time.
    pub(super) fn moment(&self, suspended_for: u64) -> Moment {
        Moment::from_micros(self.now - self.clock_lag(suspended_for))
    }

    /// Returns the lag of the clock of a process whose VM was suspended for the given time, in microseconds.
    pub(super) fn clock_lag(&self, suspended_for: u64) -> u64 {
        match self.clocks_stop_during_suspension {
            true => suspended_for,
            false => 0,
        }
    }

    pub(super) fn schedule_in(&mut self, delay: u64, action: Action) {
        self.schedule.add(self.now + delay, action);
    }

    pub(super) fn perform(&mut self, action: Action) {
        if let Some(until) = self.paused_until(&action) {
            self.schedule.add(until, action);
            return;
        }
        match action {
            Action::Dial { entry, side } => self.dial(entry, side),
            Action::ToEntry {
                entry,
                incarnation,
                session,
                report,
            } => {
                let node = &self.entries[entry];
                if node.incarnation == incarnation && node.open.contains(&session) {
                    let mut reports = vec![*report];
                    self.distort_report(&mut reports[0]);
                    self.repeat_grant(session, &mut reports[0]);
                    self.step_entry(entry, SchedulerEvent::FromSide { session, reports });
                }
            }
            Action::ToSide {
                side,
                incarnation,
                session,
                order,
            } => {
                let node = &self.sides[side];
                if node.incarnation == incarnation && node.open.contains(&session) {
                    let mut orders = vec![*order];
                    self.distort_order(&mut orders[0]);
                    self.step_side(side, AgentEvent::FromEntry { session, orders });
                }
            }
            Action::LinkDownAtEntry {
                entry,
                incarnation,
                session,
            } => {
                if self.entries[entry].incarnation == incarnation
                    && self.entries[entry].open.remove(&session)
                {
                    self.step_entry(entry, SchedulerEvent::LinkDown { session });
                }
            }
            Action::LinkDownAtSide {
                side,
                incarnation,
                session,
            } => {
                if self.sides[side].incarnation == incarnation
                    && self.sides[side].open.remove(&session)
                {
                    self.step_side(side, AgentEvent::LinkDown { session });
                    self.redial(session);
                }
            }
            Action::TickEntry { entry, incarnation } => {
                let node = &mut self.entries[entry];
                if node.incarnation == incarnation && node.takes_tick(self.now) {
                    self.step_entry(entry, SchedulerEvent::Tick);
                }
            }
            Action::TickSide { side, incarnation } => {
                let node = &mut self.sides[side];
                if node.incarnation == incarnation && node.takes_tick(self.now) {
                    self.step_side(side, AgentEvent::Tick);
                }
            }
            Action::SideInput {
                side,
                incarnation,
                event,
            } => {
                if self.sides[side].incarnation == incarnation {
                    let mut event = event;
                    self.distort_target_event(side, &mut event);
                    self.step_side(side, *event);
                }
            }
            Action::TargetStart {
                side,
                incarnation,
                target_incarnation,
                start,
                is_answered,
            } => {
                self.target_start(side, incarnation, target_incarnation, &start, is_answered);
            }
            Action::TargetStop {
                side,
                incarnation,
                run,
                token,
                is_answered,
            } => {
                self.target_stop(side, incarnation, run, token, is_answered);
            }
            Action::TargetProbe { side, open, wait } => self.target_probe(side, *open, wait),
            Action::ProbeWaited { side, number } => self.answer_probe(side, Some(number)),
            Action::ProbeAnswered {
                side,
                target_incarnation,
                open,
                result,
            } => self.probe_answered(side, target_incarnation, &open, result),
            Action::TargetDue { side } => self.advance_target(side),
            Action::CrashTargetOfRun {
                side,
                target_incarnation,
                run,
            } => self.crash_target_of_run(side, target_incarnation, run),
            Action::Heartbeat {
                side,
                target_incarnation,
            } => self.send_heartbeat(side, target_incarnation),
            Action::TargetProfileRead { side, incarnation } => {
                self.target_profile_read(side, incarnation)
            }
            Action::Submit { job, entry } => self.submit_now(job, entry),
            Action::Cancel { job, entry } => self.cancel_now(job, entry),
            Action::CallersLeaveEntry { job, entry } => self.callers_leave_entry(job, entry),
            Action::CallersLeave { job } => self.callers_leave(job),
            Action::Abandon {
                entry,
                incarnation,
                caller,
            } => {
                if self.entries[entry].incarnation == incarnation {
                    self.step_entry(entry, SchedulerEvent::Abandon { caller });
                }
            }
            Action::CallerTimeout { caller } => self.caller_timeout(caller),
            Action::FromCaller {
                entry,
                incarnation,
                event,
            } => self.deliver_delayed(entry, incarnation, *event),
            Action::Fault(fault) => self.apply_fault(fault),
            Action::StartEntry { entry } if self.entries[entry].core.is_some() => {}
            Action::StartSide { side } if self.sides[side].core.is_some() => {}
            Action::StartEntry { entry } => self.start_entry(entry),
            Action::StartSide { side } => self.start_side(side),
            // A second crash may have been scheduled while the target was down.
            Action::StartTarget { side } if self.targets[side].target.is_some() => {}
            Action::StartTarget { side } => self.start_target(side),
            Action::SegmentSent {
                entry,
                is_to_side,
                session,
                bytes,
            } => self.segment_sent(entry, is_to_side, session, bytes),
            Action::Publish(document) => self.published = Some(document),
            Action::Published { entry, document } => self.take_document(entry, document),
            Action::Drain { hall } => self.drain_hall(hall),
            Action::Return { hall } => self.return_hall(hall),
            Action::ReadDrained { entry, incarnation } => self.read_drained(entry, incarnation),
            Action::CheckProfile { entry, incarnation } => self.check_profile(entry, incarnation),
            Action::ProfileAnswered {
                entry,
                incarnation,
                answer,
            } => self.profile_answered(entry, incarnation, *answer),
            Action::SetShareWeights { halls } => self.write_share_weights(halls),
            Action::ReadShareWeights { entry, incarnation } => {
                self.read_share_weights(entry, incarnation)
            }
            Action::ResizeOver { side } => self.resize_target(side, self.settings.cpu_millis),
            Action::MisbehaviourOver { side } => {
                if let Some(target) = &mut self.targets[side].target {
                    target.behaviour = TargetBehaviour::Healthy;
                }
            }
        }
    }

    /// Returns the time at which a paused process resumes if the action has to wait for it.
    pub(super) fn paused_until(&self, action: &Action) -> Option<u64> {
        let until = match action {
            Action::ToEntry { entry, .. }
            | Action::LinkDownAtEntry { entry, .. }
            | Action::TickEntry { entry, .. }
            | Action::FromCaller { entry, .. }
            | Action::CheckProfile { entry, .. }
            | Action::ProfileAnswered { entry, .. } => self.entries[*entry].paused_until,
            Action::ToSide { side, .. }
            | Action::LinkDownAtSide { side, .. }
            | Action::TickSide { side, .. }
            | Action::TargetProfileRead { side, .. }
            | Action::SideInput { side, .. } => self.sides[*side].paused_until,
            _ => 0,
        };
        (until > self.now).then_some(until)
    }
}

/// Outcome of a call to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// The call is applied and answered.
    Done,
    /// The call is applied, and its answer is lost.
    Unanswered,
    /// The call is applied after this delay in microseconds, and is not answered.
    Late(u64),
    /// The call does not arrive, and is not answered.
    Lost,
    /// The target refuses the connection.
    Refused,
}
