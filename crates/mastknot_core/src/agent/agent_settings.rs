use std::time::Duration;

use crate::job::LeaseTerms;
use crate::relay::LinkRate;
use crate::types::{Hall, Incarnation, NodeName};

/// What a [`TargetAgent`](super::TargetAgent) is set up with.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// The side's name.
    pub side: NodeName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its hall.
    pub hall: Hall,
    /// The leases.
    pub terms: LeaseTerms,
    /// How long one look at the target waits for an end.
    pub look_wait: Duration,
    /// A run whose progress stands still for so long is stopped.
    pub stall_limit: Duration,
    /// An unanswered stop is sent again after this.
    pub stop_retry: Duration,
    /// News of free room wait at most this long for an entry in which tasks wait.
    pub eager_report_delay: Duration,
    /// The same for any other entry.
    pub idle_report_delay: Duration,
    /// After a start, an unseen target holds nothing of an earlier life any more.
    pub settle_limit: Duration,
    /// How long runs of an earlier life, once seen, wait for an entry that takes them over.
    pub adoption_limit: Duration,
    /// The longest time for which a target holds its runs, whatever it is asked for.
    pub max_hold: Duration,
    /// What its link carries.
    pub link: LinkRate,
}

impl AgentSettings {
    /// The usual settings for a side.
    pub fn new(side: NodeName, incarnation: Incarnation, hall: Hall) -> Self {
        Self {
            side,
            incarnation,
            hall,
            terms: LeaseTerms::default(),
            look_wait: Duration::from_millis(60),
            stall_limit: Duration::from_millis(300),
            stop_retry: Duration::from_millis(100),
            eager_report_delay: Duration::from_millis(4),
            idle_report_delay: Duration::from_millis(40),
            settle_limit: Duration::from_millis(600),
            adoption_limit: Duration::from_millis(200),
            max_hold: Duration::from_secs(1),
            link: LinkRate::default(),
        }
    }
}
