//! Bounds the retries of a router.

/// Retries earned by each first attempt, in thousandths.
const CREDIT_PER_REQUEST: u64 = 50;
/// Price of a retry, in the same unit.
const RETRY_COST: u64 = 1_000;
/// Most retries that can be saved up.
const MAX_BALANCE: u64 = 20 * RETRY_COST;

/// Allows one retry for twenty first attempts, so that an outage multiplies
/// the load of what is left by no more than that.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + CREDIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Pays for a retry; returns false when there is nothing left to pay with.
    pub fn spend(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
