use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;

use super::answer_times::AnswerTimes;
use super::claim_grace::ClaimGrace;
use super::confirm_times::ConfirmTimes;
use super::crash_log::CrashLog;
use super::directory_news::DirectoryNews;
use super::job_claims::JobClaims;
use super::owners::{Owner, OwnerKey};
use super::queued_starts::QueuedStarts;
use super::target_link::TargetLink;
use super::target_lives::TargetLives;
use super::target_pace::TargetPace;
use super::{
    AgentDecision, AgentEffect, AgentEvent, AgentSettings, HallShares, HallTotals, LeaseEndCause,
    RunPhase, RunTable, SessionId, TargetHealth,
};
use crate::job::{
    Capacity, ConfigDocument, DrainedHalls, EndOfRun, EndedRun, KnownEntry, RunId, ShareWeights,
    SideHello, SideReport, TargetCondition, TargetId, TargetProfile,
};
use crate::relay::{DocumentFetch, DocumentServer};
use crate::types::{Moment, NodeName, stable_hash};

/// A link on which the entry has not said yet who it is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Greeting {
    pub(super) hello_sent: Moment,
    /// The revision of the drained halls that it told of.
    pub(super) told_drained: u64,
}

/// The look at the target that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct LookInFlight {
    pub(super) number: u64,
    pub(super) sent: Moment,
    pub(super) token: u64,
    /// Whether it asks the target to hold its runs.
    pub(super) is_held: bool,
    /// Whether it names the life that is meant: another one refuses it.
    pub(super) is_named: bool,
    /// Without an answer by then it has failed.
    pub(super) until: Moment,
}

/// The core of a side: it alone gives orders to its target.
///
/// It runs tasks for entries as long as their leases last, tells them what room is free, and says
/// of each run how it ended. A run is reported as over only when the target listed its end, the
/// target has fenced it, the hold has run out, or the target's life has ended.
#[derive(Clone, Debug)]
pub struct TargetAgent {
    pub(super) settings: AgentSettings,
    pub(super) started: Option<Moment>,
    /// When the last event was handled.
    pub(super) handled: Moment,
    /// When it was known what an earlier life had left at the target.
    pub(super) settled: Option<Moment>,
    pub(super) survivors_stopped: Option<Moment>,
    pub(super) link: TargetLink,
    pub(super) lives: TargetLives,
    pub(super) crashes: CrashLog,
    pub(super) health: TargetHealth,
    pub(super) pace: TargetPace,
    pub(super) answers: AnswerTimes,
    pub(super) confirm_times: ConfirmTimes,
    pub(super) runs: RunTable,
    /// Starts that wait for room that is expected soon.
    pub(super) queued: QueuedStarts,
    /// How often room that nobody was known to need was granted.
    pub(super) standing_grants: u64,
    /// Entries that have not heard yet that room is short may believe until then that some is free for all.
    pub(super) shown_until: Moment,
    /// Runs of an earlier life of this process that no entry has taken over yet.
    pub(super) survivors: IndexMap<RunId, u8>,
    /// Ends that were listed before their entries had said who they are.
    pub(super) orphaned_ends: Vec<EndedRun>,
    /// Runs that the last look listed and no entry has here.
    pub(super) unclaimed: BTreeSet<RunId>,
    pub(super) owners: IndexMap<OwnerKey, Owner>,
    /// Leases that have ended while runs under them are not known to be over.
    pub(super) ended_leases: IndexMap<OwnerKey, Moment>,
    pub(super) sessions: IndexMap<SessionId, OwnerKey>,
    /// Which entry may start each of the jobs about which this side is asked.
    pub(super) claims: JobClaims,
    /// Whether others than those that had a job before this start may have it.
    pub(super) grace: ClaimGrace,
    pub(super) greetings: IndexMap<SessionId, Greeting>,
    pub(super) look: Option<LookInFlight>,
    pub(super) next_look: u64,
    pub(super) look_not_before: Moment,
    pub(super) entries: Vec<KnownEntry>,
    pub(super) directory: DirectoryNews,
    /// The halls that operators have drained.
    pub(super) drained: Arc<DrainedHalls>,
    /// The weights of halls, and who is next by them.
    pub(super) weights: Arc<ShareWeights>,
    pub(super) hall_shares: HallShares,
    pub(super) hall_totals: HallTotals,
    /// The newest configuration, held for entries that start while the store is away.
    pub(super) document: Option<ConfigDocument>,
    pub(super) fetch: DocumentFetch<SessionId>,
    pub(super) documents: DocumentServer<SessionId>,
    pub(super) condition: TargetCondition,
    /// Whether the target is slower than usual for a while.
    pub(super) is_cold: bool,
    pub(super) is_stopping: bool,
    pub(super) is_drained: bool,
    pub(super) effects: Vec<AgentEffect>,
}

