use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;

use super::answer_times::AnswerTimes;
use super::cancelled_jobs::CancelledJobs;
use super::claim_grace::ClaimGrace;
use super::confirm_times::ConfirmTimes;
use super::crash_log::CrashLog;
use super::directory_digests::DirectoryDigests;
use super::job_claims::JobClaims;
use super::owners::{Owner, OwnerKey};
use super::queued_starts::QueuedStarts;
use super::target_incarnations::TargetIncarnations;
use super::target_link::TargetLink;
use super::target_slowdown::TargetSlowdown;
use super::{
    AgentDecision, AgentEffect, AgentEvent, AgentSettings, HallShares, HallTotals, LeaseEndCause,
    RunPhase, RunTable, SessionId, TargetHealth,
};
use crate::job::{
    Capacity, ConfigDocument, DrainedHalls, EndOfRun, EndedRun, KnownEntry, LinkFeatures, RunId,
    ShareWeights, SideHello, SideReport, TargetCondition, TargetId, TargetProfile,
};
use crate::relay::{DocumentFetch, DocumentServer};
use crate::types::{Moment, NodeName, stable_hash};

/// Link on which the entry has not identified itself yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Handshake {
    /// Time at which the hello was sent.
    pub(super) hello_sent: Moment,
    /// Revision of the drained halls that the hello contained.
    pub(super) drained_revision: u64,
}

/// Probe of the target that is in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeInFlight {
    /// Number of the probe.
    pub(super) number: u64,
    /// Time at which the probe was sent.
    pub(super) sent: Moment,
    /// Fencing token of the probe.
    pub(super) token: u64,
    /// Whether the probe asks the target to hold its runs.
    pub(super) is_held: bool,
    /// Whether the probe names the incarnation of the target, so that any other incarnation refuses
    /// it.
    pub(super) is_named: bool,
    /// Time at which the unanswered probe has failed.
    pub(super) until: Moment,
}

/// Core of a side. Only this agent gives orders to its target.
///
/// The agent runs tasks for entries as long as their leases last, reports the free capacity, and
/// reports how each run ended. A run is reported as ended only after the target has listed its end
/// or fenced it, its hold has expired, or the incarnation of the target has ended.
#[derive(Clone, Debug)]
pub struct TargetAgent {
    pub(super) settings: AgentSettings,
    /// Time of the first event.
    pub(super) started_at: Option<Moment>,
    /// Time at which the last event was handled.
    pub(super) last_event_at: Moment,
    /// Time at which it became known which runs an earlier incarnation of this process had left at
    /// the target.
    pub(super) settled_at: Option<Moment>,
    /// Time at which the surviving runs were last ordered to stop.
    pub(super) survivors_stopped_at: Option<Moment>,
    pub(super) link: TargetLink,
    pub(super) incarnations: TargetIncarnations,
    pub(super) crashes: CrashLog,
    pub(super) health: TargetHealth,
    pub(super) slowdown: TargetSlowdown,
    pub(super) answer_times: AnswerTimes,
    pub(super) confirm_times: ConfirmTimes,
    pub(super) runs: RunTable,
    /// Starts that wait for capacity that is expected soon.
    pub(super) queued: QueuedStarts,
    /// Number of grants of capacity that no entry was known to need.
    pub(super) standing_grants: u64,
    /// Time until which entries that have not yet received the report of scarce capacity may assume
    /// that some is free for all.
    pub(super) shown_until: Moment,
    /// Runs of an earlier incarnation of this process that no entry has taken over yet, with their
    /// progress in percent.
    pub(super) survivors: IndexMap<RunId, u8>,
    /// Ends that were listed before the entries of the runs had identified themselves.
    pub(super) orphaned_ends: Vec<EndedRun>,
    /// Runs that the last probe listed and that no entry owns here.
    pub(super) unclaimed: BTreeSet<RunId>,
    /// Entries that may start runs here, with their leases.
    pub(super) owners: IndexMap<OwnerKey, Owner>,
    /// Start times of ended leases under which some runs are not known to be over.
    pub(super) ended_leases: IndexMap<OwnerKey, Moment>,
    /// Entry incarnation that identified itself on each link.
    pub(super) sessions: IndexMap<SessionId, OwnerKey>,
    /// Claims that decide which entry may start a job.
    pub(super) claims: JobClaims,
    /// Cancelled jobs, which are granted to nobody.
    pub(super) cancelled: CancelledJobs,
    /// Grace period in which only entries that held a job before this start may claim it.
    pub(super) grace: ClaimGrace,
    /// Links on which the entry has not identified itself yet.
    pub(super) handshakes: IndexMap<SessionId, Handshake>,
    pub(super) probe: Option<ProbeInFlight>,
    /// Number of the next probe.
    pub(super) next_probe: u64,
    /// Time before which no further probe is sent.
    pub(super) probe_not_before: Moment,
    /// List of entries that this side holds.
    pub(super) entries: Vec<KnownEntry>,
    pub(super) directory: DirectoryDigests,
    /// Halls that operators have drained.
    pub(super) drained: Arc<DrainedHalls>,
    /// Weights of halls, by which scarce capacity is divided.
    pub(super) weights: Arc<ShareWeights>,
    pub(super) hall_shares: HallShares,
    pub(super) hall_totals: HallTotals,
    /// Newest configuration, held for entries that start while the store is unavailable.
    pub(super) document: Option<ConfigDocument>,
    /// Transfers of the configuration to this side.
    pub(super) fetch: DocumentFetch<SessionId>,
    /// Transfers of the configuration from this side to entries.
    pub(super) documents: DocumentServer<SessionId>,
    pub(super) condition: TargetCondition,
    /// Whether the target is temporarily slower than usual.
    pub(super) is_cold: bool,
    /// Whether the process is shutting down as planned.
    pub(super) is_stopping: bool,
    /// Whether the end of all runs has been reported after the start of the shutdown.
    pub(super) is_drained: bool,
    /// Effects of the event that is being handled.
    pub(super) effects: Vec<AgentEffect>,
}

