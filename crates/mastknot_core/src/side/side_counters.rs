use serde::Serialize;

/// Counters of a side since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SideCounters {
    /// Tasks started on the target.
    pub starts: u64,
    /// Credits granted.
    pub credits_granted: u64,
    /// Credits that expired unused.
    pub credits_expired: u64,
    /// Credits that entries returned.
    pub credits_returned: u64,
    /// Starts refused because their credit came from an earlier incarnation of the side.
    pub refused_old_incarnation: u64,
    /// Starts refused because their credit had expired or been returned.
    pub refused_stale_credit: u64,
    /// Starts refused because their deadline had passed.
    pub refused_deadline: u64,
    /// Starts refused because the hall of the side is drained.
    pub refused_drained_hall: u64,
    /// Starts refused because the target does not run their service.
    pub refused_unknown_service: u64,
    /// Start messages that were received again and dropped.
    pub duplicates_dropped: u64,
    /// Tasks that ended because they were stopped.
    pub stopped: u64,
    /// Answers that could not be delivered because their entry was no longer connected.
    pub answers_without_entry: u64,
}
