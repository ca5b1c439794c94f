use crate::config::Profile;
use crate::dispatch::JobOrder;
use crate::roster::{Member, MembershipSettings};
use crate::submission::LedgerSettings;

/// Default maximum number of tasks that wait at one entry.
const DEFAULT_MAX_WAITING: u32 = 50_000;
/// Default maximum number of decisions in the log.
const DEFAULT_DECISIONS: usize = 8_192;
/// Default maximum number of tasks in one job.
const DEFAULT_MAX_TASKS: u16 = 1_000;

/// Settings of an [`EntryCore`](super::EntryCore).
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Identity, address and hall of this entry.
    pub me: Member,
    /// Weights of the policy, used until the configuration provides a profile.
    pub profile: Profile,
    /// Timings of the protocol that gives each key a single owner.
    pub membership: MembershipSettings,
    /// Bounds of the ledger.
    pub ledger: LedgerSettings,
    /// Order in which the submissions of a customer are started.
    pub job_order: JobOrder,
    /// Maximum number of waiting tasks.
    pub max_waiting: u32,
    /// Maximum number of tasks in one job.
    pub max_tasks: u16,
    /// Maximum number of decisions in the log.
    pub decisions: usize,
}

impl EntrySettings {
    /// Returns the default settings for one entry.
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

    /// Sets the maximum number of waiting tasks.
    pub fn max_waiting(mut self, tasks: u32) -> Self {
        self.max_waiting = tasks;
        self
    }
}