impl TargetAgent {
    /// Creates an agent without any information about its target.
    pub fn new(settings: AgentSettings) -> Self {
        let first_choice = stable_hash(&[&settings.side]) as usize;
        Self {
            settings,
            started_at: None,
            last_event_at: Moment::default(),
            settled_at: None,
            survivors_stopped_at: None,
            link: TargetLink::default(),
            incarnations: TargetIncarnations::default(),
            crashes: CrashLog::default(),
            health: TargetHealth::default(),
            slowdown: TargetSlowdown::default(),
            answer_times: AnswerTimes::default(),
            confirm_times: ConfirmTimes::default(),
            runs: RunTable::default(),
            queued: QueuedStarts::default(),
            standing_grants: 0,
            shown_until: Moment::default(),
            survivors: IndexMap::new(),
            orphaned_ends: Vec::new(),
            unclaimed: BTreeSet::new(),
            owners: IndexMap::new(),
            ended_leases: IndexMap::new(),
            sessions: IndexMap::new(),
            claims: JobClaims::default(),
            cancelled: CancelledJobs::default(),
            grace: ClaimGrace::default(),
            handshakes: IndexMap::new(),
            probe: None,
            next_probe: 1,
            probe_not_before: Moment::default(),
            entries: Vec::new(),
            directory: DirectoryDigests::default(),
            drained: Arc::default(),
            weights: Arc::default(),
            hall_shares: HallShares::default(),
            hall_totals: HallTotals::default(),
            document: None,
            fetch: DocumentFetch::new(first_choice),
            documents: DocumentServer::default(),
            condition: TargetCondition::Absent,
            is_cold: false,
            is_stopping: false,
            is_drained: false,
            effects: Vec::new(),
        }
    }

    /// Handles one event and returns the resulting effects.
    pub fn step(&mut self, now: Moment, event: AgentEvent) -> Vec<AgentEffect> {
        let started_at = *self.started_at.get_or_insert(now);
        self.last_event_at = now;
        self.end_expired_leases(now);
        self.end_old_offers(now);
        self.end_claims(now);
        self.cancelled.expire(now);
        self.handle(now, event);
        self.settle_target(now, started_at);
        self.end_grace(now);
        self.retry_stops(now);
        self.forget_ended_leases();
        self.stop_survivors(now);
        self.update_condition(now);
        self.update_coldness(now);
        self.serve_queued(now);
        self.ensure_probe(now);
        self.make_offers(now);
        self.report_all(now);
        self.relay_documents(now);
        self.fetch_directory(now);
        self.report_drained();
        std::mem::take(&mut self.effects)
    }

