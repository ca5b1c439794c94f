use std::time::Duration;

use crate::job::LeaseTerms;
use crate::relay::LinkRate;
use crate::types::{Hall, Incarnation, NodeName};

/// Settings of a [`TargetAgent`](super::TargetAgent).
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Name of the side.
    pub side: NodeName,
    /// Incarnation of the side process.
    pub incarnation: Incarnation,
    /// Hall in which the side runs.
    pub hall: Hall,
    /// Lengths of leases, heartbeats and holds.
    pub terms: LeaseTerms,
    /// Longest time that a probe waits at the target for a run to end.
    pub probe_wait: Duration,
    /// Time without progress after which a run is stopped.
    pub stall_limit: Duration,
    /// Time after which an unacknowledged order to stop is sent again.
    pub stop_retry: Duration,
    /// Longest delay of a report on changed capacity to an entry that has waiting tasks.
    pub eager_report_delay: Duration,
    /// Longest delay of a report on changed capacity to an entry that has no waiting tasks.
    pub idle_report_delay: Duration,
    /// Time after the start of this process until a target that has not answered can no longer hold
    /// runs of an earlier incarnation of the process.
    pub settle_limit: Duration,
    /// Time that runs of an earlier incarnation of this process, once found, wait for an entry to
    /// take them over.
    pub adoption_limit: Duration,
    /// Upper bound that the target itself sets on the time for which it holds runs.
    pub max_hold: Duration,
    /// Bandwidth of the side's links.
    pub link: LinkRate,
}

impl AgentSettings {
    /// Creates the default settings of a side.
    pub fn new(side: NodeName, incarnation: Incarnation, hall: Hall) -> Self {
        Self {
            side,
            incarnation,
            hall,
            terms: LeaseTerms::default(),
            probe_wait: Duration::from_millis(60),
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
