//! Failed attempts of one request, and whether it may be retried.

use std::time::Instant;

use super::AttemptFailure;
use super::RetryStep;
use crate::outcome::Outcome;

/// Records whether any attempt may have run.
///
/// The outcome depends on all attempts: if one that was sent and failed may have
/// run, the outcome is unknown even when later attempts certainly did not run.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    is_repeatable: bool,
    deadline: Instant,
    may_have_run: bool,
}

impl AttemptHistory {
    /// Returns an empty history for a request that must end by `deadline`.
    pub fn new(is_repeatable: bool, deadline: Instant) -> Self {
        Self {
            is_repeatable,
            deadline,
            may_have_run: false,
        }
    }

    /// Records a failed attempt and decides whether to retry.
    ///
    /// A request that may have run is retried only if it is repeatable.
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

    /// Returns the outcome to report to the caller when every attempt has failed.
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
