//! How an attempt failed, and whether to retry.

use crate::outcome::Outcome;

/// How an attempt to run a request on a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether any byte of the request may have been sent to the endpoint.
    pub was_sent: bool,
    /// Whether the endpoint rejected the request before running it.
    pub was_refused: bool,
}

/// What to do with the request after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// Retry on a new connection, preferably to another target.
    Retry,
    /// End the request with this outcome.
    End(Outcome),
}

impl AttemptFailure {
    /// Tells whether the request certainly did not run in this attempt.
    pub fn did_not_run(&self) -> bool {
        !self.was_sent || self.was_refused
    }
}
