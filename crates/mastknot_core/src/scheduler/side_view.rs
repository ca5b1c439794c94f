use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::SessionId;
use super::held_grants::HeldGrant;
use crate::job::{
    Capacity, EntryUpdate, JobId, LeaseTerms, RunId, SideLoad, SideStatus, TargetCondition,
    TargetProfile, TaskKind,
};
use crate::types::{Hall, Incarnation, Moment};

/// A start that the side's last report did not include.
#[derive(Clone, Copy, Debug)]
struct UnseenStart {
    number: u64,
    room: Capacity,
}

/// Whether the link to a side is used for starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// It is.
    Active,
    /// It is not: both ends say little.
    Standby,
    /// It will be, with the side's next report.
    Activating,
}

/// A job of a contained kind that is on trial at a side.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SideTrial {
    /// The job; none if it is another entry's.
    pub(crate) job: Option<JobId>,
    pub(crate) until: Moment,
}

/// What an entry knows of a side.
#[derive(Clone, Debug)]
pub(crate) struct SideView {
    pub(crate) session: Option<SessionId>,
    pub(crate) link_mode: LinkMode,
    /// Its rank among the sides of this entry: the lowest are used first, others at each entry.
    pub(crate) rank: u32,
    /// It was asked about a job and has said nothing since: its link counts as silent then.
    pub(crate) answer_due: Option<Moment>,
    /// When its last link was lost.
    pub(crate) lost_at: Moment,
    /// Until then no job that it is asked about is claimed elsewhere: it is expected to link again.
    pub(crate) awaited_until: Moment,
    /// The same for jobs that this entry was not granted before.
    pub(crate) awaited_for_new_jobs_until: Moment,
    /// A number for its name, the same at all entries.
    pub(crate) name_hash: u32,
    pub(crate) incarnation: Incarnation,
    pub(crate) hall: Hall,
    /// Whether operators have drained its hall.
    pub(crate) is_hall_drained: bool,
    /// What this entry's tasks pay for it, in thousandths of a target: each entry prefers others.
    pub(crate) preference_penalty: u32,
    pub(crate) is_resumed: bool,
    /// Whether it grants claims of jobs that this entry has not had before.
    pub(crate) takes_claims: bool,
    pub(crate) last_received_at: Moment,
    pub(crate) last_report_number: u64,
    pub(crate) heartbeat_sent_at: Moment,
    /// Whether it is one of the sides that hold the configuration for others.
    pub(crate) holds_documents: bool,
    /// What it was last told that it may ask for.
    pub(crate) last_sent_update: Option<EntryUpdate>,
    /// It is to hear at once from this entry.
    pub(crate) needs_heartbeat: bool,
    pub(crate) target: Option<TargetProfile>,
    pub(crate) condition: TargetCondition,
    pub(crate) is_cold: bool,
    pub(crate) slowdown_percent: u32,
    /// The contained kind whose tasks alone run there.
    pub(crate) reserved_for: Option<TaskKind>,
    pub(crate) trial: Option<SideTrial>,
    /// When this entry last ordered a start there.
    pub(crate) last_start: Moment,
    /// What that takes.
    pub(crate) last_room: Capacity,
    /// The runs ordered here that are not known to be over.
    pub(crate) runs: IndexMap<RunId, JobId>,
    /// What is granted to this entry alone.
    pub(crate) grant: Option<HeldGrant>,
    /// Grants here have not been answered yet: what is left of them after placing is returned.
    pub(crate) has_unanswered_grant: bool,
    /// What waits there, and when that was told.
    pub(crate) load: Option<(SideLoad, Moment)>,
    free: Capacity,
    /// What is free there besides, and not this entry's to start.
    hidden: Capacity,
    starts: u64,
    unseen: VecDeque<UnseenStart>,
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
            last_room: Capacity::default(),
            runs: IndexMap::new(),
            grant: None,
            has_unanswered_grant: false,
            load: None,
            free: Capacity::default(),
            hidden: Capacity::default(),
            starts: 0,
            unseen: VecDeque::new(),
        }
    }

    /// Takes a new link; nothing is known of the room until its first report.
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
        self.hidden = Capacity::default();
        self.grant = None;
        self.has_unanswered_grant = false;
        self.load = None;
        self.starts = 0;
        self.unseen.clear();
    }

    pub(crate) fn apply_status(&mut self, now: Moment, status: &SideStatus) {
        self.last_report_number = self.last_report_number.max(status.number);
        self.free = status.free;
        self.hidden = status.withheld;
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
            .unseen
            .front()
            .is_some_and(|start| start.number <= included)
        {
            self.unseen.pop_front();
        }
    }

    /// Between two heartbeats on its link.
    pub(crate) fn heartbeat_interval(&self, terms: &LeaseTerms) -> Duration {
        match self.link_mode {
            LinkMode::Standby => terms.standby_heartbeat,
            LinkMode::Active | LinkMode::Activating => terms.heartbeat,
        }
    }

    /// After this long without a word its link is given up.
    pub(crate) fn silence_timeout(&self, terms: &LeaseTerms) -> Duration {
        match self.link_mode {
            LinkMode::Standby => terms.standby_silence,
            LinkMode::Active | LinkMode::Activating => terms.silence,
        }
    }

    /// Whether its link is to be given up.
    pub(crate) fn is_silent(&self, now: Moment, terms: &LeaseTerms) -> bool {
        now.since(self.last_received_at) > self.silence_timeout(terms)
            || self.answer_due.is_some_and(|by| now >= by)
    }

    /// When it is to hear a heartbeat, counts as silent, or its runs are over; none if it is gone.
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

    /// Notes a start: the report that includes it will say what is left.
    pub(crate) fn record_start(&mut self, now: Moment, run: RunId, job: JobId, room: Capacity) {
        self.last_start = now;
        self.last_room = room;
        self.starts += 1;
        let number = self.starts;
        self.unseen.push_back(UnseenStart { number, room });
        self.runs.insert(run, job);
    }

    /// The room that is believed to be free.
    pub(crate) fn free(&self) -> Capacity {
        let unseen = self.unseen.iter();
        unseen.fold(self.free, |free, start| free.without(&start.room))
    }

    /// The room that no run is believed to take, whoever may start there.
    pub(crate) fn unused(&self) -> Capacity {
        self.free().with(&self.hidden)
    }

    /// Drops a grant: its time is over, or the side is told that what is left of it is not needed.
    pub(crate) fn drop_grant(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.free = self.free.without(&grant.capacity);
            self.hidden = self.hidden.with(&grant.capacity);
        }
    }

    /// Whether a part of a grant that was made for what waits here is left.
    pub(crate) fn has_unused_grant(&self) -> bool {
        let is_needed = self.grant.is_some_and(|grant| grant.is_needed);
        let rest = self.free();
        is_needed && rest.cpu_millis > 0 && rest.covers(&self.last_room)
    }

    /// Whether any room is believed to be free.
    pub(crate) fn has_free_capacity(&self) -> bool {
        self.free() != Capacity::default()
    }

    /// Whether work may be given to it now.
    pub(crate) fn takes_work(&self) -> bool {
        let is_linked =
            self.session.is_some() && self.is_resumed && self.link_mode == LinkMode::Active;
        is_linked && !self.is_hall_drained && self.condition.takes_work()
    }

    /// Whether its hall is drained or its side has reported that the target takes no work: the link is of no use for
    /// starts.
    pub(crate) fn is_out_of_service(&self) -> bool {
        let is_reported = self.last_report_number > 0;
        self.is_hall_drained || (is_reported && !self.condition.takes_work())
    }

    /// What it has not been told yet of what this entry has; it counts as told.
    pub(crate) fn take_unsent_update(&mut self, news: &EntryUpdate) -> Option<EntryUpdate> {
        let news = news.for_side(self.holds_documents);
        if self.last_sent_update.as_ref() == Some(&news) {
            return None;
        }
        self.last_sent_update = Some(news.clone());
        Some(news)
    }

    /// Whether another job of a contained kind is on trial there.
    pub(crate) fn is_tried_by_other(&self, now: Moment, job: JobId) -> bool {
        self.trial
            .is_some_and(|trial| trial.job != Some(job) && now < trial.until)
    }

    /// The class of its target, if that names one.
    pub(crate) fn class(&self) -> Option<&Arc<str>> {
        self.target.as_ref()?.labels.first()
    }

    /// Whether its target has a label.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        let labels = self.target.iter().flat_map(|target| &target.labels);
        labels.into_iter().any(|own| **own == *label)
    }
}
