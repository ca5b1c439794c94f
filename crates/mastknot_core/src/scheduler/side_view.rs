use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::SessionId;
use super::held_grants::HeldGrant;
use crate::job::{
    Capacity, EntryUpdate, JobId, LeaseTerms, LinkFeatures, RunId, SideLoad, SideStatus,
    TargetCondition, TargetProfile, TaskKind,
};
use crate::types::{Hall, Incarnation, Moment};

/// A start that the side's last report did not include.
#[derive(Clone, Copy, Debug)]
struct UnreportedStart {
    /// Number of the start on this link, beginning at 1.
    number: u64,
    capacity: Capacity,
}

/// Use of the link to a side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// The link is used for starts.
    Active,
    /// The link is not used for starts, and both ends send few messages.
    Standby,
    /// The link will be used for starts once the side has sent its next report.
    Activating,
}

/// Isolation trial of a job of a contained kind at a side.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SideTrial {
    /// Job in the trial, or `None` if it is a job of another entry.
    pub(crate) job: Option<JobId>,
    pub(crate) until: Moment,
}

/// State of a side as known to an entry.
#[derive(Clone, Debug)]
pub(crate) struct SideView {
    /// Link to the side, or `None` if it is disconnected.
    pub(crate) session: Option<SessionId>,
    pub(crate) link_mode: LinkMode,
    /// Rank among the sides of this entry. The lowest ranks are used first, and each entry ranks the sides differently.
    pub(crate) rank: u32,
    /// Time until which the side must send a message after it was asked about a job; its link counts as silent then.
    pub(crate) answer_due: Option<Moment>,
    /// Time at which the last link to the side was lost.
    pub(crate) lost_at: Moment,
    /// Time until which the side is expected to connect again. Until then no job that it is asked about is claimed at
    /// another side instead.
    pub(crate) awaited_until: Moment,
    /// Time until which the side is expected to connect again, for jobs that this entry has not been granted before.
    pub(crate) awaited_for_new_jobs_until: Moment,
    /// Hash of the side's name, the same at all entries.
    pub(crate) name_hash: u32,
    pub(crate) incarnation: Incarnation,
    /// Optional messages that the side can read.
    pub(crate) features: LinkFeatures,
    pub(crate) hall: Hall,
    /// Whether operators have drained the side's hall.
    pub(crate) is_hall_drained: bool,
    /// Penalty for placing this entry's tasks there, in thousandths of a full target. Each entry prefers different
    /// sides.
    pub(crate) preference_penalty: u32,
    /// Whether the side has reported on this link which earlier runs continue.
    pub(crate) is_resumed: bool,
    /// Whether the side grants claims of jobs that this entry has not been granted before.
    pub(crate) takes_claims: bool,
    /// Time at which the last message was received from the side, or at which the link was attached or activated since.
    pub(crate) last_received_at: Moment,
    /// Highest number of a status report on this link, or 0 before the first one.
    pub(crate) last_report_number: u64,
    /// Time at which the last heartbeat was sent to the side.
    pub(crate) heartbeat_sent_at: Moment,
    /// Whether the side is one of those that hold the configuration for others.
    pub(crate) holds_documents: bool,
    /// Last update that was sent to the side, which lists what the side may request.
    pub(crate) last_sent_update: Option<EntryUpdate>,
    /// Whether this entry must send a heartbeat to the side at once.
    pub(crate) needs_heartbeat: bool,
    pub(crate) target: Option<TargetProfile>,
    pub(crate) condition: TargetCondition,
    /// Whether the target is temporarily slower than usual because it has just started or was idle.
    pub(crate) is_cold: bool,
    /// Recent run times at the target relative to their estimates, in percent.
    pub(crate) slowdown_percent: u32,
    /// Contained kind for which the side is reserved: no other tasks may start there.
    pub(crate) reserved_for: Option<TaskKind>,
    /// Last known isolation trial at the side.
    pub(crate) trial: Option<SideTrial>,
    /// Time at which this entry last ordered a start at the side.
    pub(crate) last_start: Moment,
    /// Capacity required by the last start.
    pub(crate) last_start_capacity: Capacity,
    /// Runs ordered at the side that are not known to be over.
    pub(crate) runs: IndexMap<RunId, JobId>,
    /// Capacity that is granted to this entry alone.
    pub(crate) grant: Option<HeldGrant>,
    /// Whether the last grant has not been answered yet. What is left of it after placing is returned.
    pub(crate) has_unanswered_grant: bool,
    /// Work that waits at the side, and when it was reported.
    pub(crate) load: Option<(SideLoad, Moment)>,
    /// Capacity that this entry may use for starts according to the last report.
    free: Capacity,
    /// Capacity that is free but that this entry may not use for starts.
    withheld: Capacity,
    /// Number of starts ordered on this link.
    starts: u64,
    /// Starts that the last report did not include, in the order in which they were sent.
    unreported_starts: VecDeque<UnreportedStart>,
}