    fn handle(&mut self, now: Moment, event: AgentEvent) {
        match event {
            AgentEvent::LinkUp { session } => self.send_hello(now, session),
            AgentEvent::FromEntry { session, orders } => {
                for order in orders {
                    self.handle_order(now, session, order);
                }
            }
            AgentEvent::LinkDown { session } => self.link_down(now, session),
            AgentEvent::TargetReported(report) => self.target_reported(now, report),
            AgentEvent::TargetRemembered(profile) => self.target_remembered(profile),
            AgentEvent::TargetLeft { target } => self.target_left(now, &target),
            AgentEvent::OrderAnswered { run, outcome } => self.order_answered(now, run, outcome),
            AgentEvent::StopAnswered {
                run,
                is_acknowledged,
            } => self.stop_answered(now, run, is_acknowledged),
            AgentEvent::Probed { number, result } => self.probed(now, number, result),
            AgentEvent::EntriesFound(entries) => self.learn_entries(entries),
            AgentEvent::Tick => {}
            AgentEvent::Stop => self.is_stopping = true,
        }
    }

    fn send_hello(&mut self, now: Moment, session: SessionId) {
        let handshake = Handshake {
            hello_sent: now,
            drained_revision: self.drained.revision,
        };
        self.handshakes.insert(session, handshake);
        let hello = SideHello {
            side: self.settings.side.clone(),
            incarnation: self.settings.incarnation,
            hall: self.settings.hall.clone(),
            config_version: self.config_version(),
            drained: Arc::clone(&self.drained),
            features: LinkFeatures::CURRENT,
        };
        self.send(session, SideReport::Hello(hello));
    }

    fn link_down(&mut self, now: Moment, session: SessionId) {
        self.handshakes.swap_remove(&session);
        self.forget_link(session);
        let Some(key) = self.sessions.swap_remove(&session) else {
            return;
        };
        if let Some(owner) = self.owners.get_mut(&key)
            && owner.session == Some(session)
        {
            owner.session = None;
            owner.is_resumed = false;
            self.drop_queued_of(&key);
            self.shorten_claims(now, &key);
        }
    }

    /// Stops the runs of entries that have been silent for the whole length of their lease.
    fn end_expired_leases(&mut self, now: Moment) {
        let terms = &self.settings.terms;
        let is_expired = |owner: &Owner| now.since(owner.lease_from) > owner.lease_limit(terms);
        let ended = self.owners.iter().filter(|(_, owner)| is_expired(owner));
        let ended: Vec<OwnerKey> = ended.map(|(key, _)| key.clone()).collect();
        for key in ended {
            self.end_lease(now, &key, LeaseEndCause::Silence);
        }
    }

    pub(super) fn end_lease(&mut self, now: Moment, key: &OwnerKey, cause: LeaseEndCause) {
        let Some(owner) = self.owners.swap_remove(key) else {
            return;
        };
        if let Some(session) = owner.session {
            self.sessions.swap_remove(&session);
            self.forget_link(session);
            self.effects.push(AgentEffect::Close { session });
        }
        self.drop_queued_of(key);
        self.shorten_claims(now, key);
        let runs = self.runs.of_owner(key);
        // Runs of an earlier lease may not be over yet, so that an older start time is kept.
        let ended = self.ended_leases.entry(key.clone());
        ended.or_insert(owner.lease_from);
        self.record_decision(AgentDecision::LeaseEnded {
            entry: key.entry.clone(),
            cause,
            age_ms: now.since(owner.lease_from).as_millis() as u64,
            runs: runs.len(),
        });
        for run in runs {
            self.stop_run(now, run, EndOfRun::Stopped);
        }
    }

    fn forget_ended_leases(&mut self) {
        let runs = &self.runs;
        self.ended_leases
            .retain(|key, _| runs.iter().any(|(_, run)| run.owner == *key));
    }

    /// Marks the target as settled after the time in which the holds of an earlier incarnation of
    /// this process must have expired.
    fn settle_target(&mut self, now: Moment, started_at: Moment) {
        if !self.link.is_settled && now.since(started_at) > self.settings.settle_limit {
            self.link.is_settled = true;
        }
        if self.link.is_settled {
            self.settled_at.get_or_insert(now);
        }
    }

