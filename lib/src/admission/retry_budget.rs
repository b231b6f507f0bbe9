//! Limits the retries of a router.

/// Credit for each first attempt, in thousandths of a retry.
const CREDIT_PER_REQUEST: u64 = 50;
/// Cost of a retry, in the same unit.
const RETRY_COST: u64 = 1_000;
/// Maximum credit, in the same unit.
const MAX_BALANCE: u64 = 20 * RETRY_COST;

/// Allows one retry per twenty first attempts, which bounds the extra load that
/// retries put on the remaining targets during an outage.
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
    /// Adds credit for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + CREDIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Deducts the cost of a retry; returns false if the credit is too low.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
