use std::collections::VecDeque;
use std::time::Duration;

use super::SessionId;
use super::offers::RoomOffer;
use crate::job::{Capacity, EndedRun, LeaseTerms, TargetCondition, TargetProfile, WaitingNeed};
use crate::types::{Hall, Incarnation, Moment, NodeName};

/// One life of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct OwnerKey {
    pub(crate) entry: NodeName,
    pub(crate) incarnation: Incarnation,
}

/// Whether an entry may start runs here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Duty {
    /// It may; its lease counts.
    Active,
    /// It may not, and nothing of it runs here: no lease counts.
    Standby,
    /// It may as soon as it has confirmed the report with this number, from which its lease counts.
    Waking {
        /// The report.
        report: u64,
    },
}

/// What an entry was last told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Told {
    pub(crate) free: Capacity,
    pub(crate) condition: TargetCondition,
    pub(crate) is_cold: bool,
    pub(crate) target: Option<TargetProfile>,
    /// Whether it was told that something waits here.
    pub(crate) has_waiting: bool,
}

/// The most report numbers that are kept to time a lease.
const MAX_SENT: usize = 512;

/// An entry that may run tasks here, and its lease.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    pub(crate) session: Option<SessionId>,
    /// Its callers' hall.
    pub(crate) hall: Hall,
    /// Whether it has told that halls share room that is short.
    pub(crate) shares_room: bool,
    pub(crate) duty: Duty,
    /// Whether the runs of an earlier link have been settled on this one.
    pub(crate) is_resumed: bool,
    /// The first report after the runs were settled, and whether the entry is known to have received it.
    first_after_resume: u64,
    has_read_resume: bool,
    /// When the newest report was sent that the entry is known to have received.
    pub(crate) lease_from: Moment,
    pub(crate) starts: u64,
    /// What waits for room at the entry.
    pub(crate) need: Option<WaitingNeed>,
    /// Whether it has queues that compete by priority: room that is short is granted.
    pub(crate) grants_room: bool,
    /// Room that is kept for it.
    pub(crate) offer: Option<RoomOffer>,
    /// How much it has been offered of what it needed; the lowest is next.
    pub(crate) turn: u64,
    pub(crate) declined_until: Moment,
    /// When it last got room that nobody was known to need, counted in such grants.
    pub(crate) standing_turn: u64,
    pub(crate) ended: Vec<EndedRun>,
    pub(crate) told: Told,
    pub(crate) last_sent: Moment,
    /// The revision of the drained halls that the entry is known to have heard of.
    pub(crate) told_drained: u64,
    /// The version of the configuration that the entry was told of.
    told_version: u64,
    next_number: u64,
    sent: VecDeque<SentReport>,
}

#[derive(Clone, Copy, Debug)]
struct SentReport {
    number: u64,
    at: Moment,
}

impl Owner {
    pub(crate) fn new(lease_from: Moment) -> Self {
        Self {
            session: None,
            hall: Hall::from(""),
            shares_room: false,
            duty: Duty::Active,
            is_resumed: false,
            first_after_resume: 0,
            has_read_resume: false,
            lease_from,
            starts: 0,
            need: None,
            grants_room: false,
            offer: None,
            turn: 0,
            declined_until: Moment::default(),
            standing_turn: 0,
            ended: Vec::new(),
            told: Told::default(),
            last_sent: Moment::default(),
            told_drained: 0,
            told_version: 0,
            next_number: 1,
            sent: VecDeque::new(),
        }
    }

    /// The number of the report that is sent now.
    pub(crate) fn number_report(&mut self, now: Moment) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.last_sent = now;
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(SentReport { number, at: now });
        number
    }

    /// The entry has received all reports up to this number; returns when the newest of them was
    /// sent, if it is news.
    pub(crate) fn note_heard(&mut self, heard: u64) -> Option<Moment> {
        if let Duty::Waking { report } = self.duty
            && heard >= report
        {
            self.duty = Duty::Active;
        }
        self.has_read_resume |= self.is_resumed && heard >= self.first_after_resume;
        let mut newest = None;
        while let Some(oldest) = self.sent.front().copied() {
            if oldest.number > heard {
                break;
            }
            self.lease_from = self.lease_from.max(oldest.at);
            newest = Some(oldest.at);
            self.sent.pop_front();
        }
        newest
    }

    /// The runs of an earlier link are settled: the entry is told which go on.
    pub(crate) fn note_resumed(&mut self) {
        self.is_resumed = true;
        self.first_after_resume = self.next_number;
    }

    /// Whether the entry is known to have read which runs go on.
    pub(crate) fn has_read_resume(&self) -> bool {
        self.has_read_resume
    }

    /// Whether room is kept for it of which it has not been told.
    pub(crate) fn is_granted_anew(&self) -> bool {
        self.offer.is_some_and(|offer| offer.number == 0)
    }

    /// Nothing of the entry runs here until it wakes the link.
    pub(crate) fn stand_by(&mut self) {
        self.duty = Duty::Standby;
        self.need = None;
        self.offer = None;
    }

    /// The entry wants to start runs here again; it is told at once how the target stands.
    pub(crate) fn wake(&mut self) {
        if self.duty == Duty::Standby {
            self.duty = Duty::Waking {
                report: self.next_number,
            };
            self.told = Told::default();
            self.last_sent = Moment::default();
        }
    }

    /// After this long without a confirmed report the entry counts as gone.
    pub(crate) fn lease_limit(&self, terms: &LeaseTerms) -> Duration {
        match self.duty {
            Duty::Active => terms.entry_lease,
            Duty::Standby | Duty::Waking { .. } => terms.standby_silence,
        }
    }

    /// Whether the entry was told of this version of the configuration.
    pub(crate) fn knows_version(&self, version: u64) -> bool {
        self.told_version == version
    }

    /// The version to tell of, unless the entry knows it.
    pub(crate) fn news_of_version(&mut self, version: u64) -> Option<u64> {
        let told = std::mem::replace(&mut self.told_version, version);
        (told != version).then_some(version)
    }

    /// Takes a new link of the same life of the entry, on which it has received the greeting that was sent
    /// at `greeted`. A link that was on standby has an older lease, under which the new one would end at once.
    ///
    /// Runs that go on keep theirs: the entry counts on them from the reports that it has received, and a greeting is
    /// none.
    pub(crate) fn take_session(&mut self, session: SessionId, greeted: Moment, has_runs: bool) {
        self.session = Some(session);
        if !has_runs {
            self.lease_from = self.lease_from.max(greeted);
        }
        self.duty = Duty::Active;
        self.told_drained = 0;
        self.told_version = 0;
        self.is_resumed = false;
        self.has_read_resume = false;
        self.starts = 0;
        self.told = Told::default();
        self.need = None;
        self.offer = None;
        self.sent.clear();
    }
}
