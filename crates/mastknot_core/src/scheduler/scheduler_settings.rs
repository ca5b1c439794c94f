use std::time::Duration;

use super::ScarcitySettings;
use crate::job::LeaseTerms;
use crate::relay::LinkRate;
use crate::types::{Hall, Incarnation, NodeName};

/// Default of [`SchedulerSettings::start_timeout_share`]. A caller that is refused after a quarter of its objective can
/// still retry in time.
const DEFAULT_START_TIMEOUT_SHARE: f64 = 0.25;

/// Default number of entries that use a side. Tasks of several entries fill its capacity, and each entry costs a
/// heartbeat and an update on each change in both directions, whatever the size of the fleet.
const DEFAULT_ENTRIES_PER_SIDE: usize = 4;

/// Default minimum number of links that an entry uses, however many entries there are. It leaves a job with many tasks
/// a choice of sides.
const DEFAULT_MIN_LINKS: usize = 16;

/// Default maximum number of links that an entry normally uses, however few entries there are. This number of targets
/// holds more tasks than one entry has at a time.
const DEFAULT_MAX_LINKS: usize = 64;

/// Settings of a [`JobScheduler`](super::JobScheduler).
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Name of the entry.
    pub entry: NodeName,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Hall that the entry is in.
    pub hall: Hall,
    /// Rules for capacity that is short.
    pub scarcity: ScarcitySettings,
    /// Times of the leases between entry, side and target.
    pub terms: LeaseTerms,
    /// Part of a caller's time that is reserved for the transport of the answer.
    pub answer_margin: Duration,
    /// Multiple of its latency objective until which a job counts as late, and not as infeasible.
    pub late_factor: u32,
    /// Fraction of the latency objective, or of the caller's time if that is shorter, after which a job is refused if
    /// none of its tasks has started.
    pub start_timeout_share: f64,
    /// Time after which a refused caller is asked to retry.
    pub retry_after: Duration,
    /// Whether each job is claimed at sides before its first start. Claims are needed where another entry may receive
    /// the same job.
    pub claims_jobs: bool,
    /// Data rate of the entry's network link.
    pub link: LinkRate,
    /// Number of entries that normally use each side for starts.
    pub entries_per_side: usize,
    /// Minimum number of links to sides that are used for starts.
    pub min_links: usize,
    /// Maximum number of links to sides that are used for starts while no task waits.
    pub max_links: usize,
}

impl SchedulerSettings {
    /// Creates the default settings for an entry.
    pub fn new(entry: NodeName, incarnation: Incarnation) -> Self {
        Self {
            entry,
            incarnation,
            hall: "".into(),
            scarcity: ScarcitySettings::default(),
            terms: LeaseTerms::default(),
            answer_margin: Duration::from_millis(25),
            late_factor: 3,
            start_timeout_share: DEFAULT_START_TIMEOUT_SHARE,
            retry_after: Duration::from_secs(1),
            claims_jobs: true,
            link: LinkRate::default(),
            entries_per_side: DEFAULT_ENTRIES_PER_SIDE,
            min_links: DEFAULT_MIN_LINKS,
            max_links: DEFAULT_MAX_LINKS,
        }
    }

    /// Returns the number of links that are normally used for starts, with these numbers of known entries and linked
    /// sides.
    pub fn usual_links(&self, entries: usize, sides: usize) -> usize {
        let share = (self.entries_per_side * sides).div_ceil(entries.max(1));
        share.max(self.min_links).min(self.max_links)
    }
}
