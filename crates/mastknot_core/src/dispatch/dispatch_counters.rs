use serde::Serialize;

/// Counters of an entry's dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DispatchCounters {
    /// Tasks put into the queue.
    pub tasks_queued: u64,
    /// Start messages sent, including retries and hedges.
    pub starts: u64,
    /// Answers that matched an open attempt.
    pub answers: u64,
    /// Answers and "not run" reports of sides that matched no open attempt and were dropped.
    pub unmatched_dropped: u64,
    /// Starts repeated because a side reported a stale credit or an old incarnation.
    pub retried_stale_credit: u64,
    /// Starts repeated because a side or its hall was draining.
    pub retried_draining: u64,
    /// Starts repeated because a target refused or declined the task.
    pub retried_target_refused: u64,
    /// Starts repeated because a side reported "not run" for any other reason.
    pub retried_other: u64,
    /// Repeatable requests started again after an unknown outcome.
    pub retried_unknown: u64,
    /// Retries and hedges that the retry budget did not allow.
    pub retry_budget_empty: u64,
    /// Hedges (second attempts beside a slow first attempt) started.
    pub hedges: u64,
    /// Attempts that were still open when their submission completed through another attempt.
    pub hedges_wasted: u64,
    /// Credits received from sides.
    pub credits_received: u64,
    /// Credits that expired unused at this entry.
    pub credits_lapsed: u64,
    /// Credits lent to peers.
    pub credits_lent: u64,
    /// Credits borrowed from peers.
    pub credits_borrowed: u64,
    /// Exchange messages sent to sides.
    pub exchanges: u64,
    /// Requests for credits sent to peers.
    pub peer_asks: u64,
    /// Stop messages sent to sides.
    pub stops: u64,
    /// Submissions that ended before any of their tasks ran, for example at their deadline.
    pub expired_in_queue: u64,
}
