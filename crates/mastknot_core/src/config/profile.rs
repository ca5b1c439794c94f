use serde::{Deserialize, Serialize};

/// Weights of the scheduling policy, set by the operators.
///
/// Both presets run the same code: `kalahari` favours a short response time, `co_op` few wasted
/// messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Share of its idle credits that an entry keeps when a peer asks for some, in percent.
    pub keep_credits_percent: u32,
    /// Time that an entry without credits waits before it asks again, in milliseconds.
    pub ask_interval_ms: u32,
    /// Number of credits per batch in which credits are lent to a peer with a large demand while no
    /// work waits at this entry.
    pub lend_batch: u32,
    /// Amount of work, in seconds of one slot, by which a team or customer may run ahead of another
    /// that waits, for the benefit of short jobs.
    pub fairness_slack_s: u32,
    /// Number of idle credits that an entry keeps alive beyond its recent use.
    pub idle_reserve: u32,
    /// Retries and hedges that are allowed, as a share of recent requests, in percent.
    pub retry_budget_percent: u32,
    /// Time after which a repeatable request is hedged, in percent of its typical time; zero
    /// disables hedging.
    pub hedge_after_percent: u32,
}

impl Profile {
    /// Returns the weights that favour a short response time.
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

    /// Returns the weights that favour few wasted messages.
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