    /// Stops runs of an earlier incarnation of this process that no entry has taken over. Until
    /// these runs have ended the hold is not renewed, because it is not known under which lease
    /// they run.
    fn stop_survivors(&mut self, now: Moment) {
        let Some(due) = self.survivors_due().filter(|due| now >= *due) else {
            return;
        };
        self.survivors_stopped_at = Some(due.max(now));
        self.orphaned_ends.clear();
        for run in self.survivors.keys().copied().collect::<Vec<_>>() {
            self.send_stop(run);
        }
    }

    /// Returns the time at which surviving runs are stopped next.
    fn survivors_due(&self) -> Option<Moment> {
        if self.survivors.is_empty() && self.orphaned_ends.is_empty() {
            return None;
        }
        match self.survivors_stopped_at {
            Some(stopped) => Some(stopped + self.settings.stop_retry),
            None => Some(self.settled_at? + self.settings.adoption_limit),
        }
    }

    /// Returns the capacity that is free for new runs.
    pub fn free_capacity(&self) -> Capacity {
        let Some(profile) = &self.link.profile else {
            return Capacity::default();
        };
        match self.condition {
            TargetCondition::Absent | TargetCondition::Draining => Capacity::default(),
            TargetCondition::Probation if !self.runs.is_empty() => Capacity::default(),
            TargetCondition::Probation | TargetCondition::Ready => {
                profile.capacity.without(&self.runs.used())
            }
        }
    }

    /// Returns the name of the side.
    pub fn side(&self) -> &NodeName {
        &self.settings.side
    }

    /// Returns the condition of the target, which decides whether it takes work.
    pub fn condition(&self) -> TargetCondition {
        self.condition
    }

    /// Returns the profile of the target, if one is known.
    pub fn target(&self) -> Option<&TargetProfile> {
        self.link.profile.as_ref()
    }

    /// Returns the runs that take capacity.
    pub fn runs(&self) -> &RunTable {
        &self.runs
    }

    /// Returns statistics of the times that entries took to confirm reports.
    pub fn confirm_times(&self) -> &ConfirmTimes {
        &self.confirm_times
    }

    pub(super) fn target_id(&self) -> Option<TargetId> {
        self.link.profile.as_ref().map(|profile| profile.id.clone())
    }

    pub(super) fn send(&mut self, session: SessionId, report: SideReport) {
        self.effects.push(AgentEffect::Send { session, report });
    }

    pub(super) fn record_decision(&mut self, decision: AgentDecision) {
        self.effects.push(AgentEffect::Decided(decision));
    }

    fn report_drained(&mut self) {
        let is_idle = self.runs.is_empty() && self.queued.is_empty() && self.survivors.is_empty();
        if self.is_stopping && is_idle && !self.is_drained {
            self.is_drained = true;
            self.effects.push(AgentEffect::Drained);
        }
    }

    /// Returns the next time at which the agent has to act without any other event.
    pub fn next_tick(&self) -> Option<Moment> {
        let terms = &self.settings.terms;
        let leases = self
            .owners
            .values()
            .map(|owner| owner.lease_from + owner.lease_limit(terms));
        let shared = self.shared_capacity();
        let owners = self.owners.values();
        let reports = owners.filter_map(|owner| self.report_due(owner, &shared));
        let stops = self.runs.iter().filter_map(|(_, run)| match run.phase {
            RunPhase::Stopping { sent, .. } => Some(sent + self.settings.stop_retry),
            _ => None,
        });
        let paused = self.health.paused_until();
        let other_ticks = [
            (self.health.is_on_probation() && paused > self.last_event_at).then_some(paused),
            self.probe_due(),
            self.survivors_due(),
            (!self.link.is_settled)
                .then(|| self.started_at.unwrap_or_default() + self.settings.settle_limit),
            self.silence_due(),
            self.is_cold.then_some(self.link.cold_until),
            (self.link.overlong_until > self.last_event_at).then_some(self.link.overlong_until),
            self.offers_end(),
            self.grants_due(),
            self.relay_due(),
            self.claims.due(),
            self.grace_due(),
        ];
        let all = leases.chain(reports).chain(stops);
        all.chain(other_ticks.into_iter().flatten()).min()
    }
}
