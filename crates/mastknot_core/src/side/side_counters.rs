use serde::Serialize;

/// What a side counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SideCounters {
    /// Tasks started on the target.
    pub starts: u64,
    /// Credits granted.
    pub credits_granted: u64,
    /// Credits that expired unspent.
    pub credits_expired: u64,
    /// Credits that entries gave back.
    pub credits_returned: u64,
    /// Starts refused for a credit of an earlier run.
    pub refused_old_incarnation: u64,
    /// Starts refused for an expired or returned credit.
    pub refused_stale_credit: u64,
    /// Starts refused because the deadline had passed.
    pub refused_deadline: u64,
    /// Starts refused because the side's hall is drained.
    pub refused_drained_hall: u64,
    /// Starts refused for an unknown service.
    pub refused_unknown_service: u64,
    /// Start messages seen twice and dropped.
    pub duplicates_dropped: u64,
    /// Tasks ended by a stop.
    pub stopped: u64,
    /// Answers that found their entry gone.
    pub answers_without_entry: u64,
}
