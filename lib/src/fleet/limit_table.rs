//! Limits on the rate of requests that endpoints have named.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::LimitStatement;
use crate::ids::EndpointId;
use crate::ids::RequestRate;

/// Time for which the end of a limit is remembered. Older statements that arrive later, over
/// a slow connection, must not bring the limit back.
const LIFT_RETENTION: Duration = Duration::from_secs(30);

/// The newest statement of each endpoint that has named a limit.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    statements: HashMap<EndpointId, LimitStatement>,
}

impl LimitTable {
    /// Records what a response says; returns whether the limit of the endpoint has changed.
    ///
    /// Responses on different connections overtake each other. Of two statements whose order
    /// is unknown, the stricter one holds.
    pub fn observe(&mut self, endpoint: &EndpointId, statement: LimitStatement) -> bool {
        let Some(known) = self.statements.get_mut(endpoint) else {
            if statement.limit.is_some() {
                self.statements.insert(endpoint.clone(), statement);
            }
            return statement.limit.is_some();
        };
        let has_changed = statement.limit != known.limit;
        if statement.is_newer(known) {
            *known = statement;
            return has_changed;
        }
        if known.is_newer(&statement) {
            return false;
        }
        if !has_changed {
            known.asked_at = known.asked_at.max(statement.asked_at);
            known.answered_at = known.answered_at.max(statement.answered_at);
            return false;
        }
        let is_stricter = statement.is_stricter(known);
        if is_stricter {
            *known = statement;
        }
        is_stricter
    }

    /// Returns the limit of an endpoint, if it has one.
    pub fn limit(&self, endpoint: &str) -> Option<RequestRate> {
        self.statements.get(endpoint)?.limit
    }

    /// Returns the number of endpoints with a limit.
    pub fn len(&self) -> usize {
        let statements = self.statements.values();
        statements.filter(|known| known.limit.is_some()).count()
    }

    /// Returns whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes endpoints that are gone, and limits that ended long ago.
    pub fn prune(&mut self, now: Instant, is_registered: impl Fn(&EndpointId) -> bool) {
        self.statements.retain(|endpoint, known| {
            let is_remembered = known.limit.is_some() || now < known.answered_at + LIFT_RETENTION;
            is_remembered && is_registered(endpoint)
        });
    }
}
