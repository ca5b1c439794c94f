use std::collections::VecDeque;
use std::time::Duration;

use super::SessionId;
use super::offers::CapacityOffer;
use crate::job::{
    Capacity, EndedRun, LeaseTerms, LinkFeatures, TargetCondition, TargetProfile, WaitingNeed,
};
use crate::types::{Hall, Incarnation, Moment, NodeName};

/// Incarnation of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct OwnerKey {
    pub(crate) entry: NodeName,
    pub(crate) incarnation: Incarnation,
}

/// Permission of an entry to start runs on this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Duty {
    /// The entry may start runs, and its lease is in force.
    Active,
    /// The entry may not start runs and has none here, so that no lease is in force.
    Standby,
    /// The entry may start runs as soon as it has confirmed the report with this number. Its lease
    /// begins with this report.
    Activating {
        /// Number of the report.
        report: u64,
    },
}

/// State that was last reported to an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReportedState {
    /// Capacity that was reported as usable.
    pub(crate) free: Capacity,
    pub(crate) condition: TargetCondition,
    pub(crate) is_cold: bool,
    pub(crate) target: Option<TargetProfile>,
    /// Whether the report stated that tasks wait at this side.
    pub(crate) has_waiting: bool,
}

/// Maximum number of sent reports that are remembered to determine the start of a lease.
const MAX_SENT: usize = 512;

/// Entry that may start runs on this side, with its lease.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    /// Current link of the entry.
    pub(crate) session: Option<SessionId>,
    /// Hall of the entry's callers.
    pub(crate) hall: Hall,
    /// Optional messages that the entry can read.
    pub(crate) features: LinkFeatures,
    /// Whether the entry has reported that halls share scarce capacity.
    pub(crate) shares_capacity: bool,
    /// Permission to start runs.
    pub(crate) duty: Duty,
    /// Whether the runs of an earlier link have been settled on the current link.
    pub(crate) is_resumed: bool,
    /// Number of the first report after the runs were settled.
    first_after_resume: u64,
    has_read_resume: bool,
    /// Time at which the newest report was sent that the entry is known to have received.
    pub(crate) lease_from: Moment,
    /// Number of starts received on the current link.
    pub(crate) starts: u64,
    /// Capacity that waiting tasks of the entry need.
    pub(crate) need: Option<WaitingNeed>,
    /// Whether the entry has queues that compete by priority, so that scarce capacity is granted.
    pub(crate) grants_capacity: bool,
    /// Capacity that is reserved for the entry.
    pub(crate) offer: Option<CapacityOffer>,
    /// Sum of the offers to the entry in proportion to its needs. The lowest is served first.
    pub(crate) turn: u64,
    /// Time until which the entry gets no offer, because it left one unused.
    pub(crate) declined_until: Moment,
    /// Number of the last grant that the entry got without a known need, counted over all such
    /// grants of the side.
    pub(crate) standing_turn: u64,
    /// Ended runs that the next report contains.
    pub(crate) ended: Vec<EndedRun>,
    /// State that was last reported to the entry.
    pub(crate) reported: ReportedState,
    /// Time of the last report.
    pub(crate) last_sent: Moment,
    /// Revision of the drained halls that the entry is known to have received.
    pub(crate) drained_revision: u64,
    /// Version of the configuration that was reported to the entry.
    reported_version: u64,
    /// Number of the next report.
    next_number: u64,
    /// Sent reports that the entry has not confirmed yet.
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
            features: LinkFeatures::NONE,
            shares_capacity: false,
            duty: Duty::Active,
            is_resumed: false,
            first_after_resume: 0,
            has_read_resume: false,
            lease_from,
            starts: 0,
            need: None,
            grants_capacity: false,
            offer: None,
            turn: 0,
            declined_until: Moment::default(),
            standing_turn: 0,
            ended: Vec::new(),
            reported: ReportedState::default(),
            last_sent: Moment::default(),
            drained_revision: 0,
            reported_version: 0,
            next_number: 1,
            sent: VecDeque::new(),
        }
    }

    /// Assigns the number of a report that is sent at `now`.
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

    /// Records that the entry has received all reports up to the given number. Returns the time at
    /// which the newest of them was sent, if it had not been confirmed before.
    pub(crate) fn record_received(&mut self, last_received: u64) -> Option<Moment> {
        if let Duty::Activating { report } = self.duty
            && last_received >= report
        {
            self.duty = Duty::Active;
        }
        self.has_read_resume |= self.is_resumed && last_received >= self.first_after_resume;
        let mut newest = None;
        while let Some(oldest) = self.sent.front().copied() {
            if oldest.number > last_received {
                break;
            }
            self.lease_from = self.lease_from.max(oldest.at);
            newest = Some(oldest.at);
            self.sent.pop_front();
        }
        newest
    }

    /// Records that the runs of an earlier link are settled and the entry is sent the list of
    /// runs that continue.
    pub(crate) fn record_resumed(&mut self) {
        self.is_resumed = true;
        self.first_after_resume = self.next_number;
    }

    /// Returns whether the entry is known to have read which runs continue.
    pub(crate) fn has_read_resume(&self) -> bool {
        self.has_read_resume
    }

    /// Returns whether the side has reserved capacity for the entry and not yet reported the offer.
    pub(crate) fn has_unreported_offer(&self) -> bool {
        self.offer.is_some_and(|offer| offer.number == 0)
    }

    /// Puts the entry on standby until it activates the link.
    pub(crate) fn set_standby(&mut self) {
        self.duty = Duty::Standby;
        self.need = None;
        self.offer = None;
    }

    /// Activates the link of an entry that wants to start runs here again. The state of the target
    /// is reported to it at once.
    pub(crate) fn activate(&mut self) {
        if self.duty == Duty::Standby {
            self.duty = Duty::Activating {
                report: self.next_number,
            };
            self.reported = ReportedState::default();
            self.last_sent = Moment::default();
        }
    }

    /// Returns the time without a confirmed report after which the entry counts as gone.
    pub(crate) fn lease_limit(&self, terms: &LeaseTerms) -> Duration {
        match self.duty {
            Duty::Active => terms.entry_lease,
            Duty::Standby | Duty::Activating { .. } => terms.standby_silence,
        }
    }

    /// Returns whether the given version of the configuration was the last one reported to the
    /// entry.
    pub(crate) fn knows_version(&self, version: u64) -> bool {
        self.reported_version == version
    }

    /// Returns the version of the configuration to report, or `None` if it was reported before.
    /// Records it as reported.
    pub(crate) fn version_to_report(&mut self, version: u64) -> Option<u64> {
        let reported = std::mem::replace(&mut self.reported_version, version);
        (reported != version).then_some(version)
    }

    /// Attaches a new link of the same incarnation of the entry, whose hello was sent at `hello_sent`
    /// and received by the entry.
    ///
    /// Without runs the lease begins at `hello_sent`, because the lease of a link that was on standby
    /// is older and would end at once. With runs the lease is kept: the entry relies on these runs
    /// since the reports that it has received, and a hello is not a report.
    pub(crate) fn take_session(&mut self, session: SessionId, hello_sent: Moment, has_runs: bool) {
        self.session = Some(session);
        if !has_runs {
            self.lease_from = self.lease_from.max(hello_sent);
        }
        self.duty = Duty::Active;
        self.drained_revision = 0;
        self.reported_version = 0;
        self.is_resumed = false;
        self.has_read_resume = false;
        self.starts = 0;
        self.reported = ReportedState::default();
        self.need = None;
        self.offer = None;
        self.sent.clear();
    }
}
