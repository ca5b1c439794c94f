use std::time::Duration;

use super::ScarcitySettings;
use crate::job::LeaseTerms;
use crate::relay::LinkRate;
use crate::types::{Hall, Incarnation, NodeName};

/// A caller that is refused after a quarter of its objective can still come back in time.
const DEFAULT_START_TIMEOUT_SHARE: f64 = 0.25;

/// So many entries use a side: tasks of several entries fill its room, and each of them costs a heartbeat and
/// news of each change both ways, whatever the size of the fleet.
const DEFAULT_ENTRIES_PER_SIDE: usize = 4;

/// An entry uses so many links at least, however many entries there are: a wide job finds choice.
const DEFAULT_MIN_LINKS: usize = 16;

/// An entry uses no more links than this as a rule, however few entries there are: so many targets hold more than
/// one entry has at a time.
const DEFAULT_MAX_LINKS: usize = 64;

/// What a [`JobScheduler`](super::JobScheduler) is set up with.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// The entry's name.
    pub entry: NodeName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The hall that it stands in.
    pub hall: Hall,
    /// What decides on room that is short.
    pub scarcity: ScarcitySettings,
    /// The leases.
    pub terms: LeaseTerms,
    /// The part of a caller's time that is kept for the way back.
    pub answer_margin: Duration,
    /// A job is late until this many times its objective.
    pub late_factor: u32,
    /// A job of which nothing has begun is refused after this part of its objective, or of its
    /// caller's time if that is shorter.
    pub start_timeout_share: f64,
    /// When a refused caller is told to come back.
    pub retry_after: Duration,
    /// Whether each job is claimed at a side before its first start: needed where another entry may be handed it too.
    pub claims_jobs: bool,
    /// What its link carries.
    pub link: LinkRate,
    /// So many entries use each side for starts as a rule.
    pub entries_per_side: usize,
    /// So many links to sides are used for starts at least.
    pub min_links: usize,
    /// So many links to sides are used for starts at most, while no task waits.
    pub max_links: usize,
}

impl SchedulerSettings {
    /// The usual settings for an entry.
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

    /// How many links are used for starts as a rule, where so many entries and linked sides are known.
    pub fn usual_links(&self, entries: usize, sides: usize) -> usize {
        let share = (self.entries_per_side * sides).div_ceil(entries.max(1));
        share.max(self.min_links).min(self.max_links)
    }
}