impl TargetAgent {
    /// An agent that knows nothing of its target yet.
    pub fn new(settings: AgentSettings) -> Self {
        let first_choice = stable_hash(&[&settings.side]) as usize;
        Self {
            settings,
            started: None,
            handled: Moment::default(),
            settled: None,
            survivors_stopped: None,
            link: TargetLink::default(),
            lives: TargetLives::default(),
            crashes: CrashLog::default(),
            health: TargetHealth::default(),
            pace: TargetPace::default(),
            answers: AnswerTimes::default(),
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
            grace: ClaimGrace::default(),
            greetings: IndexMap::new(),
            look: None,
            next_look: 1,
            look_not_before: Moment::default(),
            entries: Vec::new(),
            directory: DirectoryNews::default(),
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

    /// Handles one event.
    pub fn step(&mut self, now: Moment, event: AgentEvent) -> Vec<AgentEffect> {
        let started = *self.started.get_or_insert(now);
        self.handled = now;
        self.end_lapsed_leases(now);
        self.end_old_offers(now);
        self.end_claims(now);
        self.handle(now, event);
        self.settle_target(now, started);
        self.end_grace(now);
        self.retry_stops(now);
        self.forget_ended_leases();
        self.stop_survivors(now);
        self.update_condition(now);
        self.update_coldness(now);
        self.serve_queued(now);
        self.ensure_look(now);
        self.make_offers(now);
        self.report_all(now);
        self.relay_documents(now);
        self.fetch_directory(now);
        self.note_drained();
        std::mem::take(&mut self.effects)
    }

    fn handle(&mut self, now: Moment, event: AgentEvent) {
        match event {
            AgentEvent::LinkUp { session } => self.greet(now, session),
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
            AgentEvent::Probed { number, result } => self.looked(now, number, result),
            AgentEvent::EntriesFound(entries) => self.learn_entries(entries),
            AgentEvent::Tick => {}
            AgentEvent::Stop => self.is_stopping = true,
        }
    }

    fn greet(&mut self, now: Moment, session: SessionId) {
        let greeting = Greeting {
            hello_sent: now,
            told_drained: self.drained.revision,
        };
        self.greetings.insert(session, greeting);
        let hello = SideHello {
            side: self.settings.side.clone(),
            incarnation: self.settings.incarnation,
            hall: self.settings.hall.clone(),
            config_version: self.config_version(),
            drained: Arc::clone(&self.drained),
        };
        self.send(session, SideReport::Hello(hello));
    }

    fn link_down(&mut self, now: Moment, session: SessionId) {
        self.greetings.swap_remove(&session);
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

    /// Stops what runs for entries that have been silent for their lease.
    fn end_lapsed_leases(&mut self, now: Moment) {
        let terms = &self.settings.terms;
        let lapsed = |owner: &Owner| now.since(owner.lease_from) > owner.lease_limit(terms);
        let ended = self.owners.iter().filter(|(_, owner)| lapsed(owner));
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
        // Runs of an earlier one may not be over yet.
        let ended = self.ended_leases.entry(key.clone());
        ended.or_insert(owner.lease_from);
        self.decided(AgentDecision::LeaseEnded {
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

    /// After a start, nothing of an earlier life can be left once its hold must have run out.
    fn settle_target(&mut self, now: Moment, started: Moment) {
        if !self.link.is_settled && now.since(started) > self.settings.settle_limit {
            self.link.is_settled = true;
        }
        if self.link.is_settled {
            self.settled.get_or_insert(now);
        }
    }

    /// Stops what an earlier life of this process ran and no entry has taken over. Until that is
    /// over the hold is not renewed: nobody knows under which lease it runs.
    fn stop_survivors(&mut self, now: Moment) {
        let Some(due) = self.survivors_due().filter(|due| now >= *due) else {
            return;
        };
        self.survivors_stopped = Some(due.max(now));
        self.orphaned_ends.clear();
        for run in self.survivors.keys().copied().collect::<Vec<_>>() {
            self.send_stop(run);
        }
    }

    /// When survivors are stopped next.
    fn survivors_due(&self) -> Option<Moment> {
        if self.survivors.is_empty() && self.orphaned_ends.is_empty() {
            return None;
        }
        match self.survivors_stopped {
            Some(stopped) => Some(stopped + self.settings.stop_retry),
            None => Some(self.settled? + self.settings.adoption_limit),
        }
    }

    /// What is free for new runs now.
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

    /// The side's name.
    pub fn side(&self) -> &NodeName {
        &self.settings.side
    }

    /// Whether the target takes work.
    pub fn condition(&self) -> TargetCondition {
        self.condition
    }

    /// The target, if one is known.
    pub fn target(&self) -> Option<&TargetProfile> {
        self.link.profile.as_ref()
    }

    /// The runs that take room.
    pub fn runs(&self) -> &RunTable {
        &self.runs
    }

    /// How long entries took to confirm reports.
    pub fn confirm_times(&self) -> &ConfirmTimes {
        &self.confirm_times
    }

    pub(super) fn target_id(&self) -> Option<TargetId> {
        self.link.profile.as_ref().map(|profile| profile.id.clone())
    }

    pub(super) fn send(&mut self, session: SessionId, report: SideReport) {
        self.effects.push(AgentEffect::Send { session, report });
    }

    pub(super) fn decided(&mut self, decision: AgentDecision) {
        self.effects.push(AgentEffect::Decided(decision));
    }

    fn note_drained(&mut self) {
        let is_idle = self.runs.is_empty() && self.queued.is_empty() && self.survivors.is_empty();
        if self.is_stopping && is_idle && !self.is_drained {
            self.is_drained = true;
            self.effects.push(AgentEffect::Drained);
        }
    }

    /// The next moment at which time alone changes something.
    pub fn next_tick(&self) -> Option<Moment> {
        let terms = &self.settings.terms;
        let leases = self
            .owners
            .values()
            .map(|owner| owner.lease_from + owner.lease_limit(terms));
        let shared = self.shared_room();
        let owners = self.owners.values();
        let reports = owners.filter_map(|owner| self.report_due(owner, &shared));
        let stops = self.runs.iter().filter_map(|(_, run)| match run.phase {
            RunPhase::Stopping { sent, .. } => Some(sent + self.settings.stop_retry),
            _ => None,
        });
        let paused = self.health.paused_until();
        let wakes = [
            (self.health.is_on_probation() && paused > self.handled).then_some(paused),
            self.look_due(),
            self.survivors_due(),
            (!self.link.is_settled)
                .then(|| self.started.unwrap_or_default() + self.settings.settle_limit),
            self.silence_due(),
            self.is_cold.then_some(self.link.cold_until),
            (self.link.overlong_until > self.handled).then_some(self.link.overlong_until),
            self.offers_end(),
            self.grants_due(),
            self.relay_due(),
            self.claims.due(),
            self.grace_due(),
        ];
        let all = leases.chain(reports).chain(stops);
        all.chain(wakes.into_iter().flatten()).min()
    }
}
