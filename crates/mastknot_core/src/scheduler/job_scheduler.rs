use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::active_job::ActiveJob;
use super::active_links::ActiveLinks;
use super::cancel_state::{CancelledJob, PendingCancel};
use super::cancelling::MAX_CANCELLED;
use super::class_slowdowns::ClassSlowdowns;
use super::containment::Containment;
use super::crash_history::CrashHistory;
use super::demand_forecast::DemandForecast;
use super::held_grants::ReportedNeed;
use super::kind_loads::KindLoads;
use super::learned_priors::LearnedPriors;
use super::run_times::RunTimes;
use super::side_links::PendingHandshake;
use super::side_view::SideView;
use super::yielding::Yielding;
use super::{
    CallerId, OrderKey, SchedulerCounters, SchedulerDecision, SchedulerEffect, SchedulerEvent,
    SchedulerSettings, SessionId,
};
use crate::job::{
    ConfigDocument, DrainedHalls, EntryOrder, JobId, KnownEntry, ShareWeights, TaskKind,
};
use crate::relay::{DocumentFetch, DocumentServer};
use crate::types::{ExpiringMap, Moment, NodeName, stable_hash};

/// The core of an entry, which owns the jobs that callers submit until they are answered.
///
/// A task is sent to a side only when its earlier run is known to be over. Tasks wait here and not at sides, so that
/// capacity that becomes free goes to the job that needs it first.
#[derive(Clone, Debug)]
pub struct JobScheduler {
    pub(super) settings: SchedulerSettings,
    /// Time of the first event.
    pub(super) started_at: Option<Moment>,
    pub(super) jobs: HashMap<JobId, ActiveJob>,
    pub(super) callers: HashMap<CallerId, JobId>,
    pub(super) waiting: BTreeMap<OrderKey, JobId>,
    pub(super) deadlines: BTreeSet<(Moment, JobId)>,
    /// Times at which jobs are refused if none of their tasks has started.
    pub(super) start_timeouts: BTreeSet<(Moment, JobId)>,
    /// Times at which claims of jobs have to be renewed, or their answers are overdue.
    pub(super) claims_due: BTreeSet<(Moment, JobId)>,
    /// Cancelled jobs of which a request may still be in transit.
    pub(super) cancelled: ExpiringMap<JobId, CancelledJob>,
    /// Cancels that callers wait for.
    pub(super) pending_cancels: BTreeMap<JobId, PendingCancel>,
    /// Times at which callers of cancels are answered at the latest.
    pub(super) cancels_due: BTreeSet<(Moment, JobId)>,
    /// Longest time that a caller has waited for an answer, as named in its request.
    pub(super) longest_caller_time: Duration,
    /// Time at which the wait for the first of the lost links ends.
    pub(super) links_awaited_until: Option<Moment>,
    /// Whether no link has been in use since the last one was lost.
    pub(super) is_disconnected: bool,
    pub(super) sides: IndexMap<NodeName, SideView>,
    pub(super) sessions: HashMap<SessionId, NodeName>,
    /// Links whose sides have not answered the welcome yet, oldest first.
    pub(super) pending_handshakes: IndexMap<SessionId, PendingHandshake>,
    /// Earliest time at which a side is due for a heartbeat, counts as silent or has lost its runs. Until then, a step
    /// visits only the side of its event.
    pub(super) sides_due: Option<Moment>,
    /// Whether links came or went since the sides that hold the configuration were chosen.
    pub(super) is_document_holder_choice_stale: bool,
    pub(super) entries: Vec<KnownEntry>,
    /// Digest of the known entries.
    pub(super) entries_digest: u64,
    /// Halls that operators have drained.
    pub(super) drained_halls: Arc<DrainedHalls>,
    /// Weights by which halls share capacity that is short.
    pub(super) weights: Arc<ShareWeights>,
    /// Time at which a job was last submitted to a ranked queue.
    pub(super) last_ranked_submission: Option<Moment>,
    /// Configuration in force.
    pub(super) document: Option<ConfigDocument>,
    pub(super) document_fetch: DocumentFetch<SessionId>,
    pub(super) document_server: DocumentServer<SessionId>,
    pub(super) next_sequence: u64,
    pub(super) run_times: RunTimes,
    /// Crashes of targets, and the tasks that ran on these targets.
    pub(super) crashes: CrashHistory,
    pub(super) kind_loads: KindLoads,
    pub(super) class_slowdowns: ClassSlowdowns,
    pub(super) priors: LearnedPriors,
    /// Kinds of tasks that are limited to a part of the targets.
    pub(super) containment: Containment,
    /// Contained kinds that have their own part of the targets.
    pub(super) kinds_with_own_targets: Vec<TaskKind>,
    /// Time at which the last event was handled.
    pub(super) last_event_at: Moment,
    /// Observations for the forecast.
    pub(super) demand: DemandForecast,
    /// Contended jobs that other jobs yield to while capacity is short for a moment.
    pub(super) yielding: Yielding,
    pub(super) has_reported_waiting: bool,
    /// Whether jobs were submitted to queues that compete by priority.
    pub(super) has_ranked_queues: bool,
    /// Most urgent priority of the queues that compete by priority, for each service.
    pub(super) most_urgent_priorities: HashMap<Arc<str>, u32>,
    /// Need of the waiting tasks that was last reported to sides between heartbeats.
    pub(super) reported_need: Option<ReportedNeed>,
    /// Time at which the first of the held grants expires.
    pub(super) grants_expire_at: Option<Moment>,
    pub(super) active_links: ActiveLinks,
    /// Index of the side that was last notified, where a few sides are notified in turn.
    pub(super) last_notified: usize,
    pub(super) counters: SchedulerCounters,
    pub(super) effects: Vec<SchedulerEffect>,
}

