use serde::Serialize;

/// What an entry's dispatcher counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DispatchCounters {
    /// Tasks taken into the queue.
    pub tasks_queued: u64,
    /// Start messages sent, retries and hedges included.
    pub starts: u64,
    /// Answers that matched a running attempt.
    pub answers: u64,
    /// Answers and refusals of sides that matched nothing and were dropped.
    pub unmatched_dropped: u64,
    /// Starts repeated because a side said "not run": stale credit.
    pub retried_stale_credit: u64,
    /// Starts repeated because a side said "not run": leaving.
    pub retried_draining: u64,
    /// Starts repeated because a target refused or declined.
    pub retried_target_refused: u64,
    /// Starts repeated for any other "not run".
    pub retried_other: u64,
    /// Repeatable requests started again after an unknown outcome.
    pub retried_unknown: u64,
    /// Retries and hedges that the budget did not allow.
    pub retry_budget_empty: u64,
    /// Hedges started.
    pub hedges: u64,
    /// Answers to a hedged request that came second.
    pub hedges_wasted: u64,
    /// Credits received from sides.
    pub credits_received: u64,
    /// Credits that expired here unspent.
    pub credits_lapsed: u64,
    /// Credits lent to peers.
    pub credits_lent: u64,
    /// Credits borrowed from peers.
    pub credits_borrowed: u64,
    /// Exchange messages to sides.
    pub exchanges: u64,
    /// Requests for credits to peers.
    pub peer_asks: u64,
    /// Stop messages to sides.
    pub stops: u64,
    /// Submissions ended at their deadline with nothing started.
    pub expired_in_queue: u64,
}
