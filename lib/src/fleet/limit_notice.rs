//! What a router tells its peers of a limit on the rate of requests.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::LimitStatement;
use crate::ids::EndpointId;
use crate::ids::Milliseconds;
use crate::ids::RequestRate;

/// Longest time in transit that is expected of a notice. Its sender's request may have left
/// earlier by that than its age says.
const MAX_TRANSIT: Duration = Duration::from_millis(50);

/// A [`LimitStatement`] of an endpoint, for routers without a common clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Endpoint that made the statement.
    pub endpoint: EndpointId,
    /// Requests that it takes from all routers together; `None` for any number.
    pub limit: Option<RequestRate>,
    /// Time since the request was sent.
    pub asked_age_ms: Milliseconds,
    /// Time since the response arrived.
    pub answered_age_ms: Milliseconds,
}

impl LimitNotice {
    /// Creates the notice of a statement that is sent at `now`.
    pub fn new(endpoint: EndpointId, statement: &LimitStatement, now: Instant) -> Self {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as Milliseconds;
        Self {
            endpoint,
            limit: statement.limit,
            asked_age_ms: age(statement.asked_at),
            answered_age_ms: age(statement.answered_at),
        }
    }

    /// Returns the statement by the clock of a router that receives the notice at `now`; `None`
    /// if it is older than that clock.
    pub fn statement(&self, now: Instant) -> Option<LimitStatement> {
        let asked_age = Duration::from_millis(self.asked_age_ms).checked_add(MAX_TRANSIT)?;
        Some(LimitStatement {
            limit: self.limit,
            asked_at: now.checked_sub(asked_age)?,
            answered_at: now.checked_sub(Duration::from_millis(self.answered_age_ms))?,
        })
    }
}
