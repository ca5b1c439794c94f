use crate::config::Profile;
use crate::dispatch::JobOrder;
use crate::roster::{Member, MembershipSettings};
use crate::submission::LedgerSettings;

/// Tasks that wait at one entry at most, by default.
const DEFAULT_MAX_WAITING: u32 = 50_000;
/// Decisions that are kept by default.
const DEFAULT_DECISIONS: usize = 8_192;
/// Tasks in one job at most.
const DEFAULT_MAX_TASKS: u16 = 1_000;

/// What an [`EntryCore`](super::EntryCore) is told at its start.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// This entry.
    pub me: Member,
    /// The weights of the policy, until the configuration says otherwise.
    pub profile: Profile,
    /// The times of the single-holder protocol.
    pub membership: MembershipSettings,
    /// The bounds of the ledger.
    pub ledger: LedgerSettings,
    /// The order of a customer's submissions.
    pub job_order: JobOrder,
    /// Tasks that wait at most.
    pub max_waiting: u32,
    /// Tasks in one job at most.
    pub max_tasks: u16,
    /// Decisions that are kept.
    pub decisions: usize,
}

impl EntrySettings {
    /// The defaults for one entry.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            profile: Profile::default(),
            membership: MembershipSettings::default(),
            ledger: LedgerSettings::default(),
            job_order: JobOrder::default(),
            max_waiting: DEFAULT_MAX_WAITING,
            max_tasks: DEFAULT_MAX_TASKS,
            decisions: DEFAULT_DECISIONS,
        }
    }

    /// Sets the weights of the policy.
    pub fn profile(mut self, profile: Profile) -> Self {
        self.profile = profile;
        self
    }

    /// Sets how many tasks may wait.
    pub fn max_waiting(mut self, tasks: u32) -> Self {
        self.max_waiting = tasks;
        self
    }
}