impl SideView {
    pub(crate) fn new(now: Moment, incarnation: Incarnation, hall: Hall) -> Self {
        Self {
            session: None,
            link_mode: LinkMode::Active,
            rank: 0,
            answer_due: None,
            lost_at: Moment::default(),
            awaited_until: Moment::default(),
            awaited_for_new_jobs_until: Moment::default(),
            name_hash: 0,
            incarnation,
            features: LinkFeatures::NONE,
            hall,
            is_hall_drained: false,
            preference_penalty: 0,
            is_resumed: false,
            takes_claims: false,
            last_received_at: now,
            last_report_number: 0,
            heartbeat_sent_at: Moment::default(),
            holds_documents: false,
            last_sent_update: None,
            needs_heartbeat: false,
            target: None,
            condition: TargetCondition::Absent,
            is_cold: false,
            slowdown_percent: 100,
            reserved_for: None,
            trial: None,
            last_start: Moment::default(),
            last_start_capacity: Capacity::default(),
            runs: IndexMap::new(),
            grant: None,
            has_unanswered_grant: false,
            load: None,
            free: Capacity::default(),
            withheld: Capacity::default(),
            starts: 0,
            unreported_starts: VecDeque::new(),
        }
    }

    /// Attaches a new link. The capacity is unknown until the first report on it.
    pub(crate) fn attach_session(&mut self, now: Moment, session: SessionId) {
        self.session = Some(session);
        self.link_mode = LinkMode::Active;
        self.is_resumed = false;
        self.takes_claims = false;
        self.last_received_at = now;
        self.answer_due = None;
        self.last_report_number = 0;
        self.heartbeat_sent_at = Moment::default();
        self.last_sent_update = None;
        self.condition = TargetCondition::Absent;
        self.free = Capacity::default();
        self.withheld = Capacity::default();
        self.grant = None;
        self.has_unanswered_grant = false;
        self.load = None;
        self.starts = 0;
        self.unreported_starts.clear();
    }

    /// Applies a status report of the side.
    pub(crate) fn apply_status(&mut self, now: Moment, status: &SideStatus) {
        self.last_report_number = self.last_report_number.max(status.number);
        self.free = status.free;
        self.withheld = status.withheld;
        self.grant = status
            .grant
            .map(|grant| HeldGrant::new(now, &grant, status.is_offer));
        self.has_unanswered_grant = status.is_offer && status.grant.is_some();
        if let Some(load) = &status.load {
            self.load = Some((load.clone(), now));
        }
        self.condition = status.condition;
        self.is_cold = status.is_cold;
        self.slowdown_percent = status.slowdown_percent;
        if let Some(target) = &status.target {
            self.target = Some(target.clone());
        }
        let included = status.starts_included;
        while self
            .unreported_starts
            .front()
            .is_some_and(|start| start.number <= included)
        {
            self.unreported_starts.pop_front();
        }
    }

    /// Returns the time between two heartbeats on the link.
    pub(crate) fn heartbeat_interval(&self, terms: &LeaseTerms) -> Duration {
        match self.link_mode {
            LinkMode::Standby => terms.standby_heartbeat,
            LinkMode::Active | LinkMode::Activating => terms.heartbeat,
        }
    }

    /// Returns the time without a message after which the link is given up.
    pub(crate) fn silence_timeout(&self, terms: &LeaseTerms) -> Duration {
        match self.link_mode {
            LinkMode::Standby => terms.standby_silence,
            LinkMode::Active | LinkMode::Activating => terms.silence,
        }
    }