impl JobScheduler {
    /// Creates a scheduler that knows no sides yet.
    pub fn new(settings: SchedulerSettings) -> Self {
        let first_choice = stable_hash(&[&settings.entry]) as usize;
        Self {
            settings,
            started_at: None,
            jobs: HashMap::new(),
            callers: HashMap::new(),
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            start_timeouts: BTreeSet::new(),
            claims_due: BTreeSet::new(),
            cancelled: ExpiringMap::new(MAX_CANCELLED),
            pending_cancels: BTreeMap::new(),
            cancels_due: BTreeSet::new(),
            longest_caller_time: Duration::ZERO,
            links_awaited_until: None,
            is_disconnected: false,
            sides: IndexMap::new(),
            sessions: HashMap::new(),
            pending_handshakes: IndexMap::new(),
            sides_due: None,
            is_document_holder_choice_stale: false,
            entries: Vec::new(),
            entries_digest: 0,
            drained_halls: Arc::default(),
            weights: Arc::default(),
            last_ranked_submission: None,
            document: None,
            document_fetch: DocumentFetch::new(first_choice),
            document_server: DocumentServer::default(),
            next_sequence: 0,
            run_times: RunTimes::default(),
            crashes: CrashHistory::default(),
            kind_loads: KindLoads::default(),
            class_slowdowns: ClassSlowdowns::default(),
            priors: LearnedPriors::default(),
            containment: Containment::default(),
            kinds_with_own_targets: Vec::new(),
            last_event_at: Moment::default(),
            demand: DemandForecast::default(),
            yielding: Yielding::default(),
            has_reported_waiting: false,
            has_ranked_queues: false,
            most_urgent_priorities: HashMap::new(),
            reported_need: None,
            grants_expire_at: None,
            active_links: ActiveLinks::default(),
            last_notified: 0,
            counters: SchedulerCounters::default(),
            effects: Vec::new(),
        }
    }

