//! What follows a failed attempt.

use std::time::Instant;

use crate::outcome::Outcome;

/// How an attempt to run a request on a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether any byte of the request may have left for the endpoint.
    pub was_sent: bool,
    /// Whether the endpoint refused the request before running it.
    pub was_refused: bool,
}

/// What to do with the request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// Try again, on a new connection and preferably elsewhere.
    Retry,
    /// End the request with this outcome.
    End(Outcome),
}

impl AttemptFailure {
    /// Tells whether the request certainly did not run in this attempt.
    pub fn is_harmless(&self) -> bool {
        !self.was_sent || self.was_refused
    }

    /// Decides what follows.
    ///
    /// A request that may have run is repeated only if it is `is_repeatable`.
    /// `may_retry` tells whether the retry budget allows one more attempt.
    pub fn next_step(
        &self,
        is_repeatable: bool,
        may_retry: bool,
        deadline: Instant,
        now: Instant,
    ) -> RetryStep {
        let is_safe = is_repeatable || self.is_harmless();
        if is_safe && may_retry && now < deadline {
            return RetryStep::Retry;
        }
        if self.is_harmless() {
            return RetryStep::End(Outcome::NotRun);
        }
        RetryStep::End(Outcome::Unknown)
    }
}
