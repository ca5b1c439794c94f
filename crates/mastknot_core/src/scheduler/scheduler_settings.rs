use std::time::Duration;

use crate::job::LeaseTerms;
use crate::relay::LinkRate;
use crate::types::{Incarnation, NodeName};

/// After a quarter of its objective a job's wait counts as time that its caller lost: the users price
/// it so, and a caller that is refused then can still come back in time. Shorter waits refused more
/// without serving more (`docs/POLICY.md`, round 1).
const DEFAULT_PATIENCE: f64 = 0.25;

/// An entry of a deployment of 55 entries and 240 sides runs 13 tasks at a time (900 jobs of two tasks of 200 ms and
/// others, a second, over all entries), and 64 targets of 16 cores hold 250 of them: with so much choice its work
/// finds room as it does among all.
const DEFAULT_USUAL_LINKS: usize = 64;

/// What a [`JobScheduler`](super::JobScheduler) is set up with.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// The entry's name.
    pub entry: NodeName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The leases.
    pub terms: LeaseTerms,
    /// The part of a caller's time that is kept for the way back.
    pub answer_margin: Duration,
    /// A job is late until this many times its objective.
    pub late_factor: u32,
    /// A job of which nothing has begun is refused after this part of its objective, or of its
    /// caller's time if that is shorter.
    pub patience: f64,
    /// When a refused caller is told to come back.
    pub retry_after: Duration,
    /// What its link carries.
    pub link: LinkRate,
    /// So many links to sides are used for starts as a rule.
    pub usual_links: usize,
}

impl SchedulerSettings {
    /// The usual settings for an entry.
    pub fn new(entry: NodeName, incarnation: Incarnation) -> Self {
        Self {
            entry,
            incarnation,
            terms: LeaseTerms::default(),
            answer_margin: Duration::from_millis(25),
            late_factor: 3,
            patience: DEFAULT_PATIENCE,
            retry_after: Duration::from_secs(1),
            link: LinkRate::default(),
            usual_links: DEFAULT_USUAL_LINKS,
        }
    }
}