    /// Handles one event, and returns the effects to carry out.
    ///
    /// Whatever has expired is ended first, so that a process that was paused does not act on outdated state.
    pub fn step(&mut self, now: Moment, event: SchedulerEvent) -> Vec<SchedulerEffect> {
        self.started_at.get_or_insert(now);
        self.last_event_at = now;
        self.expire_jobs(now);
        self.expire_start_timeouts(now);
        self.close_silent_links(now);
        self.close_unanswered_handshakes(now);
        self.expire_grants(now);
        self.maintain_claims(now);
        self.maintain_cancels(now);
        self.handle(now, event);
        self.end_lost_runs(now);
        self.release_healthy_kinds(now);
        self.place_waiting(now);
        self.review_waiting(now);
        self.adjust_active_links(now);
        self.send_heartbeats(now);
        self.relay_documents(now);
        self.schedule_sides(now);
        std::mem::take(&mut self.effects)
    }

    fn handle(&mut self, now: Moment, event: SchedulerEvent) {
        match event {
            SchedulerEvent::Submit {
                caller,
                job,
                policy,
                time_left,
                wall,
            } => self.submit(now, caller, job, policy, time_left, wall),
            SchedulerEvent::Abandon { caller } => self.abandon(now, caller),
            SchedulerEvent::Cancel { caller, cancel } => self.cancel(now, caller, cancel),
            SchedulerEvent::FromSide { session, reports } => {
                for report in reports {
                    self.handle_report(now, session, report);
                }
            }
            SchedulerEvent::LinkDown { session } => self.link_down(now, session),
            SchedulerEvent::Entries(entries) => self.set_entries(entries),
            SchedulerEvent::Document(document) => self.set_document(document),
            SchedulerEvent::DrainedHalls(drained) => self.update_drained_halls(now, &drained),
            SchedulerEvent::Learned { profile, wall } => self.apply_learned(now, &profile, wall),
            SchedulerEvent::ShareWeights(weights) => self.update_share_weights(&weights),
            SchedulerEvent::Tick => {}
        }
    }

    /// Returns the number of jobs that are not answered.
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.is_over).count()
    }

    /// Returns the number of jobs with tasks that wait for capacity.
    pub fn waiting_jobs(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of jobs that are held, including answered ones of which a run may still be active.
    pub fn held_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of open jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        let open = self.jobs.values().filter(|job| !job.is_over);
        open.filter(|job| *job.policy.name == *queue && !job.may_have_begun())
            .count()
    }

    /// Returns whether a side of any service takes work.
    pub fn has_ready_side(&self) -> bool {
        self.sides.values().any(SideView::takes_work)
    }

    /// Returns the counters since the start of the scheduler.
    pub fn counters(&self) -> &SchedulerCounters {
        &self.counters
    }

    pub(super) fn send(&mut self, session: SessionId, order: EntryOrder) {
        self.effects.push(SchedulerEffect::Send { session, order });
    }

    pub(super) fn record_decision(&mut self, decision: SchedulerDecision) {
        self.effects.push(SchedulerEffect::Decided(decision));
    }

    /// Returns the next time at which the scheduler has to act even without an event.
    pub fn next_tick(&self) -> Option<Moment> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let start_timeout = self.start_timeouts.first().map(|(at, _)| *at);
        // The completion forecast of the first waiting job becomes worse at this time.
        let worse_forecast = self.waiting.keys().next().map(|key| key.latest_start);
        let worse_forecast = worse_forecast.filter(|at| *at > self.last_event_at);
        deadline
            .into_iter()
            .chain(start_timeout)
            .chain(self.sides_due)
            .chain(self.handshakes_due())
            .chain(worse_forecast)
            .chain(self.yielding_due())
            .chain(self.claims_due())
            .chain(self.cancels_due())
            .chain(self.review_due())
            .chain(self.relay_due())
            .chain(self.active_links_due())
            .chain(self.containment.release_due())
            .chain(self.trials_due())
            .min()
    }
}
