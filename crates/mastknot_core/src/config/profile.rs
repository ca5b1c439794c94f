use serde::{Deserialize, Serialize};

/// The weights of the one policy, as the operators set them.
///
/// Kalahari weighs response time more, the co-op wasted messages; both run the same code.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The share of an entry's idle credits that it keeps when a peer asks, in percent.
    pub keep_credits_percent: u32,
    /// How long an entry without credits waits before it asks again, in milliseconds.
    pub ask_interval_ms: u32,
    /// Credits are lent to a peer's large want in batches of this many while nothing waits here.
    pub lend_batch: u32,
    /// By how much work, in seconds of one slot, a team or customer may run ahead of another that
    /// waits, for the sake of short jobs.
    pub fairness_slack_s: u32,
    /// Idle credits that an entry keeps alive beyond its recent use.
    pub idle_reserve: u32,
    /// Retries and hedges allowed, as a share of recent requests, in percent.
    pub retry_budget_percent: u32,
    /// A repeatable request is hedged after this multiple of its typical time, in percent;
    /// zero never hedges.
    pub hedge_after_percent: u32,
}

impl Profile {
    /// Response time first.
    pub const fn kalahari() -> Self {
        Self {
            keep_credits_percent: 5,
            ask_interval_ms: 5,
            lend_batch: 4,
            fairness_slack_s: 60,
            idle_reserve: 64,
            retry_budget_percent: 10,
            hedge_after_percent: 300,
        }
    }

    /// Wasted messages first.
    pub const fn co_op() -> Self {
        Self {
            keep_credits_percent: 5,
            ask_interval_ms: 10,
            lend_batch: 8,
            fairness_slack_s: 60,
            idle_reserve: 32,
            retry_budget_percent: 10,
            hedge_after_percent: 0,
        }
    }
}

impl Default for Profile {
    fn default() -> Self {
        Self::kalahari()
    }
}
