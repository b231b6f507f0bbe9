//! How an attempt failed, and what follows.

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
    pub fn did_not_run(&self) -> bool {
        !self.was_sent || self.was_refused
    }
}
