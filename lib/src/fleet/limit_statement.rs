//! What one response says of the rate of requests that its endpoint takes.

use std::time::Instant;

use crate::ids::RequestRate;

/// The limit that an endpoint named in one response, or that it named none.
///
/// The endpoint made the statement at some time between the request and the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatement {
    /// Requests that the endpoint takes from all routers together; `None` for any number.
    pub limit: Option<RequestRate>,
    /// When the request was sent.
    pub asked_at: Instant,
    /// When the response arrived.
    pub answered_at: Instant,
}

impl LimitStatement {
    /// Returns whether the endpoint made this statement after `other`.
    pub(super) fn is_newer(&self, other: &Self) -> bool {
        self.asked_at >= other.answered_at
    }

    /// Takes over the times of another statement of the same limit if it is newer.
    pub(super) fn extend(&mut self, other: &Self) {
        self.asked_at = self.asked_at.max(other.asked_at);
        self.answered_at = self.answered_at.max(other.answered_at);
    }

    /// Returns whether this limit allows fewer requests than `other`.
    pub(super) fn is_stricter(&self, other: &Self) -> bool {
        let allowed = |statement: &Self| statement.limit.unwrap_or(RequestRate::MAX);
        allowed(self) < allowed(other)
    }
}
