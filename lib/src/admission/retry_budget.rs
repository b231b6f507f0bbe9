//! Bounds the retries of a router.

/// Retries earned by each first attempt, in thousandths.
const EARNED_PER_REQUEST: u64 = 50;
/// Price of a retry, in the same unit.
const PRICE_OF_RETRY: u64 = 1_000;
/// Most retries that can be saved up.
const MAX_SAVED: u64 = 20 * PRICE_OF_RETRY;

/// Allows one retry for twenty first attempts, so that an outage multiplies
/// the load of what is left by no more than that.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Pays for a retry; returns false when there is nothing left to pay with.
    pub fn spend(&mut self) -> bool {
        if self.saved < PRICE_OF_RETRY {
            return false;
        }
        self.saved -= PRICE_OF_RETRY;
        true
    }
}
