/// The budget unit: one retry costs this much.
const RETRY_COST: u64 = 100;

/// The most retries that can be saved up.
const MAX_SAVED_RETRIES: u64 = 100;

/// Allows retries and hedges as a share of recent requests.
///
/// Each first start pays in `percent` hundredths of a retry; each retry takes one out.
///
/// # Examples
///
/// ```
/// use mastknot_core::dispatch::RetryBudget;
///
/// let mut budget = RetryBudget::new(10);
/// assert!(!budget.try_spend(), "nothing was paid in");
/// (0..10).for_each(|_| budget.note_first_start());
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u64,
    saved: u64,
}

impl RetryBudget {
    /// An empty budget that grows by `percent` of the first starts.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            saved: 0,
        }
    }

    /// Sets the share, keeping what is saved.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Pays in for one first start.
    pub fn note_first_start(&mut self) {
        let most = MAX_SAVED_RETRIES * RETRY_COST;
        self.saved = most.min(self.saved + self.percent);
    }

    /// Takes out one retry if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}
