/// Cost of one retry in budget units.
const RETRY_COST: u64 = 100;

/// Maximum number of retries that the budget can accumulate.
const MAX_SAVED_RETRIES: u64 = 100;

/// Limits retries and hedges to a share of recent first starts.
///
/// Each first start adds `percent` hundredths of a retry to the budget; each retry takes one retry
/// out.
///
/// # Examples
///
/// ```
/// use mastknot_core::dispatch::RetryBudget;
///
/// let mut budget = RetryBudget::new(10);
/// assert!(!budget.try_spend(), "nothing was paid in");
/// (0..10).for_each(|_| budget.record_first_start());
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u64,
    saved: u64,
}

impl RetryBudget {
    /// Returns an empty budget that grows by `percent` hundredths of a retry with each first start.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            saved: 0,
        }
    }

    /// Sets the percentage and keeps the accumulated budget.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Adds the share of one first start to the budget.
    pub fn record_first_start(&mut self) {
        let max_saved = MAX_SAVED_RETRIES * RETRY_COST;
        self.saved = max_saved.min(self.saved + self.percent);
    }

    /// Takes one retry out of the budget. Returns false if the budget does not cover a retry.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}
