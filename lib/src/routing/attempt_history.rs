//! The attempts of one request so far, and what follows the next failure.

use std::time::Instant;

use super::AttemptFailure;
use super::RetryStep;
use crate::outcome::Outcome;

/// Remembers whether any attempt may have run.
///
/// What a caller is told rests on all attempts: one that was sent and failed
/// may have run, however harmless the later ones were.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    is_repeatable: bool,
    deadline: Instant,
    may_have_run: bool,
}

impl AttemptHistory {
    /// Starts before the first attempt of a request that ends by `deadline`.
    pub fn new(is_repeatable: bool, deadline: Instant) -> Self {
        Self {
            is_repeatable,
            deadline,
            may_have_run: false,
        }
    }

    /// Takes the failure of an attempt and decides what follows.
    ///
    /// A request that may have run is repeated only if it is repeatable.
    /// `may_retry` tells whether the retry budget allows one more attempt.
    pub fn record_failure(
        &mut self,
        failure: AttemptFailure,
        may_retry: bool,
        now: Instant,
    ) -> RetryStep {
        self.may_have_run |= !failure.did_not_run();
        let is_safe = self.is_repeatable || !self.may_have_run;
        if is_safe && may_retry && now < self.deadline {
            return RetryStep::Retry;
        }
        RetryStep::End(self.outcome())
    }

    /// Returns what the caller is told when no attempt has been answered.
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