    /// Returns whether the link must be given up because the side has been silent for too long.
    pub(crate) fn is_silent(&self, now: Moment, terms: &LeaseTerms) -> bool {
        now.since(self.last_received_at) > self.silence_timeout(terms)
            || self.answer_due.is_some_and(|by| now >= by)
    }

    /// Returns when the side is due for a heartbeat, its link counts as silent, or its runs are over. Returns `None` if
    /// the side is disconnected and has no runs.
    pub(crate) fn due(&self, terms: &LeaseTerms) -> Option<Moment> {
        match self.session {
            Some(_) => {
                let beat = self.heartbeat_sent_at + self.heartbeat_interval(terms);
                let silent = self.last_received_at + self.silence_timeout(terms);
                let due = beat.min(silent);
                Some(self.answer_due.map_or(due, |by| due.min(by)))
            }
            None if !self.runs.is_empty() => Some(self.last_received_at + terms.run_over_after),
            None => None,
        }
    }

    /// Records a start. Its capacity counts as used until a report includes it.
    pub(crate) fn record_start(&mut self, now: Moment, run: RunId, job: JobId, capacity: Capacity) {
        self.last_start = now;
        self.last_start_capacity = capacity;
        self.starts += 1;
        let number = self.starts;
        self.unreported_starts
            .push_back(UnreportedStart { number, capacity });
        self.runs.insert(run, job);
    }

    /// Returns the capacity that is assumed to be free for this entry.
    pub(crate) fn free(&self) -> Capacity {
        let unreported_starts = self.unreported_starts.iter();
        unreported_starts.fold(self.free, |free, start| free.without(&start.capacity))
    }

    /// Returns the capacity that no run is assumed to use, whether or not this entry may use it.
    pub(crate) fn unused(&self) -> Capacity {
        self.free().with(&self.withheld)
    }

    /// Drops the grant, because it has expired or because the side is notified that the rest of it is not needed.
    pub(crate) fn drop_grant(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.free = self.free.without(&grant.capacity);
            self.withheld = self.withheld.with(&grant.capacity);
        }
    }

    /// Returns whether a part of a grant that was made for tasks waiting here is left.
    pub(crate) fn has_unused_grant(&self) -> bool {
        let is_needed = self.grant.is_some_and(|grant| grant.is_needed);
        let remaining = self.free();
        is_needed && remaining.cpu_millis > 0 && remaining.covers(&self.last_start_capacity)
    }

    /// Returns whether any capacity is assumed to be free for this entry.
    pub(crate) fn has_free_capacity(&self) -> bool {
        self.free() != Capacity::default()
    }

    /// Returns whether tasks may be started at the side now.
    pub(crate) fn takes_work(&self) -> bool {
        let is_linked =
            self.session.is_some() && self.is_resumed && self.link_mode == LinkMode::Active;
        is_linked && !self.is_hall_drained && self.condition.takes_work()
    }

    /// Returns whether the side's hall is drained or the side has reported that its target accepts no work. The link
    /// cannot be used for starts then.
    pub(crate) fn is_out_of_service(&self) -> bool {
        let is_reported = self.last_report_number > 0;
        self.is_hall_drained || (is_reported && !self.condition.takes_work())
    }

    /// Returns the update for the side and marks it as sent, or `None` if the side has it already.
    pub(crate) fn take_unsent_update(&mut self, update: &EntryUpdate) -> Option<EntryUpdate> {
        let update = update.for_side(self.holds_documents);
        if self.last_sent_update.as_ref() == Some(&update) {
            return None;
        }
        self.last_sent_update = Some(update.clone());
        Some(update)
    }

    /// Returns whether another job of a contained kind is in an isolation trial at the side.
    pub(crate) fn has_other_trial(&self, now: Moment, job: JobId) -> bool {
        self.trial
            .is_some_and(|trial| trial.job != Some(job) && now < trial.until)
    }

    /// Returns the class of the side's target, which is its first label.
    pub(crate) fn class(&self) -> Option<&Arc<str>> {
        self.target.as_ref()?.labels.first()
    }

    /// Returns whether the side's target has a label.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        let labels = self.target.iter().flat_map(|target| &target.labels);
        labels.into_iter().any(|own| **own == *label)
    }
}
